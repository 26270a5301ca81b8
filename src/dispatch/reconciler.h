#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/attempt_tracker.h"
#include "dispatch/cluster_state.h"
#include "dispatch/command_dispatcher.h"
#include "dispatch/failure_detector.h"
#include "fleet/worker_heartbeat.h"

namespace sumacquay {

/// The answer to a worker's heartbeat, which renews the worker's lease.
struct HeartbeatAnswer {
  bool fresh = false;  ///< false: a late copy of a heartbeat, which nobody waits for
  uint64_t fencing_token = 0;
  std::vector<Command> commands;
};

/// Squares what workers say, in heartbeats of their own and in answers to commands and probes, with
/// the ClusterState. Owns no state.
///
/// Whatever a heartbeat lists is present. What it leaves out is gone only if it is the worker's own
/// heartbeat, it is newer than all before, it shows the fencing token in force, and no commands are
/// in flight to the machine.
class Reconciler {
 public:
  Reconciler(ClusterState& state, AttemptTracker& attempts, CommandDispatcher& commands,
             FailureDetector& failure_detector)
      : state_(state),
        attempts_(attempts),
        commands_(commands),
        failure_detector_(failure_detector) {}

  /// A worker's own heartbeat. Without `may_act` the answer has nothing but stops of jobs that have
  /// ended.
  HeartbeatAnswer on_heartbeat(const WorkerHeartbeat& heartbeat, bool may_act, Seconds now);
  /// The outcome of `SendCommands`; `executed` unless they may still be carried out later.
  void on_commands_answered(const std::string& machine_id,
                            const std::optional<WorkerHeartbeat>& heartbeat, bool executed,
                            Seconds now);
  /// The outcome of a `Probe`; no heartbeat if there was no answer.
  void on_probe_answered(const std::string& machine_id,
                         const std::optional<WorkerHeartbeat>& heartbeat, Seconds now);
  /// There was no socket for the probe: nothing is known of the machine, and it is probed again.
  void on_probe_not_sent(const std::string& machine_id);

 private:
  Machine& find_or_add_machine(const WorkerHeartbeat& heartbeat, Seconds now);
  void reconcile(Machine& machine, const WorkerHeartbeat& heartbeat, bool absence_counts,
                 Seconds now);
  void reconcile_task(Machine& machine, const TaskStatus& task, Seconds now);
  void begin_agent_epoch(Machine& machine, Seconds now);
  void remove_unlisted(Machine& machine, const WorkerHeartbeat& heartbeat, Seconds now);
  void accept_worker(Machine& machine, Seconds now);

  ClusterState& state_;
  AttemptTracker& attempts_;
  CommandDispatcher& commands_;
  FailureDetector& failure_detector_;
};

}  // namespace sumacquay
