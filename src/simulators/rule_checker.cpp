#include "simulators/rule_checker.h"

#include <algorithm>

#include "placement/placement.h"

namespace sumacquay::simulators {
namespace {

constexpr size_t kMostViolations = 50;
/// Tolerance for rounding errors in sums of resources.
constexpr double kSlack = 1e-6;

std::string text_of(const TaskKey& key) {
  return key.job + "/" + std::to_string(key.task);
}

}  // namespace

RuleChecker::RuleChecker(const std::vector<TeamSettings>& teams, Seconds cancel_s, JobBook& jobs)
    : cancel_s_(cancel_s), jobs_(jobs) {
  for (const auto& team : teams) teams_[team.name] = team;
}

void RuleChecker::violated(const std::string& what, Seconds now) {
  if (violations_.size() < kMostViolations)
    violations_.push_back(what + " at " + std::to_string(now));
}

void RuleChecker::task_arrived(const WorkerState& worker, const TaskKey& key, Seconds now) {
  ++starts_;
  const auto job = jobs_.find(key.job);
  if (job == jobs_.end()) return violated("invented " + text_of(key) + " on " + worker.id, now);
  const JobSpec& spec = job->second.spec;
  auto& places = present_[key];
  for (const auto& place : places)
    violated("ran_twice " + text_of(key) + " on " + place.machine + " and " + worker.id, now);
  places.push_back({worker.id, worker.zone});
  JobPlaces& of_job = places_[key.job];
  ++of_job.by_zone[worker.zone];
  ++of_job.tasks;
  used_[spec.team] += spec.request;
  check_quota(spec, now);
  check_place(worker, key, spec, now);
}

void RuleChecker::check_quota(const JobSpec& spec, Seconds now) {
  const auto team = teams_.find(spec.team);
  if (team == teams_.end()) return violated("quota of unknown team " + spec.team, now);
  const Resources& used = used_[spec.team];
  const bool over_cpus = team->second.cpus_max > 0 && used.cpus > team->second.cpus_max + kSlack;
  const bool over_gpus = team->second.gpus_max > 0 && used.gpus > team->second.gpus_max + kSlack;
  if (over_cpus || over_gpus) violated("quota " + spec.team, now);
}

void RuleChecker::check_place(const WorkerState& worker, const TaskKey& key, const JobSpec& spec,
                              Seconds now) {
  const JobPlaces& places = places_[key.job];
  const bool zone_full = spec.spread && places.by_zone.at(worker.zone) > spec.zone_limit();
  const bool zones_mixed = spec.one_zone && places.by_zone.size() > 1;
  if (zone_full || zones_mixed || !allowed(spec, worker.type, worker.zone, worker.spot))
    violated("wrong_place " + text_of(key) + " on " + worker.id, now);
}

void RuleChecker::task_left(const WorkerState& worker, const TaskKey& key) {
  const auto present = present_.find(key);
  if (present == present_.end()) return;
  auto& places = present->second;
  const auto place = std::find_if(places.begin(), places.end(),
                                  [&](const Place& p) { return p.machine == worker.id; });
  if (place == places.end()) return;
  JobPlaces& of_job = places_[key.job];
  if (--of_job.by_zone[place->zone] == 0) of_job.by_zone.erase(place->zone);
  --of_job.tasks;
  if (of_job.tasks == 0) places_.erase(key.job);
  places.erase(place);
  if (places.empty()) present_.erase(present);
  const auto job = jobs_.find(key.job);
  if (job != jobs_.end()) used_[job->second.spec.team] -= job->second.spec.request;
}

void RuleChecker::user_told_done(const std::string& id, Seconds now) {
  SubmittedJob& job = jobs_.at(id);
  if (!job.complete()) violated("not_done " + id, now);
  if (job.cancelled_at) violated("went_back " + id, now);
  if (!job.told_done_at) job.told_done_at = now;
}

void RuleChecker::user_told_cancelled(const std::string& id, Seconds now) {
  SubmittedJob& job = jobs_.at(id);
  if (!job.cancel_asked_at || job.told_done_at) violated("went_back " + id, now);
  if (!job.cancelled_at) job.cancelled_at = now;
}

void RuleChecker::user_told_unfinished(const std::string& id, Seconds asked_at) {
  const SubmittedJob& job = jobs_.at(id);
  const bool was_cancelled = job.cancelled_at && *job.cancelled_at < asked_at;
  const bool was_done = job.told_done_at && *job.told_done_at < asked_at;
  if (was_cancelled || was_done) violated("went_back " + id, asked_at);
}

void RuleChecker::user_told_unknown(const std::string& id, Seconds now) {
  violated("forgotten " + id, now);
}

void RuleChecker::check_cancelled(Seconds now) {
  for (const auto& [id, places] : places_) {
    const auto job = jobs_.find(id);
    if (job == jobs_.end() || !job->second.cancelled_at) continue;
    if (now > *job->second.cancelled_at + cancel_s_) violated("ran_cancelled " + id, now);
  }
}

}  // namespace sumacquay::simulators
