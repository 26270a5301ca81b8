#include "dispatch/quota_tracker.h"

#include <algorithm>
#include <cmath>

namespace sumacquay {
namespace {

/// Represents "no limit"; more tasks than any job has.
constexpr double kUnlimitedTasks = 1e9;
/// Compensates for rounding errors in sums of decimal amounts.
constexpr double kRoundingTolerance = 1e-6;

double max_additional_tasks(double limit, double used, double request) {
  if (limit <= 0 || request <= 0) return kUnlimitedTasks;
  return std::max(0.0, std::floor((limit - used) / request + kRoundingTolerance));
}

}  // namespace

/// Counts the tasks that may be present. Until the machines of the job are reconciled after a
/// failover, every task may be present except the stored completions of an array. Completions of a
/// gang are not excluded, since some of its tasks may not have exited yet.
size_t QuotaTracker::possibly_present_tasks(const Job& job) const {
  size_t count = 0;
  for (const auto& [task, placements] : job.possible_placements) count += placements.size();
  if (!state_.placement_unknown(job)) return count;
  const uint32_t excluded = job.spec().kind == JobKind::Array ? job.stored.done.count() : 0;
  return std::max<size_t>(count, job.spec().tasks - std::min(job.spec().tasks, excluded));
}

void QuotaTracker::count_usage() {
  usage_.clear();
  for (const auto& [id, job] : state_.jobs())
    usage_[job.spec().team] +=
        job.spec().request.times(static_cast<double>(possibly_present_tasks(job)));
}

size_t QuotaTracker::remaining_tasks(const Job& job) const {
  const TeamSettings* team = state_.settings().team(job.spec().team);
  if (!team) return 0;
  const auto found = usage_.find(team->name);
  const Resources used = found == usage_.end() ? Resources{} : found->second;
  const Resources& request = job.spec().request;
  return static_cast<size_t>(
      std::min(max_additional_tasks(team->cpus_max, used.cpus, request.cpus),
               max_additional_tasks(team->gpus_max, used.gpus, request.gpus)));
}

}  // namespace sumacquay
