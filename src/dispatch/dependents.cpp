// Jobs that depend on others: when they arrive, and what priority they lend to those.
#include <algorithm>
#include <vector>

#include "dispatch/scheduler.h"

namespace sumacquay {

void Scheduler::on_dependency_finished(const std::string& id, const FinishedRecord& record) {
  dependencies_.finished(id, record.state, record.ended_ms);
}

/// A job that is over stays among the live ones until nothing of it is left anywhere, and the graph
/// keeps it only for those that it knows to depend on it.
void Scheduler::track_dependencies(const JobRecord& record) {
  dependencies_.update(record);
  for (const auto& id : record.spec.dependencies)
    if (const Job* dependency = find_job(id)) dependencies_.update(dependency->stored);
}

/// A job that depends on others arrives when the last of them is done.
uint64_t Scheduler::arrival_ms(const Job& job) const {
  return std::max(
      {job.stored.submitted_ms, job.stored.ready_ms, dependencies_.ready_ms(job.spec().id)});
}

Seconds Scheduler::arrival(const Job& job) const {
  return static_cast<double>(arrival_ms(job)) / 1000 - wall_offset_;
}

/// Called when the job is met first. Those that depend on it may have been met before.
void Scheduler::inherit_priority(Job& job) {
  job.priority = job.spec().priority;
  for (const auto& id : dependencies_.dependents(job.spec().id))
    if (const Job* dependent = find_job(id))
      job.priority = std::max(job.priority, dependent->priority);
  for (const auto& id : dependencies_.dependencies(job.spec().id)) raise_priority(id, job.priority);
}

void Scheduler::raise_priority(const std::string& id, Priority priority) {
  std::vector<std::string> raised{id};
  while (!raised.empty()) {
    Job* job = find_job(raised.back());
    raised.pop_back();
    if (!job || job->priority >= priority) continue;
    job->priority = priority;
    const auto& next = dependencies_.dependencies(job->spec().id);
    raised.insert(raised.end(), next.begin(), next.end());
  }
}

void Scheduler::count_arrival(Job& job) {
  if (job.counted_as_arrival || !ready(job)) return;
  job.counted_as_arrival = true;
  arrivals_.add(job.spec(), arrival(job));
}

bool Scheduler::cancelled_by_dependency(const Job& job) const {
  return job.stored.state == JobState::Pending && !job.stored.started &&
         dependencies_.cancelled(job.spec().id);
}

}  // namespace sumacquay
