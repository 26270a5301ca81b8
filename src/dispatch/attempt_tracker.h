#pragma once
#include <string>

#include "dispatch/cluster_state.h"
#include "dispatch/command_dispatcher.h"
#include "dispatch/failure_attribution.h"
#include "dispatch/record_queue.h"
#include "dispatch/work_counters.h"

namespace sumacquay {

/// Follows attempts of tasks through their states: adopts those that an earlier leader started,
/// acts on how they exit, and stops them. It is the only place that changes an attempt's state, and
/// queues the commands and record writes that follow from it.
class AttemptTracker {
 public:
  AttemptTracker(ClusterState& state, FailureAttribution& failures, CommandDispatcher& commands,
                 RecordQueue& records, WorkCounters& work)
      : state_(state), failures_(failures), commands_(commands), records_(records), work_(work) {}

  /// A task that an earlier leader started is kept, unless it should not be there.
  void adopt(Machine& machine, const TaskAttemptId& id, TaskAttempt& attempt, Job& job,
             Seconds now);
  void set_state(Machine& machine, const TaskAttemptId& id, TaskAttempt& attempt,
                 TaskAttemptState next, Seconds now);
  /// Nothing of what ran on the machine is left.
  void remove_all(Machine& machine);

  /// The attempt is to stop; `graceful`: it may save a checkpoint first. The caller queues the
  /// command.
  void request_stop(TaskAttempt& attempt, bool graceful, Seconds now);
  /// Stops all tasks of the job.
  void stop_job(Job& job, bool graceful, Seconds now);
  /// A gang that lost a member starts again whole: the rest is stopped. Does nothing for other
  /// jobs.
  void stop_gang_of(const TaskKey& task, Seconds now);

 private:
  void request_stop_on(const std::string& machine_id, const TaskAttemptId& id, Seconds now);
  void handle_exit(Machine& machine, const TaskAttemptId& id, TaskAttempt& attempt, Seconds now);
  void handle_success(Machine& machine, const TaskAttemptId& id, Job& job, Seconds now);

  ClusterState& state_;
  FailureAttribution& failures_;
  CommandDispatcher& commands_;
  RecordQueue& records_;
  WorkCounters& work_;
};

}  // namespace sumacquay
