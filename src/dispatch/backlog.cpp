// Prompt dispatch: what waits to be ordered or written is queued as it comes up, so that between
// two ticks it can go out at a cost that follows what there is to send.
#include "dispatch/leader_core.h"

namespace sumacquay {

void LeaderCore::note_orders(const Machine& m) {
  if (prompt()) backlog_.orders.put(m.info.id);
}

/// The job's tasks may be started now wherever they were placed.
void LeaderCore::note_orders_of(const Job& job) {
  if (!prompt()) return;
  for (const auto& [task, places] : job.placements)
    for (const auto& [machine, attempt] : places) backlog_.orders.put(machine);
}

void LeaderCore::note_machine_record(const Machine& m) {
  if (prompt() && m.record == Machine::Record::Wanted) backlog_.machine_records.put(m.info.id);
}

void LeaderCore::note_job_record(const Job& job, Seconds now) {
  if (!prompt()) return;
  const WriteUrgency urgency = write_urgency(job, now);
  if (urgency != WriteUrgency::None)
    backlog_.job_records.put(job.spec().id, static_cast<size_t>(urgency));
}

/// With each round: whatever came up without a note, by the passing of time above all.
void LeaderCore::fill_backlog(Seconds now) {
  if (!prompt()) return;
  for (const auto& [id, m] : machines_) {
    note_machine_record(m);
    if (has_orders(m)) note_orders(m);
  }
  for (const auto& [id, job] : jobs_) note_job_record(job, now);
}

std::vector<Action> LeaderCore::dispatch(Seconds now) {
  std::vector<Action> out;
  if (!prompt()) return out;
  note_running(now);
  order_starts(now, out);
  return out;
}

}  // namespace sumacquay
