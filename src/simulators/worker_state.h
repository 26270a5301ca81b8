#pragma once
#include <map>
#include <optional>
#include <string>

#include "fleet/worker_heartbeat.h"
#include "jobs/spec.h"

namespace sumacquay::simulators {

/// State of a task attempt on its worker.
struct WorkerTask {
  TaskState state = TaskState::Fetching;
  ExitCause cause = ExitCause::None;
  Seconds next_transition_at = 0;  ///< time of the next state change without a command

  bool active() const { return state != TaskState::Exited; }
};

/// State of a worker, without I/O: its agent epoch, the highest fencing token seen, and its tasks.
/// Shared by the deterministic simulation in the tests and the simulated workers of the load test.
struct WorkerState {
  std::string id, addr, type, zone;
  bool spot = false;
  uint64_t agent_epoch = 1, sequence_number = 0, fencing_token = 0;
  std::optional<Seconds> token_change_reported_at;  ///< the last higher token that was a change
  Seconds agent_epoch_started_at = 0;
  std::optional<Seconds> last_answered_heartbeat_at;  ///< send time of the last answered heartbeat
  /// Exited attempts stay until they are discarded or the lease expires, also when a later attempt
  /// of the task has been started.
  std::map<TaskAttemptId, WorkerTask> tasks;

  /// Builds the next heartbeat; increments the sequence number.
  WorkerHeartbeat heartbeat();
  /// Raises the fencing token to `seen`; older tokens have no effect. Returns whether the worker
  /// reports this with a prompt heartbeat: a higher token counts as a change at most once in half
  /// of `lease`.
  bool advance_fencing_token(uint64_t seen, Seconds lease, Seconds now);
  /// Whether the lease has expired: it runs from the send time of the last answered heartbeat, or
  /// from the start of the agent epoch.
  bool lease_expired(Seconds lease, Seconds now) const;
  /// Starts a new agent epoch without tasks if the lease has expired.
  void restart_agent_epoch_if_expired(Seconds lease, Seconds now);
  /// Whether a start command has an effect. It is ignored if the worker has the same attempt in any
  /// state, or another attempt of the task that has not exited.
  bool accepts_start(const Command& command) const;
  /// The task attempt that a command refers to; null if the worker does not have it.
  WorkerTask* find(const Command& command);
};

}  // namespace sumacquay::simulators
