#include "simulators/rule_checker.h"

#include <algorithm>

#include "placement/placement.h"

namespace sumacquay::simulators {
namespace {

constexpr size_t kMaxViolations = 50;
/// Tolerance for rounding errors in sums of resources.
constexpr double kRoundingTolerance = 1e-6;

std::string format_task_key(const TaskKey& key) {
  return key.job + "/" + std::to_string(key.task);
}

}  // namespace

RuleChecker::RuleChecker(const std::vector<TeamSettings>& teams, Seconds cancel_s,
                         SubmittedJobs& jobs)
    : cancel_s_(cancel_s), jobs_(jobs) {
  for (const auto& team : teams) teams_[team.name] = team;
}

void RuleChecker::add_violation(const std::string& violation, Seconds now) {
  if (violations_.size() < kMaxViolations)
    violations_.push_back(violation + " at " + std::to_string(now));
}

void RuleChecker::on_task_started(const WorkerState& worker, const TaskKey& key, Seconds now) {
  ++starts_;
  const auto job = jobs_.find(key.job);
  if (job == jobs_.end())
    return add_violation("invented " + format_task_key(key) + " on " + worker.id, now);
  const JobSpec& spec = job->second.spec;
  auto& locations = task_locations_[key];
  for (const auto& location : locations)
    add_violation(
        "ran_twice " + format_task_key(key) + " on " + location.machine + " and " + worker.id, now);
  locations.push_back({worker.id, worker.zone});
  JobLocations& job_locations = job_locations_[key.job];
  ++job_locations.tasks_by_zone[worker.zone];
  ++job_locations.tasks;
  team_usage_[spec.team] += spec.request;
  check_quota(spec, now);
  check_placement(worker, key, spec, now);
}

void RuleChecker::check_quota(const JobSpec& spec, Seconds now) {
  const auto team = teams_.find(spec.team);
  if (team == teams_.end()) return add_violation("quota of unknown team " + spec.team, now);
  const Resources& usage = team_usage_[spec.team];
  const bool over_cpus =
      team->second.cpus_max > 0 && usage.cpus > team->second.cpus_max + kRoundingTolerance;
  const bool over_gpus =
      team->second.gpus_max > 0 && usage.gpus > team->second.gpus_max + kRoundingTolerance;
  if (over_cpus || over_gpus) add_violation("quota " + spec.team, now);
}

void RuleChecker::check_placement(const WorkerState& worker, const TaskKey& key,
                                  const JobSpec& spec, Seconds now) {
  const JobLocations& locations = job_locations_[key.job];
  const bool zone_limit_exceeded =
      spec.spread && locations.tasks_by_zone.at(worker.zone) > spec.zone_limit();
  const bool in_several_zones = spec.one_zone && locations.tasks_by_zone.size() > 1;
  if (zone_limit_exceeded || in_several_zones ||
      !constraints_allow(spec, worker.type, worker.zone, worker.spot))
    add_violation("wrong_place " + format_task_key(key) + " on " + worker.id, now);
}

void RuleChecker::on_task_removed(const WorkerState& worker, const TaskKey& key) {
  const auto found = task_locations_.find(key);
  if (found == task_locations_.end()) return;
  auto& locations = found->second;
  const auto location =
      std::find_if(locations.begin(), locations.end(),
                   [&](const Location& candidate) { return candidate.machine == worker.id; });
  if (location == locations.end()) return;
  JobLocations& job_locations = job_locations_[key.job];
  if (--job_locations.tasks_by_zone[location->zone] == 0)
    job_locations.tasks_by_zone.erase(location->zone);
  --job_locations.tasks;
  if (job_locations.tasks == 0) job_locations_.erase(key.job);
  locations.erase(location);
  if (locations.empty()) task_locations_.erase(found);
  const auto job = jobs_.find(key.job);
  if (job != jobs_.end()) team_usage_[job->second.spec.team] -= job->second.spec.request;
}

void RuleChecker::on_done_reported(const std::string& id, Seconds now) {
  SubmittedJob& job = jobs_.at(id);
  if (!job.complete()) add_violation("not_done " + id, now);
  if (job.cancel_confirmed_at) add_violation("went_back " + id, now);
  if (!job.reported_done_at) job.reported_done_at = now;
}

void RuleChecker::on_cancellation_reported(const std::string& id, Seconds now) {
  SubmittedJob& job = jobs_.at(id);
  if (!job.cancel_requested_at || job.reported_done_at) add_violation("went_back " + id, now);
  if (!job.cancel_confirmed_at) job.cancel_confirmed_at = now;
}

void RuleChecker::on_unfinished_reported(const std::string& id, Seconds requested_at) {
  const SubmittedJob& job = jobs_.at(id);
  const bool was_cancelled = job.cancel_confirmed_at && *job.cancel_confirmed_at < requested_at;
  const bool was_done = job.reported_done_at && *job.reported_done_at < requested_at;
  if (was_cancelled || was_done) add_violation("went_back " + id, requested_at);
}

void RuleChecker::on_unknown_job_reported(const std::string& id, Seconds now) {
  add_violation("forgotten " + id, now);
}

void RuleChecker::check_cancelled_jobs(Seconds now) {
  for (const auto& [id, locations] : job_locations_) {
    const auto job = jobs_.find(id);
    if (job == jobs_.end() || !job->second.cancel_confirmed_at) continue;
    if (now > *job->second.cancel_confirmed_at + cancel_s_)
      add_violation("ran_cancelled " + id, now);
  }
}

}  // namespace sumacquay::simulators
