#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "simulation/event_loop.h"
#include "simulation/machine.h"
#include "simulation/observed_job.h"
#include "simulation/options.h"
#include "simulation/state_service.h"

namespace sumacquay::simulation {

/// Judges a deployment by the machines, the records, the answers to users and the time alone; it
/// never looks into a controller.
class Checker {
 public:
  Checker(const EventLoop& loop, const SimulationOptions& options, const Fleet& fleet,
          ObservedJobs& jobs);

  /// A start has just been carried out; `ordered_at`: when the controller sent it.
  void task_started(const SimulatedMachine& machine, const TaskKey& key, Seconds ordered_at);
  /// A transaction under a term has been carried out.
  void wrote_under_term(uint64_t term, uint64_t nonce);
  void records_changed(const std::vector<StateService::Change>& changes);
  /// A user was told the state of a job that is over.
  void user_told(const std::string& id, JobState state);
  /// A user was told that an accepted job is pending or running.
  void user_told_unfinished(const std::string& id, Seconds asked_at);
  /// A user was told that there is no such job, or none of those that a submission names.
  void user_told_unknown(const std::string& id);
  /// All faults are over: from now on nobody may wait beside room that fits.
  void faults_ended();
  /// Called at each step.
  void check();

  const std::vector<std::string>& violations() const { return violations_; }
  size_t starts() const { return starts_; }
  size_t cancellations() const { return cancellations_; }
  /// Starts of tasks of jobs that depend on others.
  size_t starts_of_dependents() const { return starts_of_dependents_; }
  /// Jobs told as cancelled that nobody asked to cancel: one before them was.
  size_t inherited_cancellations() const { return inherited_cancellations_; }
  /// Times that a user asked for a job after one before it was cancelled, and was answered.
  size_t answers_after_cancel() const { return answers_after_cancel_; }
  size_t starts_after_cancel() const { return starts_after_cancel_; }
  Seconds ordered_after_cancel() const { return ordered_after_cancel_; }
  uint64_t highest_term() const { return terms_.empty() ? 0 : terms_.rbegin()->first; }
  size_t terms() const { return terms_.size(); }

 private:
  /// What the tasks on all machines take up.
  struct Usage {
    std::map<std::string, double> team_gpus;
    std::map<std::string, Resources> machine_used;
    std::map<std::string, std::map<std::string, uint32_t>> job_zones;
    std::set<TaskKey> present;
  };

  void violated(const std::string& rule, const TaskKey& key, const std::string& where);
  void violated(const std::string& what);
  void check_dependencies_done(const SimulatedMachine& machine, const TaskKey& key);
  bool dependencies_done(const JobSpec& spec) const;
  void check_cancelled_and_quota();
  void check_waiting();
  Usage usage() const;
  bool could_start(const std::string& id, const ObservedJob& job, const Usage& used) const;
  /// How many tasks of the job fit on the machines.
  size_t room_for(const std::string& id, const JobSpec& spec, const Usage& used) const;
  bool may_use(const SimulatedMachine& machine, const JobSpec& spec,
               const std::map<std::string, uint32_t>& zones) const;

  const EventLoop& loop_;
  const SimulationOptions& options_;
  const Fleet& fleet_;
  ObservedJobs& jobs_;
  const Resources machine_room_;
  std::vector<std::string> violations_;
  std::map<uint64_t, uint64_t> terms_;  ///< the nonce of the process that wrote under each term
  bool quiet_ = false;
  Seconds next_wait_check_ = 0;
  size_t starts_ = 0, cancellations_ = 0, starts_after_cancel_ = 0;
  size_t starts_of_dependents_ = 0, inherited_cancellations_ = 0, answers_after_cancel_ = 0;
  Seconds ordered_after_cancel_ = 0;
};

}  // namespace sumacquay::simulation
