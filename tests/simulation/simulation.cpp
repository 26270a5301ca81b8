#include "simulation/simulation.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sumacquay::simulation {

namespace {
constexpr Seconds kStepDuration = 0.05;
/// Fraction of the time with faults in which jobs are submitted, and the probabilities of a
/// submission per step.
constexpr double kSubmissionPhaseFraction = 0.7;
constexpr double kSubmissionProbability = 0.02;
constexpr double kPipelineProbability = 0.002;
}  // namespace

Simulation::Simulation(uint64_t seed, SimulationOptions options)
    : env_(seed, std::move(options)),
      store_(env_),
      workers_(env_),
      commands_(env_, workers_),
      cloud_(env_),
      controllers_(env_, {store_, commands_, cloud_, workers_}),
      frontend_(env_, store_),
      users_(env_, frontend_),
      pipelines_(env_, users_),
      faults_(env_, controllers_, store_, cloud_, workers_),
      random_faults_(env_, faults_, controllers_, cloud_) {
  for (int i = 0; i < env_.options.machines; ++i) cloud_.add_machine(now());
  controllers_.start_all();
}

void Simulation::step() {
  env_.loop.advance(kStepDuration);
  store_.step();
  env_.loop.run_due();
  controllers_.step();
  workers_.step();
  pipelines_.step();
  env_.checker.check();
}

void Simulation::run(Seconds faults_until, Seconds quiet) {
  while (now() < faults_until) {
    random_faults_.step();
    const bool submitting = now() < faults_until * kSubmissionPhaseFraction;
    if (submitting && random_bool(kSubmissionProbability)) users_.submit_random();
    if (submitting && random_bool(kPipelineProbability)) pipelines_.submit_random_pipeline();
    step();
  }
  end_faults();
  while (now() < faults_until + quiet) step();
}

void Simulation::run_for(Seconds span) {
  const Seconds end = now() + span;
  while (now() < end) step();
}

bool Simulation::run_until(const std::function<bool()>& reached, Seconds timeout) {
  const Seconds end = now() + timeout;
  while (now() < end && !reached()) step();
  return reached();
}

void Simulation::schedule_in(Seconds delay, std::function<void()> event) {
  env_.loop.schedule(delay, std::move(event));
}

void Simulation::finish(Seconds quiet) {
  end_faults();
  for (const auto& [id, job] : env_.jobs)
    if (job.spec.kind == JobKind::Service) users_.cancel(id);
  run_for(quiet);
}

void Simulation::end_faults() {
  env_.checker.on_faults_ended();
  faults_.end_all();
}

size_t Simulation::follower() {
  return (leader_or_first() + 1 + random_below(env_.controllers.size() - 1)) %
         env_.controllers.size();
}

size_t Simulation::unfinished_job_count() const {
  return static_cast<size_t>(
      std::count_if(env_.jobs.begin(), env_.jobs.end(), [this](const auto& item) {
        const ObservedJob& job = item.second;
        return job.accepted && !job.cancel_requested && !job.complete() &&
               !dependency_cancelled_at(env_.jobs, item.first);
      }));
}

size_t Simulation::unrecorded_cancellations() const {
  return static_cast<size_t>(
      std::count_if(env_.jobs.begin(), env_.jobs.end(), [this](const auto& item) {
        const auto& [id, job] = item;
        const bool cancelled = job.cancelled_at || dependency_cancelled_at(env_.jobs, id);
        return job.accepted && cancelled && job.recorded_state != JobState::Cancelled;
      }));
}

std::optional<Seconds> Simulation::cancelled_at(const std::string& job) const {
  return env_.jobs.at(job).cancelled_at;
}

std::optional<Seconds> Simulation::started_at(const std::string& job) const {
  return env_.jobs.at(job).started_at;
}

size_t Simulation::waiting_tasks(const std::string& job) const {
  std::set<uint32_t> started = env_.jobs.at(job).done_tasks;
  env_.fleet.for_each_present_task([&](const SimulatedMachine&, const TaskKey& key) {
    if (key.job == job) started.insert(key.task);
  });
  return env_.jobs.at(job).spec.tasks - started.size();
}

std::vector<std::string> Simulation::running_jobs() const {
  std::set<std::string> running;
  env_.fleet.for_each_present_task([&](const SimulatedMachine&, const TaskKey& key) {
    if (!env_.jobs.at(key.job).cancel_requested) running.insert(key.job);
  });
  return {running.begin(), running.end()};
}

std::vector<std::string> Simulation::machines_running(const std::string& job) const {
  std::vector<std::string> out;
  env_.fleet.for_each_present_task([&](const SimulatedMachine& machine, const TaskKey& key) {
    if (key.job == job && (out.empty() || out.back() != machine.id)) out.push_back(machine.id);
  });
  return out;
}

bool Simulation::all_run(const std::string& job) const {
  return env_.fleet.running_tasks(job) == env_.jobs.at(job).spec.tasks;
}

void Simulation::preload_image(const std::string& image) {
  for (auto& [id, machine] : env_.fleet.machines()) machine.images.add(image);
}

std::vector<std::string> Simulation::fetching_machines() const {
  std::vector<std::string> out;
  for (const auto& [id, machine] : env_.fleet.machines())
    if (machine.images.fetching()) out.push_back(id);
  return out;
}

const std::string& Simulation::zone_of(const std::string& machine) const {
  return env_.fleet.at(machine).zone;
}

}  // namespace sumacquay::simulation
