// What waits to be ordered is queued as it comes up, so that it goes out at a cost that follows
// what there is to send. With prompt dispatch the same holds for what waits to be written.
#include "dispatch/scheduler.h"

namespace sumacquay {

void Scheduler::enqueue_commands(const Machine& machine) {
  backlog_.worker_commands.put(machine.info.id);
}

/// The job's tasks may be started now wherever they were placed.
void Scheduler::enqueue_commands_of(const Job& job) {
  for (const auto& [task, places] : job.possible_placements)
    for (const auto& [machine_id, attempt_number] : places)
      backlog_.worker_commands.put(machine_id);
}

void Scheduler::enqueue_machine_record(const Machine& machine) {
  if (prompt() && machine.record == HostRecordState::Requested)
    backlog_.machine_records.put(machine.info.id);
}

void Scheduler::enqueue_job_record(const Job& job, Seconds now) {
  if (!prompt()) return;
  const WritePriority priority = write_priority(job, now);
  if (priority != WritePriority::None)
    backlog_.job_records.put(job.spec().id, static_cast<size_t>(priority));
}

/// With each round: whatever came up without a note, by the passing of time above all.
void Scheduler::fill_backlog(Seconds now) {
  for (const auto& [id, machine] : machines_)
    if (has_commands(machine)) enqueue_commands(machine);
  if (!prompt()) return;
  for (const auto& [id, machine] : machines_) enqueue_machine_record(machine);
  for (const auto& [id, job] : jobs_) enqueue_job_record(job, now);
}

std::vector<Action> Scheduler::dispatch(Seconds now) {
  std::vector<Action> out;
  if (!prompt()) return out;
  record_progress(now);
  dispatch_starts(now, out);
  return out;
}

}  // namespace sumacquay
