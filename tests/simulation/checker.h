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
#include "simulation/simulated_store.h"

namespace sumacquay::simulation {

/// Checks the invariants of a deployment from outside of the controllers: by the tasks on machines,
/// the records in the key-value store, the answers to users and the virtual time.
class Checker {
 public:
  Checker(const EventLoop& loop, const SimulationOptions& options, const Fleet& fleet,
          ObservedJobs& jobs);

  /// A machine has executed a start command; `command_sent_at`: when the controller sent it.
  void on_task_started(const SimulatedMachine& machine, const TaskKey& key,
                       Seconds command_sent_at);
  /// A copy of an executed command starts the attempt again, which the worker has discarded.
  void on_started_again(const SimulatedMachine& machine, const TaskKey& key, uint64_t attempt);
  /// The key-value store has applied a leader's transaction; `nonce` identifies the process.
  void on_leader_write(uint64_t term, uint64_t nonce);
  void on_records_changed(const std::vector<SimulatedStore::Change>& changes);
  /// A user received a terminal state of a job.
  void on_final_state_reported(const std::string& id, JobState state);
  /// A user who sent a request at `sent_at` received a non-terminal state of an accepted job.
  void on_unfinished_reported(const std::string& id, Seconds sent_at);
  /// A user was answered that the job, or a dependency in its submission, does not exist.
  void on_unknown_job_reported(const std::string& id);
  /// All faults have ended: from now on, tasks must start within a time limit if they can be
  /// placed.
  void on_faults_ended();
  /// Called at each step of the simulation.
  void check();

  const std::vector<std::string>& violations() const { return violations_; }
  size_t starts() const { return starts_; }
  size_t cancellations() const { return cancellations_; }
  /// Starts of tasks of jobs that depend on others.
  size_t starts_of_dependents() const { return starts_of_dependents_; }
  /// Jobs reported as cancelled only because a job that they depend on was cancelled.
  size_t inherited_cancellations() const { return inherited_cancellations_; }
  /// Answers that reported a job as cancelled after a job that it depends on was cancelled.
  size_t answers_after_cancel() const { return answers_after_cancel_; }
  size_t starts_after_cancel() const { return starts_after_cancel_; }
  Seconds max_start_delay_after_cancel() const { return max_start_delay_after_cancel_; }
  uint64_t highest_term() const { return terms_.empty() ? 0 : terms_.rbegin()->first; }
  size_t term_count() const { return terms_.size(); }

 private:
  /// Resources in use by the tasks on all machines.
  struct Usage {
    std::map<std::string, double> team_gpus;
    std::map<std::string, Resources> machine_used;
    std::map<std::string, std::map<std::string, uint32_t>> job_zones;
    std::set<TaskKey> present;
  };

  void add_violation(const std::string& rule, const TaskKey& key, const std::string& details);
  void add_violation(const std::string& description);
  void check_dependencies_done(const SimulatedMachine& machine, const TaskKey& key);
  bool dependencies_done(const JobSpec& spec) const;
  void check_cancelled_and_quota();
  void check_waiting_jobs();
  /// `without`: a job whose tasks are left out.
  Usage usage(const std::string& without = {}) const;
  bool could_start(const std::string& id, const ObservedJob& job, const Usage& used) const;
  /// Whether a gang could run but doesn't: all of its tasks could be placed if those that are
  /// present were not.
  bool gang_could_run(const std::string& id, const ObservedJob& job) const;
  bool within_quota(const JobSpec& spec, size_t tasks, const Usage& used) const;
  /// The number of the job's tasks that could be placed in the free capacity.
  size_t placeable_tasks(const std::string& id, const JobSpec& spec, const Usage& used) const;
  bool can_place_on(const SimulatedMachine& machine, const JobSpec& spec,
                    const std::map<std::string, uint32_t>& zones) const;

  const EventLoop& loop_;
  const SimulationOptions& options_;
  const Fleet& fleet_;
  ObservedJobs& jobs_;
  const Resources machine_capacity_;
  std::vector<std::string> violations_;
  std::map<uint64_t, uint64_t> terms_;  ///< by term: the nonce of the process that wrote under it
  bool faults_ended_ = false;
  Seconds next_wait_check_ = 0;
  size_t starts_ = 0, cancellations_ = 0, starts_after_cancel_ = 0;
  size_t starts_of_dependents_ = 0, inherited_cancellations_ = 0, answers_after_cancel_ = 0;
  Seconds max_start_delay_after_cancel_ = 0;
};

}  // namespace sumacquay::simulation
