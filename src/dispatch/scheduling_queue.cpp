// Which jobs wait for machines, in which order, and what their teams' limits leave them.
#include <algorithm>
#include <cmath>
#include <compare>
#include <string_view>
#include <vector>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

/// Decides the order in which a round places jobs: a smaller rank goes first.
struct SchedulingOrder {
  /// A job that might preempt another goes before it: started the other way round, the other would
  /// only be stopped again.
  int negated_priority = 0;
  /// A job within its team's guarantee need not wait for other teams, and what it has stopped must
  /// not be back in its place before it.
  bool beyond_fair_share = false;
  /// Of those that can stop nobody: tasks that need no GPUs fit into every gap and would take the
  /// CPUs beside all GPUs.
  bool fits_every_gap = false;
  double arrival_period = 0;  ///< jobs that arrive within one heartbeat period arrive together
  int negated_gang_size = 0;  ///< of these the largest gang goes first
  uint64_t arrival_ms = 0;
  std::string_view id;
  auto operator<=>(const SchedulingOrder&) const = default;
};

SchedulingOrder scheduling_order_of(const Job& job, bool within_fair_share, uint64_t arrival_ms,
                                    Seconds period) {
  constexpr double kMsPerSecond = 1000;
  const JobSpec& spec = job.spec();
  SchedulingOrder rank;
  rank.negated_priority = -static_cast<int>(job.priority);
  rank.beyond_fair_share = !within_fair_share;
  rank.fits_every_gap = job.priority == Priority::Low && spec.request.gpus == 0;
  rank.arrival_period = std::floor(static_cast<double>(arrival_ms) / (period * kMsPerSecond));
  rank.negated_gang_size = spec.kind == JobKind::Gang ? -static_cast<int>(spec.tasks) : 0;
  rank.arrival_ms = arrival_ms;
  rank.id = spec.id;
  return rank;
}

struct RankedJob {
  SchedulingOrder rank;
  Job* job = nullptr;
};

}  // namespace

void Scheduler::count_quota_usage() {
  quota_usage_.clear();
  for (const auto& [id, job] : jobs_) {
    size_t n = 0;
    for (const auto& [task, places] : job.possible_placements) n += places.size();
    // What nobody has accounted for since the takeover may be running somewhere. Of a gang that is
    // done some tasks may not have exited yet.
    if (placement_unknown(job)) {
      const uint32_t gone = job.spec().kind == JobKind::Array ? job.stored.done.count() : 0;
      n = std::max<size_t>(n, job.spec().tasks - std::min(job.spec().tasks, gone));
    }
    quota_usage_[job.spec().team] += job.spec().request.times(static_cast<double>(n));
  }
}

/// Whether tasks of the job may be on machines that nobody has accounted for since the takeover.
bool Scheduler::placement_unknown(const Job& job) const {
  if (!job.stored.started || all_reconciled()) return false;
  if (!job.stored.hosts) return true;
  return std::any_of(job.stored.hosts->begin(), job.stored.hosts->end(), [this](const auto& id) {
    const auto machine = machines_.find(id);
    return machine != machines_.end() && !machine->second.reconciled;
  });
}

size_t Scheduler::remaining_quota(const Job& job) const {
  const TeamSettings* team = settings_.team(job.spec().team);
  if (!team) return 0;
  const auto it = quota_usage_.find(team->name);
  const Resources used = it == quota_usage_.end() ? Resources{} : it->second;
  auto fits = [](double limit, double used, double request) {
    if (limit <= 0 || request <= 0) return 1e9;
    return std::max(0.0, std::floor((limit - used) / request + 1e-6));
  };
  return static_cast<size_t>(std::min(fits(team->cpus_max, used.cpus, job.spec().request.cpus),
                                      fits(team->gpus_max, used.gpus, job.spec().request.gpus)));
}

/// Whether a round may start anything of the job.
bool Scheduler::may_be_placed(Job& job, Seconds now) {
  if (!job.runnable() || !ready(job) || now < job.backoff_until || placement_unknown(job))
    return false;
  if (!job.start_recordable()) return false;
  count_arrival(job);
  if (job.possible_placements.size() + job.done.count() >= job.spec().tasks) return false;
  if (job.spec().kind == JobKind::Gang && !job.possible_placements.empty()) return false;
  if (!crash_looping(job) || job.possible_placements.empty()) return true;
  if (!runs_steadily(job, now)) return false;
  record_task_success(job, now);
  return true;
}

/// The jobs that a round may place something of, in the order of their ranks.
std::vector<Job*> Scheduler::scheduling_queue(Seconds now) {
  std::vector<Job*> jobs;
  for (auto& [id, job] : jobs_)
    if (may_be_placed(job, now)) jobs.push_back(&job);
  find_jobs_within_fair_share(jobs);
  std::vector<RankedJob> ranked;
  ranked.reserve(jobs.size());
  for (Job* job : jobs) {
    const bool within_fair_share = within_fair_share_.contains(job->spec().id);
    ranked.push_back({scheduling_order_of(*job, within_fair_share, arrival_ms(*job),
                                          settings_.heartbeat_period_s),
                      job});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedJob& a, const RankedJob& b) { return a.rank < b.rank; });
  std::transform(ranked.begin(), ranked.end(), jobs.begin(),
                 [](const RankedJob& entry) { return entry.job; });
  return jobs;
}

/// Finds the jobs within guarantees, if any of those that wait could be one of them.
void Scheduler::find_jobs_within_fair_share(const std::vector<Job*>& waiting) {
  within_fair_share_.clear();
  JobIds teams;
  for (const auto& team : settings_.teams)
    if (has_fair_share(team)) teams.insert(team.name);
  if (teams.empty()) return;
  const auto claims = [&teams](const Job& job) { return teams.contains(job.spec().team); };
  if (std::none_of(waiting.begin(), waiting.end(), [&](const Job* job) { return claims(*job); }))
    return;
  std::vector<UnfinishedJob> unfinished;
  for (const auto& [id, job] : jobs_) {
    if (!job.runnable() || !ready(job) || !claims(job)) continue;
    const uint32_t ended = job.spec().kind == JobKind::Array ? job.done.count() : 0;
    unfinished.push_back({&job.spec(), job.spec().tasks - ended, arrival_ms(job)});
  }
  within_fair_share_ = within_fair_share(settings_.teams, std::move(unfinished));
}

}  // namespace sumacquay
