#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "simulation/cloud.h"
#include "simulation/command_channel.h"
#include "simulation/controllers.h"
#include "simulation/environment.h"
#include "simulation/faults.h"
#include "simulation/frontend.h"
#include "simulation/pipelines.h"
#include "simulation/random_faults.h"
#include "simulation/store_channel.h"
#include "simulation/users.h"
#include "simulation/workers.h"

namespace sumacquay::simulation {

/// A whole deployment in virtual time: controllers that elect a leader, the key-value store, the
/// cloud, machines with workers, users, and an independent checker.
class Simulation {
 public:
  explicit Simulation(uint64_t seed, SimulationOptions options = {});

  // Time.
  Seconds now() const { return env_.now(); }
  /// Runs with random faults and jobs until the time `faults_until`, then without faults for
  /// `quiet`, in which all work has to finish.
  void run(Seconds faults_until, Seconds quiet);
  void run_for(Seconds span);
  /// Returns whether `reached()` became true within `timeout`.
  bool run_until(const std::function<bool()>& reached, Seconds timeout);
  void schedule_in(Seconds delay, std::function<void()> event);
  /// Ends all faults, cancels the services, and runs for `quiet` so that all work can finish.
  void finish(Seconds quiet = 250);

  // Randomness.
  bool random_bool(double probability) { return env_.random.chance(probability); }
  double random_between(double min, double max) { return env_.random.between(min, max); }
  uint64_t random_below(uint64_t count) { return env_.random.below(count); }

  // Components.
  Users& users() { return users_; }
  Pipelines& pipelines() { return pipelines_; }
  Faults& faults() { return faults_; }
  const Checker& checker() const { return env_.checker; }
  const StoreChannel& store() const { return store_; }
  const CommandChannel& command_channel() const { return commands_; }
  const Workers& workers() const { return workers_; }

  /// The digest of all decisions of the controllers so far.
  std::string decision_digest() const { return env_.digest.text(); }

  // Controllers.
  std::optional<size_t> leader() const { return controllers_.leader(); }
  size_t leader_or_first() const { return leader().value_or(0); }
  /// A random controller other than the leader.
  size_t follower();

  // Jobs and machines.
  size_t submitted_job_count() const { return env_.jobs.size(); }
  /// Accepted jobs that are neither complete nor cancelled, directly or through a dependency.
  size_t unfinished_job_count() const;
  /// Jobs cancelled, directly or through a dependency, whose record does not show it.
  size_t unrecorded_cancellations() const;
  std::optional<Seconds> cancelled_at(const std::string& job) const;
  /// When the job's first task began to run; none if no task has run yet.
  std::optional<Seconds> started_at(const std::string& job) const;
  /// Number of the job's tasks that are neither done nor present on a machine.
  size_t waiting_tasks(const std::string& job) const;
  /// Jobs with a task on a machine, except those that a user has requested to cancel.
  std::vector<std::string> running_jobs() const;
  std::vector<std::string> machines() const { return env_.fleet.running(now()); }
  /// Machines with a task of the job.
  std::vector<std::string> machines_running(const std::string& job) const;
  /// Machines with a task of the job in this state, one entry for each such task.
  std::vector<std::string> machines_with(const std::string& job, TaskState state) const {
    return env_.fleet.machines_with(job, state);
  }
  /// Whether all tasks of the job run.
  bool all_run(const std::string& job) const;
  /// Whether all tasks of the job are done, whatever the controllers know of it.
  bool completed(const std::string& job) const { return env_.jobs.at(job).complete(); }
  /// Stores the image on all machines.
  void preload_image(const std::string& image);
  /// Machines that fetch an image.
  std::vector<std::string> fetching_machines() const;
  const std::string& zone_of(const std::string& machine) const;

 private:
  void step();
  void end_faults();

  Environment env_;
  StoreChannel store_;
  Workers workers_;
  CommandChannel commands_;
  Cloud cloud_;
  Controllers controllers_;
  Frontend frontend_;
  Users users_;
  Pipelines pipelines_;
  Faults faults_;
  RandomFaults random_faults_;
};

}  // namespace sumacquay::simulation
