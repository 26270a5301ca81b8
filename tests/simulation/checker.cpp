#include "simulation/checker.h"

#include <fmt/format.h>

#include <algorithm>

#include "store/record_cache.h"

namespace sumacquay::simulation {

namespace {
constexpr size_t kMaxViolations = 20;
constexpr Seconds kWaitCheckInterval = 1;
/// How long a task that could be placed may wait for its start.
constexpr Seconds kMaxWait = 90;
/// Time after boot before a machine counts as free capacity.
constexpr Seconds kBootGracePeriod = 5;

/// The job state in a changed record; none if it is not a job's record.
struct RecordedState {
  std::string job;
  JobState state = JobState::Pending;
};
std::optional<RecordedState> recorded_state(const SimulatedStore::Change& change) {
  if (const auto* live = std::get_if<JobRecord>(change.value.get()))
    return RecordedState{live->spec.id, live->state};
  if (const auto* finished = std::get_if<wire::FinishedRecord>(change.value.get()))
    return RecordedState{change.key.substr(keys::kFinished.size()), finished->state};
  return std::nullopt;
}
}  // namespace

Checker::Checker(const EventLoop& loop, const SimulationOptions& options, const Fleet& fleet,
                 ObservedJobs& jobs)
    : loop_(loop),
      options_(options),
      fleet_(fleet),
      jobs_(jobs),
      machine_capacity_(machine_type(options).capacity) {}

void Checker::add_violation(const std::string& rule, const TaskKey& key,
                            const std::string& details) {
  add_violation(fmt::format("{} {}/{} on {}", rule, key.job, key.task, details));
}

void Checker::add_violation(const std::string& description) {
  if (violations_.size() < kMaxViolations)
    violations_.push_back(fmt::format("{} at {:.6f} s", description, loop_.now()));
}

void Checker::on_task_started(const SimulatedMachine& machine, const TaskKey& key,
                              Seconds command_sent_at) {
  ++starts_;
  const ObservedJob& job = jobs_.at(key.job);
  if (job.cancelled_at && command_sent_at > *job.cancelled_at) {
    ++starts_after_cancel_;
    max_start_delay_after_cancel_ =
        std::max(max_start_delay_after_cancel_, command_sent_at - *job.cancelled_at);
  }
  check_dependencies_done(machine, key);
  std::map<std::string, uint32_t> zones;
  fleet_.for_each_present_task([&](const SimulatedMachine& other, const TaskKey& other_key) {
    if (other_key == key && other.id != machine.id)
      add_violation("ran_twice", key, machine.id + " while still present on " + other.id);
    if (other_key.job == key.job) ++zones[other.zone];
  });
  const JobSpec& spec = job.spec;
  if (spec.spread && zones[machine.zone] > (spec.tasks + 1) / 2)
    add_violation("wrong_place", key,
                  fmt::format("{}: zone {} has {} of {} tasks, limit {}", machine.id, machine.zone,
                              zones[machine.zone], spec.tasks, (spec.tasks + 1) / 2));
  if (spec.one_zone && zones.size() > 1)
    add_violation("wrong_place", key,
                  fmt::format("{}: tasks in {} zones, expected one", machine.id, zones.size()));
  if (spec.zone && *spec.zone != machine.zone)
    add_violation(
        "wrong_place", key,
        fmt::format("{} in zone {}, expected zone {}", machine.id, machine.zone, *spec.zone));
  if (machine.spot && !spec.spot)
    add_violation("wrong_place", key, machine.id + ": the job does not allow spot machines");
}

void Checker::on_started_again(const SimulatedMachine& machine, const TaskKey& key,
                               uint64_t attempt) {
  add_violation("started_again", key, fmt::format("{}: attempt {}", machine.id, attempt));
}

void Checker::check_dependencies_done(const SimulatedMachine& machine, const TaskKey& key) {
  const auto& dependencies = jobs_.at(key.job).spec.dependencies;
  if (dependencies.empty()) return;
  ++starts_of_dependents_;
  for (const auto& id : dependencies) {
    const ObservedJob& dependency = jobs_.at(id);
    if (!dependency.complete() || dependency.recorded_state != JobState::Done)
      add_violation("too_early", key, machine.id + " before its dependency " + id + " was done");
  }
}

void Checker::on_leader_write(uint64_t term, uint64_t nonce) {
  const auto [entry, added] = terms_.emplace(term, nonce);
  if (!added && entry->second != nonce)
    add_violation(fmt::format("two leaders under term {}: processes {} and {} have written", term,
                              entry->second, nonce));
}

void Checker::on_records_changed(const std::vector<SimulatedStore::Change>& changes) {
  for (const auto& change : changes) {
    const auto recorded = recorded_state(change);
    if (!recorded) continue;
    const auto& [id, state] = *recorded;
    ObservedJob& job = jobs_.at(id);
    job.recorded_state = state;
    if (state == JobState::Done && !job.complete())
      add_violation(fmt::format("not_done {}: recorded as done with {} of {} tasks done", id,
                                job.done_tasks.size(), job.spec.tasks));
    if (state != JobState::Cancelled && job.cancelled_at)
      add_violation(
          fmt::format("went_back {}: recorded as not cancelled, cancellation confirmed at "
                      "{:.3f} s",
                      id, *job.cancelled_at));
    if (state != JobState::Done && job.reported_done)
      add_violation("went_back " + id + ": recorded as not done after it was reported as done");
    if (state == JobState::Cancelled && !cancel_requested_transitively(jobs_, id))
      add_violation("went_back " + id + ": recorded as cancelled without a request to cancel it");
  }
}

void Checker::on_final_state_reported(const std::string& id, JobState state) {
  ObservedJob& job = jobs_.at(id);
  if (state == JobState::Done) {
    if (!job.complete())
      add_violation(fmt::format("not_done {}: reported as done with {} of {} tasks done", id,
                                job.done_tasks.size(), job.spec.tasks));
    if (job.cancelled_at)
      add_violation(
          fmt::format("went_back {}: reported as done, cancellation confirmed at {:.3f} s", id,
                      *job.cancelled_at));
    job.reported_done = true;
  } else if (state == JobState::Cancelled) {
    if (!cancel_requested_transitively(jobs_, id) || job.reported_done)
      add_violation(
          "went_back " + id + ": reported as cancelled " +
          (job.reported_done ? "after it was reported as done" : "without a request to cancel it"));
    if (dependency_cancelled_at(jobs_, id)) ++answers_after_cancel_;
    if (job.cancelled_at) return;
    job.cancelled_at = loop_.now();
    ++cancellations_;
    if (!job.cancel_requested) ++inherited_cancellations_;
  }
}

void Checker::on_unfinished_reported(const std::string& id, Seconds sent_at) {
  const ObservedJob& job = jobs_.at(id);
  if (job.cancelled_at && *job.cancelled_at < sent_at)
    add_violation(
        fmt::format("went_back {}: reported as unfinished to a request of {:.3f} s, "
                    "cancellation confirmed at {:.3f} s",
                    id, sent_at, *job.cancelled_at));
  const auto cancelled_at = dependency_cancelled_at(jobs_, id);
  if (!cancelled_at) return;
  // A request sent before the cancellation was confirmed may still be answered from an older copy
  // of the records, within the time limit for cancellations.
  const bool sent_later = *cancelled_at < sent_at;
  if (sent_later || loop_.now() > *cancelled_at + options_.cancel_s)
    add_violation(
        fmt::format("orphaned {}: reported as unfinished to a request of {:.3f} s, "
                    "cancellation of a dependency confirmed at {:.3f} s",
                    id, sent_at, *cancelled_at));
}

void Checker::on_unknown_job_reported(const std::string& id) {
  add_violation("went_back " + id + ": the job or a dependency was reported as unknown");
}

void Checker::on_faults_ended() {
  faults_ended_ = true;
}

void Checker::check() {
  check_cancelled_and_quota();
  if (loop_.now() < next_wait_check_) return;
  next_wait_check_ = loop_.now() + kWaitCheckInterval;
  if (faults_ended_) check_waiting_jobs();
}

void Checker::check_cancelled_and_quota() {
  std::map<std::string, double> gpus;
  fleet_.for_each_present_task([&](const SimulatedMachine& machine, const TaskKey& key) {
    const ObservedJob& job = jobs_.at(key.job);
    gpus[job.spec.team] += job.spec.request.gpus;
    // The limit also holds for hung and partitioned machines.
    if (job.cancelled_at && loop_.now() > *job.cancelled_at + options_.cancel_s)
      add_violation("ran_cancelled", key,
                    fmt::format("{}: cancellation confirmed at {:.3f} s, limit {:.3f} s later",
                                machine.id, *job.cancelled_at, options_.cancel_s));
  });
  if (gpus[kLimitedTeam] > kLimitedTeamGpus)
    add_violation(fmt::format("quota {}: {} GPUs in use, quota {}", kLimitedTeam,
                              gpus[kLimitedTeam], kLimitedTeamGpus));
}

void Checker::check_waiting_jobs() {
  const Usage used = usage();
  const Seconds now = loop_.now();
  for (auto& [id, job] : jobs_) {
    if (!could_start(id, job, used)) {
      job.waiting_since.reset();
    } else if (!job.waiting_since) {
      job.waiting_since = now;
    } else if (now - *job.waiting_since > kMaxWait) {
      add_violation(
          fmt::format("waits {}: tasks could be placed since {:.3f} s, limit {:.3f} s later", id,
                      *job.waiting_since, kMaxWait));
      job.waiting_since = now;
    }
  }
}

Checker::Usage Checker::usage(const std::string& without) const {
  Usage out;
  fleet_.for_each_present_task([&](const SimulatedMachine& machine, const TaskKey& key) {
    if (key.job == without) return;
    const JobSpec& spec = jobs_.at(key.job).spec;
    out.team_gpus[spec.team] += spec.request.gpus;
    out.machine_used[machine.id] += spec.request;
    ++out.job_zones[key.job][machine.zone];
    out.present.insert(key);
  });
  return out;
}

/// Whether every direct dependency is done and no cancellation of it can still take effect.
bool Checker::dependencies_done(const JobSpec& spec) const {
  return std::all_of(spec.dependencies.begin(), spec.dependencies.end(), [&](const auto& id) {
    const ObservedJob& dependency = jobs_.at(id);
    return dependency.complete() && (!dependency.cancel_requested || dependency.reported_done);
  });
}

bool Checker::could_start(const std::string& id, const ObservedJob& job, const Usage& used) const {
  const JobSpec& spec = job.spec;
  if (!job.accepted || job.cancel_requested || job.complete() || !dependencies_done(spec))
    return false;
  if (options_.models_gangs() && spec.is_multi_task_gang()) return gang_could_run(id, job);
  size_t absent = 0;
  for (uint32_t task = 0; task < spec.tasks; ++task)
    if (!job.done_tasks.contains(task) && !used.present.contains({id, task})) ++absent;
  if (absent == 0) return false;
  const size_t required = spec.kind == JobKind::Gang ? absent : 1;
  return placeable_tasks(id, spec, used) >= required && within_quota(spec, required, used);
}

bool Checker::gang_could_run(const std::string& id, const ObservedJob& job) const {
  const JobSpec& spec = job.spec;
  if (fleet_.running_tasks(id) == spec.tasks) return false;
  const Usage others = usage(id);
  return placeable_tasks(id, spec, others) >= spec.tasks && within_quota(spec, spec.tasks, others);
}

bool Checker::within_quota(const JobSpec& spec, size_t tasks, const Usage& used) const {
  if (spec.team != kLimitedTeam) return true;
  const auto team = used.team_gpus.find(kLimitedTeam);
  const double team_gpus = team == used.team_gpus.end() ? 0 : team->second;
  return team_gpus + static_cast<double>(tasks) * spec.request.gpus <= kLimitedTeamGpus;
}

size_t Checker::placeable_tasks(const std::string& id, const JobSpec& spec,
                                const Usage& used) const {
  const auto job_zones = used.job_zones.find(id);
  const auto zones =
      job_zones == used.job_zones.end() ? std::map<std::string, uint32_t>{} : job_zones->second;
  std::map<std::string, size_t> slots_by_zone;
  size_t slots = 0;
  for (const auto& [name, machine] : fleet_.machines()) {
    if (!can_place_on(machine, spec, zones)) continue;
    Resources free_capacity = machine_capacity_;
    const auto usage_here = used.machine_used.find(name);
    if (usage_here != used.machine_used.end()) free_capacity -= usage_here->second;
    while (spec.request.fits_in(free_capacity)) {
      free_capacity -= spec.request;
      ++slots_by_zone[machine.zone];
      ++slots;
    }
  }
  return spec.one_zone ? std::max(slots_by_zone[kEast], slots_by_zone[kWest]) : slots;
}

bool Checker::can_place_on(const SimulatedMachine& machine, const JobSpec& spec,
                           const std::map<std::string, uint32_t>& zones) const {
  if (loop_.now() < machine.up_at + kBootGracePeriod || machine.fails_all_tasks) return false;
  if (machine.spot && !spec.spot) return false;
  if (spec.zone && *spec.zone != machine.zone) return false;
  const auto zone = zones.find(machine.zone);
  const uint32_t in_zone = zone == zones.end() ? 0 : zone->second;
  if (spec.spread && in_zone >= spec.zone_limit()) return false;
  return !(spec.one_zone && zones.size() == 1 && zone == zones.end());
}

}  // namespace sumacquay::simulation
