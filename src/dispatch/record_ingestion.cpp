#include "dispatch/record_ingestion.h"

#include <algorithm>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// Whether a later leader will find in the record every machine on which a task of the job may be.
bool all_hosts_recorded(const Job& job) {
  return std::all_of(job.possible_placements.begin(), job.possible_placements.end(),
                     [&job](const auto& entry) {
                       const auto& placements = entry.second;
                       return std::all_of(placements.begin(), placements.end(),
                                          [&job](const TaskPlacement& placement) {
                                            return job.host_recorded(placement.machine);
                                          });
                     });
}

}  // namespace

void count_arrival(const ClusterState& state, ArrivalForecast& arrivals, Job& job) {
  if (job.counted_as_arrival || !state.ready(job)) return;
  job.counted_as_arrival = true;
  arrivals.add(job.spec(), state.arrival(job));
}

void RecordIngestion::on_job_record(const JobRecord& record, uint64_t version, Seconds now) {
  auto [entry, added] = state_.jobs().try_emplace(record.spec.id);
  Job& job = entry->second;
  if (!added && job.version >= version) return;
  const bool starts_unblocked =
      record.started && (!job.stored.started || job.stored.hosts != record.hosts);
  job.stored = record;
  job.version = version;
  job.hosts_in_all_writes.reset();
  job.hosts_record_requested = job.hosts_record_requested && !all_hosts_recorded(job);
  state_.track_dependencies(record);
  if (added) add_job(job, now);
  if (record.state != JobState::Pending) context_.attempts.stop_job(job, false, now);
  if (record.state == JobState::Cancelled) context_.failures.clear_failures(job);
  if (starts_unblocked) context_.commands.enqueue_machines_of(job);
  context_.records.enqueue_job(job, now);
}

/// Initializes a new job whose record has been applied.
void RecordIngestion::add_job(Job& job, Seconds now) {
  const JobRecord& record = job.stored;
  job.done = record.done;
  state_.inherit_priority(job);
  count_arrival(state_, context_.arrivals, job);
  job.record_capacity = wire::record_capacity(record, state_.settings().state_value_bytes());
  if (!job.record_capacity.has_space())
    log_error("job_description_too_large", log_field("job", record.spec.id));
  log_debug("job_arrived", log_field("job", record.spec.id), log_field("count", record.spec.tasks),
            log_field("class", record.spec.job_class));
  adopt_reported_attempts(job, now);
}

/// Adopts tasks of the job that heartbeats reported before the job's record was read.
void RecordIngestion::adopt_reported_attempts(Job& job, Seconds now) {
  const std::string& id = job.spec().id;
  for (auto& [machine_id, machine] : state_.machines())
    for (auto attempt = machine.attempts.lower_bound({{id, 0}, 0});
         attempt != machine.attempts.end() && attempt->first.task.job == id; ++attempt) {
      ++context_.work_counters.adoption_checks;
      if (!attempt->second.may_be_present()) continue;
      const bool fetching = attempt->second.state == TaskAttemptState::Fetching;
      context_.attempts.adopt(machine, attempt->first, attempt->second, job, fetching, now);
    }
}

void RecordIngestion::on_job_finished(const std::string& id) {
  const auto entry = state_.jobs().find(id);
  if (entry == state_.jobs().end()) return;
  const Job& job = entry->second;
  for_each_possible_placement(job, [this, &id](uint32_t task, const TaskPlacement& placement) {
    Machine* machine = state_.find_machine(placement.machine);
    if (!machine) return;
    const auto attempt = machine->attempts.find({{id, task}, placement.attempt});
    if (attempt != machine->attempts.end()) attempt->second.desired_running = false;
  });
  if (!job.complete()) context_.failures.clear_failures(job);
  state_.jobs().erase(entry);
  state_.dependencies().on_live_record_deleted(id);
}

void RecordIngestion::on_dependency_finished(const std::string& id, const FinishedRecord& record) {
  state_.dependencies().set_finished(id, record.state, record.ended_ms);
}

void RecordIngestion::restore_machine(const HostRecord& host, Seconds now) {
  Machine& machine = state_.machines()[host.id];
  machine.host = host;
  state_.set_machine_state(machine, MachineState::Up);
  machine.host_record_state = HostRecordState::Durable;
  machine.first_seen = machine.last_heartbeat_at = now;  // until the worker's first heartbeat
  state_.add_unreconciled_machine();
}

}  // namespace sumacquay
