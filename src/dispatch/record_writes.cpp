// Records of jobs and machines: what was read of them, what is to be written, and what a write that
// was carried out changes.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <string_view>
#include <unordered_set>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

/// A job's record is written in place, or moved: one deleted, another written.
constexpr size_t kMostChangesOfAJob = 2;
/// What a machine's record takes at most, or nearly so.
constexpr size_t kHostBytes = 300;

void keep_common_hosts(Job& job, const std::optional<std::vector<std::string>>& hosts) {
  if (!hosts) return;
  if (!job.hosts_in_all_writes) {
    job.hosts_in_all_writes = hosts;
    return;
  }
  std::erase_if(*job.hosts_in_all_writes, [&](const std::string& id) {
    return !std::binary_search(hosts->begin(), hosts->end(), id);
  });
}

/// Whether the record tells the next leader every place where a task of the job may be.
bool next_leader_knows_all(const Job& job) {
  for (const auto& [task, places] : job.possible_placements)
    for (const auto& [machine_id, attempt_number] : places)
      if (!job.next_leader_knows(machine_id)) return false;
  return true;
}

}  // namespace

/// The writes of one transaction. Its size is kept well under the limit of 64 KiB.
class Scheduler::WriteBatch {
 public:
  explicit WriteBatch(size_t most_changes) : most_changes_(most_changes) {}
  bool fits(size_t changes) const { return changes_ + changes <= most_changes_; }
  bool full() const { return bytes_ > kMostBytes; }
  /// `bytes`: what its value takes at most.
  void add(RecordWrite write, size_t bytes) {
    changes_ += write.changes();
    bytes_ += bytes;
    writes_.push_back(std::move(write));
  }
  std::vector<RecordWrite> take() { return std::move(writes_); }

 private:
  static constexpr size_t kMostBytes = size_t{48} * 1024;
  size_t most_changes_;
  size_t changes_ = 0;
  size_t bytes_ = 0;
  std::vector<RecordWrite> writes_;
};

void Scheduler::on_job_record(const JobRecord& record, uint64_t version, Seconds now) {
  auto [it, added] = jobs_.try_emplace(record.spec.id);
  Job& job = it->second;
  if (!added && job.version >= version) return;
  const bool starts_released =
      record.started && (!job.stored.started || job.stored.hosts != record.hosts);
  job.stored = record;
  job.version = version;
  job.hosts_in_all_writes.reset();
  job.hosts_record_requested = job.hosts_record_requested && !next_leader_knows_all(job);
  track_dependencies(record);
  if (added) {
    job.done = record.done;
    inherit_priority(job);
    count_arrival(job);
    job.record_capacity = wire::record_capacity(record, settings_.state_value_bytes());
    if (!job.record_capacity.any())
      spdlog::error("{}: its description leaves no room in a record", record.spec.id);
    spdlog::debug("{} arrives: {} tasks of {}", record.spec.id, record.spec.tasks,
                  record.spec.job_class);
    // A report may have brought tasks of this job before its record was read.
    for (auto& [id, machine] : machines_)
      for (auto attempt = machine.attempts.lower_bound({{record.spec.id, 0}, 0});
           attempt != machine.attempts.end() && attempt->first.task.job == record.spec.id;
           ++attempt) {
        ++work_.adoption_checks;
        if (attempt->second.possibly_present())
          adopt_attempt(machine, attempt->first, attempt->second, job, now);
      }
  }
  if (record.state != JobState::Pending) stop_job(job, false, now);
  if (record.state == JobState::Cancelled) clear_failures(job);
  if (starts_released) enqueue_commands_of(job);
  enqueue_job_record(job, now);
}

void Scheduler::on_job_finished(const std::string& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  for (auto& [task, places] : it->second.possible_placements)
    for (const auto& [machine_id, attempt_number] : places) {
      auto machine = machines_.find(machine_id);
      if (machine == machines_.end()) continue;
      auto attempt = machine->second.attempts.find({{id, task}, attempt_number});
      if (attempt != machine->second.attempts.end()) attempt->second.desired_running = false;
    }
  if (!it->second.complete()) clear_failures(it->second);
  jobs_.erase(it);
  dependencies_.forget(id);
}

