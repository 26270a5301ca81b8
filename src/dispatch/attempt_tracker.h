#pragma once
#include <string>

#include "dispatch/cluster_state.h"
#include "dispatch/command_dispatcher.h"
#include "dispatch/failure_attribution.h"
#include "dispatch/gang_start_barrier.h"
#include "dispatch/record_queue.h"
#include "dispatch/work_counters.h"

namespace sumacquay {

/// Tracks the states of task attempts: adopts attempts that an earlier leader started, handles
/// their exits, and stops them. Only this class changes the state of an attempt; it also queues the
/// resulting commands and record writes.
class AttemptTracker {
 public:
  AttemptTracker(ClusterState& state, FailureAttribution& failures, CommandDispatcher& commands,
                 GangStartBarrier& gang_starts, RecordQueue& records, WorkCounters& work_counters)
      : state_(state),
        failures_(failures),
        commands_(commands),
        gang_starts_(gang_starts),
        records_(records),
        work_counters_(work_counters) {}

  /// Takes over an attempt that an earlier leader started. It keeps running if it is the
  /// newest attempt of a task that is still to run. Otherwise it is stopped, as are older attempts.
  /// `fetching`: the worker fetches the image for it. For a gang such a fetch goes on, also for an
  /// older attempt.
  void adopt(Machine& machine, const TaskAttemptId& id, TaskAttempt& attempt, Job& job,
             bool fetching, Seconds now);
  void set_state(Machine& machine, const TaskAttemptId& id, TaskAttempt& attempt,
                 TaskAttemptState next, Seconds now);
  /// Removes all attempts from the machine. Called when none of them can be running any more.
  void remove_all(Machine& machine);

  /// Marks the attempt as to be stopped. If `graceful`, it may save a checkpoint first. The caller
  /// queues the command.
  void request_stop(TaskAttempt& attempt, bool graceful, Seconds now);
  /// Stops all tasks of the job. Attempts whose start was not sent are removed immediately.
  void stop_job(Job& job, bool graceful, Seconds now);
  /// Abandons the gang attempt after it has lost the given task, because a gang is restarted as a
  /// whole. Does nothing for other jobs, nor if the gang has a newer attempt.
  void restart_gang_of(const TaskAttemptId& lost, Seconds now);
  /// Stops the tasks of the gang's newest attempt, except that image fetches go on: otherwise a
  /// gang whose image is fetched for longer than its tasks wait for one another would never run. A
  /// task that has its image then is stopped, so that it joins the next attempt.
  void abandon_gang_attempt(Job& job, Seconds now);

 private:
  void request_stop_on(const std::string& machine_id, const TaskAttemptId& id, Seconds now);
  uint64_t newest_attempt(const Job& job, const TaskAttemptId& adopted);
  void stop_attempts_before(uint64_t newest, const Job& job, const TaskAttemptId& adopted,
                            bool fetching, Seconds now);
  bool continues_fetch(const Job& job, const TaskAttemptId& id) const;
  /// What happens to the image fetches of a job that is being stopped.
  enum class ImageFetches { Stop, Continue };
  size_t stop_attempts(Job& job, ImageFetches fetches, bool graceful, Seconds now);
  void on_image_present(Machine& machine, const TaskAttemptId& id, TaskAttempt& attempt,
                        Seconds now);
  void handle_exit(Machine& machine, const TaskAttemptId& id, TaskAttempt& attempt, Seconds now);
  void handle_success(Machine& machine, const TaskAttemptId& id, Job& job, Seconds now);

  ClusterState& state_;
  FailureAttribution& failures_;
  CommandDispatcher& commands_;
  GangStartBarrier& gang_starts_;
  RecordQueue& records_;
  WorkCounters& work_counters_;
};

}  // namespace sumacquay
