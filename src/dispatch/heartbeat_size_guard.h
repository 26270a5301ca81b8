#pragma once
#include <vector>

#include "dispatch/attempt_tracker.h"
#include "dispatch/cluster_state.h"
#include "dispatch/command_dispatcher.h"
#include "fleet/worker_heartbeat.h"

namespace sumacquay {

/// Reduces the tasks on machines whose worker's heartbeat is too large, which no controller
/// accepts: without this, all tasks of the machine end with the worker's lease. Placement keeps
/// within the limit, but controllers of earlier versions did not. Such heartbeats arrive in answers
/// to commands and probes, which are not limited. Owns no state.
class HeartbeatSizeGuard {
 public:
  HeartbeatSizeGuard(ClusterState& state, AttemptTracker& attempts, CommandDispatcher& commands)
      : state_(state), attempts_(attempts), commands_(commands) {}

  /// Called after the heartbeat has been applied to the machine, whose worker follows this leader.
  /// If the heartbeat is too large, stops the tasks of the lowest priority, the newest first, until
  /// the others fit, and lets the worker discard attempts at once.
  void on_heartbeat(Machine& machine, const WorkerHeartbeat& heartbeat, Seconds now);

 private:
  /// A task that is to keep running.
  struct RunningTask {
    TaskAttempt* attempt = nullptr;
    Job* job = nullptr;
  };
  std::vector<RunningTask> running_tasks(Machine& machine);
  size_t stop_excess_tasks(Machine& machine, Seconds now);
  double retained_bytes(const Machine& machine) const;

  ClusterState& state_;
  AttemptTracker& attempts_;
  CommandDispatcher& commands_;
};

}  // namespace sumacquay
