#include "node/scheduler_feed.h"

#include <set>

#include "node/steady_time.h"
#include "node/wall_clock.h"

namespace sumacquay {

std::unique_ptr<Scheduler> SchedulerFeed::create_scheduler(
    uint64_t term, const std::vector<MachineType>& machine_types, const LeaderHints& hints) const {
  const Seconds now = steady_now();
  const Seconds previous_leader_fenced_at = now + settings_.answer_grace_s();
  const Seconds wall_offset = static_cast<double>(unix_time_ms()) / 1000 - steady_now();
  auto scheduler =
      std::make_unique<Scheduler>(settings_, term, now, previous_leader_fenced_at, wall_offset);
  scheduler->set_machine_types(machine_types);
  for (const auto& [id, host] : record_cache_.hosts())
    scheduler->restore_machine(host.value, steady_now());
  for (const auto& [id, job] : record_cache_.live_jobs())
    scheduler->on_job_record(job.value, job.version, steady_now());
  report_finished_dependencies(*scheduler);
  for (const auto& cached : hints.images())
    scheduler->on_cached_image(cached.machine, cached.image, cached.gb);
  // The cloud's list lags: without the previous leader's own list, the machines that it requested
  // would be requested again.
  scheduler->on_machines_listed(hints.booting(), steady_now());
  return scheduler;
}

void SchedulerFeed::on_job_record(const std::string& id) {
  if (!scheduler_) return;
  if (id.empty())
    on_all_job_records();
  else if (const auto* record = record_cache_.live_job(id))
    scheduler_->on_job_record(record->value, record->version, steady_now());
  else
    scheduler_->on_job_finished(id);
  report_finished_dependencies(*scheduler_);
  scheduler_->request_round();
}

void SchedulerFeed::on_all_job_records() {
  std::vector<std::string> finished;
  for (const auto& [id, job] : scheduler_->jobs())
    if (!record_cache_.live_job(id)) finished.push_back(id);
  for (const auto& id : finished) scheduler_->on_job_finished(id);
  for (const auto& [id, job] : record_cache_.live_jobs())
    scheduler_->on_job_record(job.value, job.version, steady_now());
}

/// Reports finished jobs that live jobs depend on; the scheduler needs no other finished jobs.
void SchedulerFeed::report_finished_dependencies(Scheduler& scheduler) const {
  // A copy, because each call below removes an entry from the scheduler's set.
  const std::set<std::string> unknown = scheduler.unknown_dependencies();
  for (const auto& id : unknown)
    if (const auto record = record_cache_.dependency_outcome(id))
      scheduler.on_dependency_finished(id, *record);
}

}  // namespace sumacquay
