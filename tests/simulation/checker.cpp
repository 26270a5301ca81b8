#include "simulation/checker.h"

#include <algorithm>

#include "store/record_cache.h"

namespace sumacquay::simulation {

namespace {
constexpr size_t kMostViolations = 20;
constexpr Seconds kWaitCheckInterval = 1;
/// How long a task that could be placed may wait for its start.
constexpr Seconds kLongestWait = 90;
/// Time after boot before a machine counts as free capacity.
constexpr Seconds kSettlingTime = 5;

/// The job state in a changed record; none if it is not a job's record.
struct RecordedState {
  std::string job;
  JobState state = JobState::Pending;
};
std::optional<RecordedState> recorded_state(const StateService::Change& change) {
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
      machine_room_(machine_type(options).capacity) {}

void Checker::violated(const std::string& rule, const TaskKey& key, const std::string& where) {
  violated(rule + " " + key.job + "/" + std::to_string(key.task) + " on " + where);
}

void Checker::violated(const std::string& what) {
  if (violations_.size() < kMostViolations)
    violations_.push_back(what + " at " + std::to_string(loop_.now()));
}

void Checker::task_started(const SimulatedMachine& machine, const TaskKey& key,
                           Seconds ordered_at) {
  ++starts_;
  const ObservedJob& job = jobs_.at(key.job);
  if (job.cancelled_at && ordered_at > *job.cancelled_at) {
    ++starts_after_cancel_;
    ordered_after_cancel_ = std::max(ordered_after_cancel_, ordered_at - *job.cancelled_at);
  }
  check_dependencies_done(machine, key);
  std::map<std::string, uint32_t> zones;
  fleet_.each_present([&](const SimulatedMachine& other, const TaskKey& present) {
    if (present == key && other.id != machine.id)
      violated("ran_twice", key, machine.id + " and " + other.id);
    if (present.job == key.job) ++zones[other.zone];
  });
  const JobSpec& spec = job.spec;
  if (spec.spread && zones[machine.zone] > (spec.tasks + 1) / 2)
    violated("wrong_place", key, machine.id);
  if (spec.one_zone && zones.size() > 1) violated("wrong_place", key, machine.id);
  if (spec.zone && *spec.zone != machine.zone) violated("wrong_place", key, machine.id);
  if (machine.spot && !spec.spot) violated("wrong_place", key, machine.id);
}

void Checker::check_dependencies_done(const SimulatedMachine& machine, const TaskKey& key) {
  const auto& dependencies = jobs_.at(key.job).spec.dependencies;
  if (dependencies.empty()) return;
  ++starts_of_dependents_;
  for (const auto& id : dependencies) {
    const ObservedJob& dependency = jobs_.at(id);
    if (!dependency.complete() || dependency.recorded != JobState::Done)
      violated("too_early", key, machine.id + " before " + id);
  }
}

void Checker::wrote_under_term(uint64_t term, uint64_t nonce) {
  const auto [known, added] = terms_.emplace(term, nonce);
  if (!added && known->second != nonce) violated("two leaders under term " + std::to_string(term));
}

void Checker::records_changed(const std::vector<StateService::Change>& changes) {
  for (const auto& change : changes) {
    const auto recorded = recorded_state(change);
    if (!recorded) continue;
    const auto& [id, state] = *recorded;
    ObservedJob& job = jobs_.at(id);
    job.recorded = state;
    if (state == JobState::Done && !job.complete()) violated("not_done " + id);
    if (state != JobState::Cancelled && job.cancelled_at) violated("went_back " + id);
    if (state != JobState::Done && job.told_done) violated("went_back " + id);
    if (state == JobState::Cancelled && !cancel_asked_of_chain(jobs_, id))
      violated("went_back " + id);
  }
}

void Checker::user_told(const std::string& id, JobState state) {
  ObservedJob& job = jobs_.at(id);
  if (state == JobState::Done) {
    if (!job.complete()) violated("not_done " + id);
    if (job.cancelled_at) violated("went_back " + id);
    job.told_done = true;
  } else if (state == JobState::Cancelled) {
    if (!cancel_asked_of_chain(jobs_, id) || job.told_done) violated("went_back " + id);
    if (cancelled_before(jobs_, id)) ++answers_after_cancel_;
    if (job.cancelled_at) return;
    job.cancelled_at = loop_.now();
    ++cancellations_;
    if (!job.cancel_asked) ++inherited_cancellations_;
  }
}

void Checker::user_told_unfinished(const std::string& id, Seconds asked_at) {
  const ObservedJob& job = jobs_.at(id);
  if (job.cancelled_at && *job.cancelled_at < asked_at) violated("went_back " + id);
  const auto before = cancelled_before(jobs_, id);
  if (!before) return;
  // A request sent before the cancellation was confirmed may still be answered from an older copy
  // of the records, within the time limit for cancellations.
  const bool asked_later = *before < asked_at;
  if (asked_later || loop_.now() > *before + options_.cancel_s) violated("orphaned " + id);
}

void Checker::user_told_unknown(const std::string& id) {
  violated("went_back " + id + " unknown");
}

void Checker::faults_ended() {
  quiet_ = true;
}

void Checker::check() {
  check_cancelled_and_quota();
  if (loop_.now() < next_wait_check_) return;
  next_wait_check_ = loop_.now() + kWaitCheckInterval;
  if (quiet_) check_waiting();
}

void Checker::check_cancelled_and_quota() {
  std::map<std::string, double> gpus;
  fleet_.each_present([&](const SimulatedMachine& machine, const TaskKey& key) {
    const ObservedJob& job = jobs_.at(key.job);
    gpus[job.spec.team] += job.spec.request.gpus;
    // The limit also holds for hung and partitioned machines.
    if (job.cancelled_at && loop_.now() > *job.cancelled_at + options_.cancel_s)
      violated("ran_cancelled", key, machine.id);
  });
  if (gpus[kLimitedTeam] > kLimitedTeamGpus) violated("quota", {kLimitedTeam, 0}, "all");
}

void Checker::check_waiting() {
  const Usage used = usage();
  const Seconds now = loop_.now();
  for (auto& [id, job] : jobs_) {
    if (!could_start(id, job, used)) {
      job.waits_since.reset();
    } else if (!job.waits_since) {
      job.waits_since = now;
    } else if (now - *job.waits_since > kLongestWait) {
      violated("waits " + id);
      job.waits_since = now;
    }
  }
}

Checker::Usage Checker::usage() const {
  Usage out;
  fleet_.each_present([&](const SimulatedMachine& machine, const TaskKey& key) {
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
    return dependency.complete() && (!dependency.cancel_asked || dependency.told_done);
  });
}

bool Checker::could_start(const std::string& id, const ObservedJob& job, const Usage& used) const {
  const JobSpec& spec = job.spec;
  size_t absent = 0;
  for (uint32_t task = 0; task < spec.tasks; ++task)
    if (!job.done.contains(task) && !used.present.contains({id, task})) ++absent;
  if (!job.accepted || job.cancel_asked || absent == 0 || !dependencies_done(spec)) return false;
  const size_t wants = spec.kind == JobKind::Gang ? absent : 1;
  if (room_for(id, spec, used) < wants) return false;
  if (spec.team != kLimitedTeam) return true;
  const auto team = used.team_gpus.find(kLimitedTeam);
  const double team_gpus = team == used.team_gpus.end() ? 0 : team->second;
  return team_gpus + static_cast<double>(wants) * spec.request.gpus <= kLimitedTeamGpus;
}

size_t Checker::room_for(const std::string& id, const JobSpec& spec, const Usage& used) const {
  const auto known = used.job_zones.find(id);
  const auto zones =
      known == used.job_zones.end() ? std::map<std::string, uint32_t>{} : known->second;
  std::map<std::string, size_t> places;
  size_t all = 0;
  for (const auto& [name, machine] : fleet_.machines()) {
    if (!may_use(machine, spec, zones)) continue;
    Resources room = machine_room_;
    const auto taken = used.machine_used.find(name);
    if (taken != used.machine_used.end()) room -= taken->second;
    while (spec.request.fits_in(room)) {
      room -= spec.request;
      ++places[machine.zone];
      ++all;
    }
  }
  return spec.one_zone ? std::max(places[kEast], places[kWest]) : all;
}

bool Checker::may_use(const SimulatedMachine& machine, const JobSpec& spec,
                      const std::map<std::string, uint32_t>& zones) const {
  if (loop_.now() < machine.up_at + kSettlingTime || machine.quarantined) return false;
  if (machine.spot && !spec.spot) return false;
  if (spec.zone && *spec.zone != machine.zone) return false;
  const auto there = zones.find(machine.zone);
  const uint32_t in_zone = there == zones.end() ? 0 : there->second;
  if (spec.spread && in_zone >= spec.zone_limit()) return false;
  return !(spec.one_zone && zones.size() == 1 && there == zones.end());
}

}  // namespace sumacquay::simulation
