#include "dispatch/record_queue.h"

namespace sumacquay {

WritePriority RecordQueue::write_priority(const Job& job, Seconds now) const {
  if (job.write_in_flight || job.version == 0) return WritePriority::None;
  const bool pending = job.stored.state == JobState::Pending;
  const bool ended = !pending || job.complete();
  // The record predates the size limits and cannot be rewritten, but the job can still be moved to
  // the finished records.
  if (!job.record_capacity.has_space() && !(ended && state_.absent_everywhere(job)))
    return WritePriority::None;
  if ((job.start_record_requested && !job.stored.started) || job.hosts_record_requested)
    return WritePriority::Start;
  if (pending && job.complete()) return WritePriority::Done;
  // The job stays among the live records until no task of it can be present, so that a later leader
  // accounts for tasks that may still use resources and count against the quota.
  if (!pending && state_.absent_everywhere(job)) return WritePriority::Finished;
  if (state_.cancelled_by_dependency(job)) return WritePriority::Finished;
  return progress_due(job, now) ? WritePriority::Progress : WritePriority::None;
}

/// Whether new completions of the job are due to be written. They are written at most once per
/// heartbeat period, as far as the record has room. A record that already stores as many done tasks
/// as would fit, for instance one written with larger limits, is not rewritten.
bool RecordQueue::progress_due(const Job& job, Seconds now) const {
  if (job.done.count() == job.stored.done.count()) return false;
  const bool due =
      !job.progress_since || now >= *job.progress_since + state_.settings().heartbeat_period_s;
  return due && done_for_record(job).count() > job.stored.done.count();
}

TaskRangeSet RecordQueue::done_for_record(const Job& job) {
  return job.done.subset_of_ranges(job.record_capacity.max_done_ranges, job.stored.done);
}

void RecordQueue::enqueue_machine(const Machine& machine) {
  if (prompt_dispatch_enabled() && machine.host_record_state == HostRecordState::Requested)
    machines_.put(machine.host.id);
}

void RecordQueue::enqueue_job(const Job& job, Seconds now) {
  if (!prompt_dispatch_enabled()) return;
  const WritePriority priority = write_priority(job, now);
  if (priority != WritePriority::None) jobs_.put(job.spec().id, static_cast<size_t>(priority));
}

void RecordQueue::enqueue_all_due(Seconds now) {
  if (!prompt_dispatch_enabled()) return;
  for (const auto& [id, machine] : state_.machines()) enqueue_machine(machine);
  for (const auto& [id, job] : state_.jobs()) enqueue_job(job, now);
}

}  // namespace sumacquay