void Scheduler::restore_machine(const HostRecord& host, Seconds now) {
  Machine& machine = machines_[host.id];
  machine.info = host;
  set_machine_state(machine, MachineState::Up);
  machine.record = HostRecordState::Durable;
  machine.first_seen = machine.last_heartbeat = now;  // until its worker has found this leader
  ++unreconciled_machines_;
}

/// Whether a job's record is to be written, and how urgently.
Scheduler::WritePriority Scheduler::write_priority(const Job& job, Seconds now) const {
  if (job.writing || job.version == 0) return WritePriority::None;
  const bool over = job.stored.state != JobState::Pending || job.complete();
  // A record of a version before these limits: the job can still be moved to the finished ones.
  if (!job.record_capacity.any() && !(over && absent_everywhere(job))) return WritePriority::None;
  if ((job.start_record_requested && !job.stored.started) || job.hosts_record_requested)
    return WritePriority::Start;
  if (job.stored.state == JobState::Pending && job.complete()) return WritePriority::Done;
  // It stays among the live records until nothing of it is left anywhere: the next leader must
  // know what may still take room and count against a limit.
  if (job.stored.state != JobState::Pending && absent_everywhere(job))
    return WritePriority::Finished;
  if (cancelled_by_dependency(job)) return WritePriority::Finished;
  // Progress of an array is written in batches, as far as its record has room for it. Only more
  // than is stored is progress: a record of larger limits isn't rewritten for what it would lose.
  const bool due = !job.progress_since || now >= *job.progress_since + settings_.heartbeat_period_s;
  if (job.done.count() != job.stored.done.count() && due &&
      done_for_record(job).count() > job.stored.done.count())
    return WritePriority::Progress;
  return WritePriority::None;
}

/// What finds no room in a record stays with the workers until earlier tasks close the gaps. What
/// is stored has been cleared there, and goes first.
Ranges Scheduler::done_for_record(const Job& job) {
  return job.done.first_spans(job.record_capacity.spans, job.stored.done);
}

/// Where the job's tasks may be, for the next leader: what that one can't account for then holds
/// back this job only if it is among them. None if that would take too much of a record.
std::optional<std::vector<std::string>> Scheduler::possible_hosts(const Job& job) const {
  if (placement_unknown(job) && !job.stored.hosts) return std::nullopt;
  // An array has tens of thousands of places on a few hundred machines.
  std::unordered_set<std::string_view> machines;
  for (const auto& [task, places] : job.possible_placements)
    for (const auto& [machine_id, attempt_number] : places) machines.insert(machine_id);
  std::set<std::string> hosts(machines.begin(), machines.end());
  for (const auto& id : job.stored.hosts.value_or(std::vector<std::string>{})) {
    const auto machine = machines_.find(id);
    if (machine != machines_.end() && !machine->second.reconciled) hosts.insert(id);
  }
  std::vector<std::string> sorted(hosts.begin(), hosts.end());
  if (!job.record_capacity.holds(sorted)) return std::nullopt;
  return sorted;
}

RecordWrite Scheduler::write_for(const Job& job, Seconds now) const {
  RecordWrite w;
  w.job = job.spec().id;
  w.version = job.version;
  w.record = job.stored;
  if (job.stored.state == JobState::Pending && job.complete()) {
    w.record->state = JobState::Done;
    w.record->ended_ms = static_cast<uint64_t>((now + wall_offset_) * 1000);
  }
  if (cancelled_by_dependency(job)) w.record->state = JobState::Cancelled;
  w.record->started = job.stored.started || job.start_record_requested;
  if (w.record->started && !w.record->spec.dependencies.empty()) {
    // All of them are done: from here on only the time counts.
    w.record->ready_ms = arrival_ms(job);
    w.record->spec.dependencies.clear();
  }
  if (w.record->started) w.record->hosts = possible_hosts(job);
  w.finished = w.record->state != JobState::Pending && absent_everywhere(job);
  // Of a job that is over only their number is kept.
  w.record->done = w.finished ? job.done : done_for_record(job);
  return w;
}

