#pragma once
#include <map>
#include <optional>
#include <string>

#include "fleet/worker_heartbeat.h"
#include "jobs/spec.h"

namespace sumacquay::simulators {

/// A start of a task as its worker has it.
struct WorkerTask {
  uint64_t attempt = 0;
  TaskState state = TaskState::Fetching;
  ExitCause cause = ExitCause::None;
  Seconds next_change = 0;  ///< when its state changes by itself

  bool present() const { return state != TaskState::Exited; }
};

/// What a worker of the protocol keeps, without I/O: its agent epoch, the highest fencing token it
/// has seen, and its tasks. The simulated deployments of the tests and the simulated workers of the
/// load tool run on it.
struct WorkerState {
  std::string id, addr, type, zone;
  bool spot = false;
  uint64_t agent_epoch = 1, sequence_number = 0, fencing_token = 0;
  Seconds agent_epoch_began = 0;
  std::optional<Seconds> answered_heartbeat;  ///< when the last heartbeat with an answer was sent
  std::map<TaskKey, WorkerTask> tasks;

  /// The next heartbeat.
  WorkerHeartbeat heartbeat();
  /// Shows the worker a fencing token; an older one changes nothing.
  void advance_fencing_token(uint64_t seen);
  /// Whether a lease has passed without an answer.
  bool lease_over(Seconds lease, Seconds now) const;
  /// Ends the agent epoch once the lease is over: all tasks are gone, and a new agent epoch begins.
  void expire_agent_epoch(Seconds lease, Seconds now);
  /// Whether a start command has an effect: a task that is here already, in any state with this
  /// attempt or present with another, is left alone.
  bool accepts_start(const Command& command) const;
  /// The start that a command is about, null if it is not here.
  WorkerTask* find(const Command& command);
};

}  // namespace sumacquay::simulators
