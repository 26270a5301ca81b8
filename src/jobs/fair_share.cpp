#include "jobs/fair_share.h"

#include <algorithm>
#include <tuple>

namespace sumacquay {
namespace {

/// Tolerance for rounding errors in sums of floating-point amounts.
constexpr double kRoundingTolerance = 1e-6;

bool has_required_share(const TeamSettings& team, const Resources& request) {
  return request.gpus > 0 ? team.gpus > 0 : team.cpus > 0;
}

bool exceeds_share(double used, double fair_share) {
  return fair_share > 0 && used > fair_share + kRoundingTolerance;
}

bool falls_below_share(double running, double lost, double fair_share) {
  return fair_share > 0 && lost > 0 && running - lost < fair_share - kRoundingTolerance;
}

bool submitted_earlier(const UnfinishedJob& left, const UnfinishedJob& right) {
  return std::tie(left.submitted_ms, left.spec->id) < std::tie(right.submitted_ms, right.spec->id);
}

}  // namespace

bool has_fair_share(const TeamSettings& team) {
  return team.cpus > 0 || team.gpus > 0;
}

JobIds within_fair_share(const std::vector<TeamSettings>& teams, std::vector<UnfinishedJob> jobs) {
  struct Claim {
    const TeamSettings* team = nullptr;
    Resources claimed;
  };
  std::unordered_map<std::string_view, Claim> claims;
  for (const auto& team : teams)
    if (has_fair_share(team)) claims[team.name].team = &team;
  std::erase_if(jobs, [&](const UnfinishedJob& job) { return !claims.contains(job.spec->team); });
  std::sort(jobs.begin(), jobs.end(), submitted_earlier);

  JobIds within;
  for (const auto& job : jobs) {
    Claim& claim = claims.at(job.spec->team);
    claim.claimed += job.spec->request.times(job.tasks_left);
    if (exceeds_share(claim.claimed.cpus, claim.team->cpus)) continue;
    if (exceeds_share(claim.claimed.gpus, claim.team->gpus)) continue;
    if (has_required_share(*claim.team, job.spec->request)) within.insert(job.spec->id);
  }
  return within;
}

RunningResources::RunningResources(const std::vector<TeamSettings>& teams) {
  for (const auto& team : teams) teams_[team.name].settings = &team;
}

void RunningResources::add(std::string_view team, const Resources& amounts) {
  const auto found = teams_.find(team);
  if (found != teams_.end()) found->second.running += amounts;
}

void RunningResources::remove(std::string_view team, const Resources& amounts) {
  const auto found = teams_.find(team);
  if (found != teams_.end()) found->second.running -= amounts;
}

bool RunningResources::keeps_fair_share_without(std::string_view team,
                                                const Resources& amounts) const {
  const auto found = teams_.find(team);
  if (found == teams_.end()) return false;
  const auto& [settings, running] = found->second;
  return !falls_below_share(running.cpus, amounts.cpus, settings->cpus) &&
         !falls_below_share(running.gpus, amounts.gpus, settings->gpus);
}

}  // namespace sumacquay
