#pragma once
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.h"
#include "simulators/submitted_jobs.h"
#include "simulators/worker_state.h"

namespace sumacquay::simulators {

/// Checks the scheduler's invariants from the tasks on the workers and the answers to the users,
/// without access to the state of a controller. The checks are incremental: their cost depends on
/// the number of changes, not on the number of machines.
class RuleChecker {
 public:
  RuleChecker(const std::vector<TeamSettings>& teams, Seconds cancel_s, SubmittedJobs& jobs);

  /// Records that a worker has started a task attempt, and checks uniqueness, quota and placement.
  void on_task_started(const WorkerState& worker, const TaskKey& key, Seconds now);
  /// Records that a task has left a worker: it exited, the agent epoch ended, or the machine is
  /// gone.
  void on_task_removed(const WorkerState& worker, const TaskKey& key);
  /// Checks an answer to a user that reports the job done.
  void on_done_reported(const std::string& id, Seconds now);
  /// Checks an answer to a user that reports the job cancelled.
  void on_cancellation_reported(const std::string& id, Seconds now);
  /// Checks an answer to a user that reports the job pending or running. `requested_at` is the time
  /// of the request: answers sent before a final state was reported are valid.
  void on_unfinished_reported(const std::string& id, Seconds requested_at);
  /// Records a violation: an accepted job was reported as unknown.
  void on_unknown_job_reported(const std::string& id, Seconds now);
  /// Checks that no task of a cancelled job remains on a machine `cancel_s` after the confirmation.
  void check_cancelled_jobs(Seconds now);

  const std::vector<std::string>& violations() const { return violations_; }
  size_t starts() const { return starts_; }
  /// The number of tasks on machines.
  size_t active_tasks() const { return task_locations_.size(); }

 private:
  /// The machine of a task.
  struct Location {
    std::string machine, zone;
  };
  /// The tasks of a job that are on machines.
  struct JobLocations {
    std::map<std::string, uint32_t> tasks_by_zone;
    size_t tasks = 0;
  };

  void check_quota(const JobSpec& spec, Seconds now);
  void check_placement(const WorkerState& worker, const TaskKey& key, const JobSpec& spec,
                       Seconds now);
  void add_violation(const std::string& violation, Seconds now);

  std::unordered_map<std::string, TeamSettings> teams_;
  Seconds cancel_s_;
  SubmittedJobs& jobs_;
  std::map<TaskKey, std::vector<Location>> task_locations_;
  std::unordered_map<std::string, JobLocations> job_locations_;
  std::unordered_map<std::string, Resources> team_usage_;  ///< by team
  std::vector<std::string> violations_;
  size_t starts_ = 0;
};

}  // namespace sumacquay::simulators
