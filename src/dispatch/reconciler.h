#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/attempt_tracker.h"
#include "dispatch/cluster_state.h"
#include "dispatch/command_dispatcher.h"
#include "dispatch/failure_detector.h"
#include "dispatch/heartbeat_size_guard.h"
#include "fleet/worker_heartbeat.h"

namespace sumacquay {

/// The answer to a worker's heartbeat, which renews the worker's lease.
struct HeartbeatResponse {
  /// False if the heartbeat is late or a duplicate, or if the answer has no space for all stops
  /// that have to go with a renewal of the lease.
  bool accepted = false;
  uint64_t fencing_token = 0;
  std::vector<Command> commands;
};

/// Reconciles the ClusterState with the heartbeats that workers send periodically and in responses
/// to commands and probes. Owns no state.
///
/// Every attempt that a heartbeat lists is present. An attempt that it does not list is gone only
/// if the heartbeat is a periodic one, is newer than all previous heartbeats and carries the
/// required fencing token, and if no commands to the machine are in flight.
class Reconciler {
 public:
  Reconciler(ClusterState& state, AttemptTracker& attempts, CommandDispatcher& commands,
             FailureDetector& failure_detector, HeartbeatSizeGuard& heartbeat_sizes)
      : state_(state),
        attempts_(attempts),
        commands_(commands),
        failure_detector_(failure_detector),
        heartbeat_sizes_(heartbeat_sizes) {}

  /// Applies a worker's periodic heartbeat. Without `may_act` the response contains only stop
  /// commands for tasks of jobs that have ended.
  HeartbeatResponse on_heartbeat(const WorkerHeartbeat& heartbeat, bool may_act, Seconds now);
  /// Handles the outcome of `SendCommands`. `executed` is false if the commands may still be
  /// carried out later.
  void on_commands_answered(const std::string& machine_id,
                            const std::optional<WorkerHeartbeat>& heartbeat, bool executed,
                            Seconds now);
  /// Handles the outcome of a `Probe`; `heartbeat` is none if the worker did not respond.
  void on_probe_answered(const std::string& machine_id,
                         const std::optional<WorkerHeartbeat>& heartbeat, Seconds now);
  /// Handles a probe that was not sent for lack of a socket. It says nothing about the machine,
  /// which is probed again.
  void on_probe_not_sent(const std::string& machine_id);

 private:
  Machine& find_or_add_machine(const WorkerHeartbeat& heartbeat, Seconds now);
  void reconcile(Machine& machine, const WorkerHeartbeat& heartbeat, bool absence_is_conclusive,
                 Seconds now);
  void reconcile_task(Machine& machine, const TaskStatus& task, Seconds now);
  std::optional<std::vector<Command>> stops_for_ended_jobs(const WorkerHeartbeat& heartbeat) const;
  void begin_agent_epoch(Machine& machine, Seconds now);
  void remove_unlisted(Machine& machine, const WorkerHeartbeat& heartbeat, Seconds now);
  void accept_worker(Machine& machine, Seconds now);

  ClusterState& state_;
  AttemptTracker& attempts_;
  CommandDispatcher& commands_;
  FailureDetector& failure_detector_;
  HeartbeatSizeGuard& heartbeat_sizes_;
};

}  // namespace sumacquay
