#include "dispatch/scheduling_queue.h"

#include <algorithm>
#include <cmath>
#include <compare>
#include <utility>

#include "dispatch/record_ingestion.h"

namespace sumacquay {
namespace {

/// Sort key of the jobs in a round, the smallest first.
struct SchedulingOrder {
  /// A job that may preempt another is placed before it; otherwise the other job would be started
  /// and then preempted.
  int negated_priority = 0;
  /// A job within its team's fair share does not wait for other teams. Placing it first also keeps
  /// a task that it has preempted from taking the room again.
  bool beyond_fair_share = false;
  /// Among jobs of the lowest priority, which cannot preempt by priority, tasks without GPUs come
  /// last: they fit on nearly any machine and would take the CPUs that GPU tasks need.
  bool low_priority_without_gpus = false;
  double arrival_period = 0;  ///< arrival time in heartbeat periods, rounded down
  int negated_gang_size = 0;  ///< within a period the largest gang comes first
  uint64_t arrival_ms = 0;
  std::string_view id;
  auto operator<=>(const SchedulingOrder&) const = default;
};

SchedulingOrder scheduling_order_of(const Job& job, bool within_fair_share, uint64_t arrival_ms,
                                    Seconds period) {
  constexpr double kMsPerSecond = 1000;
  const JobSpec& spec = job.spec();
  SchedulingOrder order;
  order.negated_priority = -static_cast<int>(job.priority);
  order.beyond_fair_share = !within_fair_share;
  order.low_priority_without_gpus = job.priority == Priority::Low && spec.request.gpus == 0;
  order.arrival_period = std::floor(static_cast<double>(arrival_ms) / (period * kMsPerSecond));
  order.negated_gang_size = spec.kind == JobKind::Gang ? -static_cast<int>(spec.tasks) : 0;
  order.arrival_ms = arrival_ms;
  order.id = spec.id;
  return order;
}

/// A waiting job with its sort key.
struct QueuedJob {
  SchedulingOrder order;
  Job* job = nullptr;
};

}  // namespace

/// Whether a round may place tasks of the job. A crash-looping job gets one task at a time, until
/// one of its tasks runs steadily.
bool SchedulingQueue::may_be_placed(Job& job, Seconds now) {
  if (!job.runnable() || !state_.ready(job) || now < job.backoff_until ||
      state_.placement_unknown(job))
    return false;
  if (!job.can_record_host()) return false;
  count_arrival(state_, arrivals_, job);
  if (job.possible_placements.size() + job.done.count() >= job.spec().tasks) return false;
  if (job.spec().kind == JobKind::Gang && !missing_gang_tasks_may_join(job)) return false;
  if (!failures_.crash_looping(job) || job.possible_placements.empty()) return true;
  if (!failures_.runs_steadily(job, now)) return false;
  failures_.record_task_success(job, now);
  return true;
}

/// Whether the missing tasks of a gang may be placed while others of its tasks are present: beside
/// image fetches of an abandoned attempt they are placed as soon as they are missing, or jobs after
/// the gang would take the room. A gang that was found after a failover without some of its tasks
/// is abandoned in its round.
bool SchedulingQueue::missing_gang_tasks_may_join(const Job& job) const {
  if (job.possible_placements.empty()) return true;
  return job.gang_attempt_state != GangAttemptState::Abandoned ||
         state_.image_fetches_left(job) > 0;
}

std::vector<Job*> SchedulingQueue::waiting_jobs(Seconds now) {
  std::vector<Job*> jobs;
  for (auto& [id, job] : state_.jobs())
    if (may_be_placed(job, now)) jobs.push_back(&job);
  find_jobs_within_fair_share(jobs);
  std::vector<QueuedJob> queue;
  queue.reserve(jobs.size());
  const Seconds period = state_.settings().heartbeat_period_s;
  for (Job* job : jobs) {
    const bool within = within_fair_share(job->spec().id);
    queue.push_back({scheduling_order_of(*job, within, state_.arrival_ms(*job), period), job});
  }
  std::sort(queue.begin(), queue.end(), [](const QueuedJob& first, const QueuedJob& second) {
    return first.order < second.order;
  });
  std::transform(queue.begin(), queue.end(), jobs.begin(),
                 [](const QueuedJob& entry) { return entry.job; });
  return jobs;
}

/// Finds the jobs within their team's fair share. Skipped if no waiting job belongs to a team with
/// a fair share.
void SchedulingQueue::find_jobs_within_fair_share(const std::vector<Job*>& waiting) {
  within_fair_share_.clear();
  const auto& team_settings = state_.settings().teams;
  JobIds teams;
  for (const auto& team : team_settings)
    if (has_fair_share(team)) teams.insert(team.name);
  if (teams.empty()) return;
  const auto has_share = [&teams](const Job& job) { return teams.contains(job.spec().team); };
  if (std::none_of(waiting.begin(), waiting.end(), [&](const Job* job) { return has_share(*job); }))
    return;
  std::vector<UnfinishedJob> unfinished;
  for (const auto& [id, job] : state_.jobs()) {
    if (!job.runnable() || !state_.ready(job) || !has_share(job)) continue;
    const uint32_t completed = job.spec().kind == JobKind::Array ? job.done.count() : 0;
    unfinished.push_back({&job.spec(), job.spec().tasks - completed, state_.arrival_ms(job)});
  }
  within_fair_share_ = sumacquay::within_fair_share(team_settings, std::move(unfinished));
}

}  // namespace sumacquay
