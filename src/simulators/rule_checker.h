#pragma once
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.h"
#include "simulators/job_book.h"
#include "simulators/worker_state.h"

namespace sumacquay::simulators {

/// Judges a deployment by what its workers run and what its users are told, and never looks into a
/// controller. It counts as things happen, so that thousands of machines cost it no more than what
/// changes on them.
class RuleChecker {
 public:
  RuleChecker(const std::vector<TeamSettings>& teams, Seconds cancel_s, JobBook& jobs);

  /// A start has been carried out on a worker: the task is there from now on.
  void task_arrived(const WorkerState& worker, const TaskKey& key, Seconds now);
  /// A task that was there is gone, or its whole machine is.
  void task_left(const WorkerState& worker, const TaskKey& key);
  /// A user was told how a job stands.
  void user_told_done(const std::string& id, Seconds now);
  void user_told_cancelled(const std::string& id, Seconds now);
  void user_told_unfinished(const std::string& id, Seconds asked_at);
  /// A user was told that there is no such job, though it had been accepted.
  void user_told_unknown(const std::string& id, Seconds now);
  /// Looks for tasks of cancelled jobs that are still on a machine.
  void check_cancelled(Seconds now);

  const std::vector<std::string>& violations() const { return violations_; }
  size_t starts() const { return starts_; }
  /// Tasks that are on machines.
  size_t present() const { return present_.size(); }

 private:
  struct Place {
    std::string machine, zone;
  };
  struct JobPlaces {
    std::map<std::string, uint32_t> by_zone;
    size_t tasks = 0;
  };

  void check_quota(const JobSpec& spec, Seconds now);
  void check_place(const WorkerState& worker, const TaskKey& key, const JobSpec& spec, Seconds now);
  void violated(const std::string& what, Seconds now);

  std::unordered_map<std::string, TeamSettings> teams_;
  Seconds cancel_s_;
  JobBook& jobs_;
  std::map<TaskKey, std::vector<Place>> present_;
  std::unordered_map<std::string, JobPlaces> places_;
  std::unordered_map<std::string, Resources> used_;  ///< by team
  std::vector<std::string> violations_;
  size_t starts_ = 0;
};

}  // namespace sumacquay::simulators