std::vector<RecordWrite> Scheduler::plan_writes(Seconds now, size_t most_changes) {
  WriteBatch batch(most_changes);
  add_host_writes(batch);
  if (add_job_writes(batch, now)) add_host_deletions(batch);
  return batch.take();
}

/// Machines that are to get their first start: it waits for their records.
void Scheduler::add_host_writes(WriteBatch& batch) {
  if (!prompt()) {
    for (const auto& [id, machine] : machines_) {
      if (!batch.fits(1)) return;
      add_host_write(batch, id, machine);
    }
    return;
  }
  while (batch.fits(1)) {
    const auto id = backlog_.machine_records.pop();
    if (!id) return;
    const auto machine = machines_.find(*id);
    if (machine != machines_.end()) add_host_write(batch, *id, machine->second);
  }
}

void Scheduler::add_host_write(WriteBatch& batch, const std::string& id, const Machine& machine) {
  ++work_.dispatch_checks;
  if (machine.record != HostRecordState::Requested || !host_record_writes_.begin(id)) return;
  RecordWrite write;
  write.host = id;
  write.host_record = machine.info;
  batch.add(std::move(write), kHostBytes);
}

void Scheduler::add_job_write(WriteBatch& batch, Job& job, Seconds now) {
  RecordWrite write = write_for(job, now);
  job.writing = true;
  keep_common_hosts(job, write.record->hosts);
  const size_t bytes = write.finished ? 0 : job.record_capacity.taken_by(*write.record);
  batch.add(std::move(write), bytes);
}

/// Starts wait for some of them and users for others; what is merely tidied up comes last. False if
/// the batch is full before all are in it.
bool Scheduler::add_job_writes(WriteBatch& batch, Seconds now) {
  if (prompt()) return add_pending_job_writes(batch, now);
  struct Candidate {
    WritePriority priority;
    Job* job;
  };
  std::vector<Candidate> order;
  for (auto& [id, job] : jobs_) {
    ++work_.dispatch_checks;
    if (const auto priority = write_priority(job, now); priority != WritePriority::None)
      order.push_back({priority, &job});
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const Candidate& a, const Candidate& b) { return a.priority < b.priority; });
  for (const Candidate& candidate : order) {
    if (!batch.fits(kMostChangesOfAJob) || batch.full()) return false;
    add_job_write(batch, *candidate.job, now);
  }
  return true;
}

bool Scheduler::add_pending_job_writes(WriteBatch& batch, Seconds now) {
  while (batch.fits(kMostChangesOfAJob) && !batch.full()) {
    const auto id = backlog_.job_records.pop();
    if (!id) return true;
    ++work_.dispatch_checks;
    Job* job = find_job(*id);
    if (job && write_priority(*job, now) != WritePriority::None) add_job_write(batch, *job, now);
  }
  return backlog_.job_records.empty();
}

void Scheduler::add_host_deletions(WriteBatch& batch) {
  for (const auto& id : host_record_writes_.to_delete()) {
    if (!batch.fits(1)) return;
    if (!host_record_writes_.begin(id)) continue;
    RecordWrite write;
    write.host = id;
    batch.add(std::move(write), kHostBytes);
  }
}

void Scheduler::on_write_answered(const RecordWrite& w, bool committed, uint64_t version,
                                  Seconds now) {
  if (!w.host.empty()) {
    host_record_writes_.end(w.host);
    if (committed && !w.host_record) host_record_writes_.deleted(w.host);
    const auto machine = machines_.find(w.host);
    if (machine == machines_.end()) return;
    if (committed && w.host_record) machine->second.record = HostRecordState::Durable;
    enqueue_machine_record(machine->second);
    return enqueue_commands(machine->second);
  }
  const auto it = jobs_.find(w.job);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  job.writing = false;
  if (!committed) return enqueue_job_record(job, now);
  if (w.finished) {
    on_dependency_finished(w.job, {w.record->state, w.record->done.count(), w.record->ended_ms});
    return on_job_finished(w.job);
  }
  on_job_record(*w.record, version, now);
  if (job.done == job.stored.done) job.progress_since.reset();
  enqueue_job_record(job, now);
}

}  // namespace sumacquay
