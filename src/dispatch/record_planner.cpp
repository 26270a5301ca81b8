#include "dispatch/record_planner.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace sumacquay {
namespace {

/// A job record is either overwritten or moved, which deletes one key and writes another.
constexpr size_t kMaxMutationsPerJob = 2;
/// Approximate maximum size of a machine record.
constexpr size_t kMachineRecordBytes = 300;

/// Reduces `hosts_in_all_writes` to the hosts that this write names too. An unacknowledged write
/// may be applied late, so only hosts named by every write against the current version are certain
/// to stay in the record.
void intersect_hosts_in_all_writes(Job& job, const std::optional<std::vector<std::string>>& hosts) {
  if (!hosts) return;
  if (!job.hosts_in_all_writes) {
    job.hosts_in_all_writes = hosts;
    return;
  }
  std::erase_if(*job.hosts_in_all_writes, [&](const std::string& id) {
    return !std::binary_search(hosts->begin(), hosts->end(), id);
  });
}

}  // namespace

/// The writes of one transaction. Its size is kept well below the store's limit of 64 KiB.
class RecordPlanner::Batch {
 public:
  explicit Batch(size_t max_mutations) : max_mutations_(max_mutations) {}
  bool fits(size_t mutations) const { return mutations_ + mutations <= max_mutations_; }
  bool full() const { return bytes_ > kMaxBytes; }
  /// `bytes`: upper bound on the size of the record's value.
  void add(RecordWrite write, size_t bytes) {
    mutations_ += write.mutation_count();
    bytes_ += bytes;
    writes_.push_back(std::move(write));
  }
  std::vector<RecordWrite> release() { return std::move(writes_); }

 private:
  static constexpr size_t kMaxBytes = size_t{48} * 1024;
  size_t max_mutations_;
  size_t mutations_ = 0;
  size_t bytes_ = 0;
  std::vector<RecordWrite> writes_;
};

std::vector<RecordWrite> RecordPlanner::plan_writes(Seconds now, size_t max_mutations) {
  Batch batch(max_mutations);
  add_machine_writes(batch);
  if (add_job_writes(batch, now)) add_machine_deletions(batch);
  return batch.release();
}

/// Adds the records of machines that are to get their first task, which is not started before the
/// record is durable.
void RecordPlanner::add_machine_writes(Batch& batch) {
  if (!queue_.prompt_dispatch_enabled()) {
    for (const auto& [id, machine] : state_.machines()) {
      if (!batch.fits(1)) return;
      add_machine_write(batch, id, machine);
    }
    return;
  }
  while (batch.fits(1)) {
    const auto id = queue_.pop_machine();
    if (!id) return;
    if (const Machine* machine = state_.find_machine(*id)) add_machine_write(batch, *id, *machine);
  }
}

void RecordPlanner::add_machine_write(Batch& batch, const std::string& id, const Machine& machine) {
  ++work_counters_.dispatch_checks;
  if (machine.host_record_state != HostRecordState::Requested || !host_writes_.begin(id)) return;
  RecordWrite write;
  write.host = id;
  write.host_record = machine.host;
  batch.add(std::move(write), kMachineRecordBytes);
}

void RecordPlanner::add_machine_deletions(Batch& batch) {
  for (const auto& id : host_writes_.pending_deletions()) {
    if (!batch.fits(1)) return;
    if (!host_writes_.begin(id)) continue;
    RecordWrite write;
    write.host = id;
    batch.add(std::move(write), kMachineRecordBytes);
  }
}

/// Adds job records in order of priority: those that task starts wait for, then those that users
/// wait for, then progress and cleanup. Returns false if the batch is full before all are added.
bool RecordPlanner::add_job_writes(Batch& batch, Seconds now) {
  if (queue_.prompt_dispatch_enabled()) return add_queued_job_writes(batch, now);
  struct PrioritizedJob {
    WritePriority priority;
    Job* job;
  };
  std::vector<PrioritizedJob> order;
  for (auto& [id, job] : state_.jobs()) {
    ++work_counters_.dispatch_checks;
    const WritePriority priority = queue_.write_priority(job, now);
    if (priority != WritePriority::None) order.push_back({priority, &job});
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const PrioritizedJob& first, const PrioritizedJob& second) {
                     return first.priority < second.priority;
                   });
  for (const PrioritizedJob& entry : order) {
    if (!batch.fits(kMaxMutationsPerJob) || batch.full()) return false;
    add_job_write(batch, *entry.job, now);
  }
  return true;
}

bool RecordPlanner::add_queued_job_writes(Batch& batch, Seconds now) {
  while (batch.fits(kMaxMutationsPerJob) && !batch.full()) {
    const auto id = queue_.pop_job();
    if (!id) return true;
    ++work_counters_.dispatch_checks;
    Job* job = state_.find_job(*id);
    if (job && queue_.write_priority(*job, now) != WritePriority::None)
      add_job_write(batch, *job, now);
  }
  return queue_.jobs_empty();
}

void RecordPlanner::add_job_write(Batch& batch, Job& job, Seconds now) {
  RecordWrite write = write_for(job, now);
  job.write_in_flight = true;
  intersect_hosts_in_all_writes(job, write.record->hosts);
  const size_t bytes = write.finished ? 0 : job.record_capacity.size_bound(*write.record);
  batch.add(std::move(write), bytes);
}

RecordWrite RecordPlanner::write_for(const Job& job, Seconds now) const {
  RecordWrite write;
  write.job = job.spec().id;
  write.version = job.version;
  write.record = job.stored;
  JobRecord& record = *write.record;
  if (job.stored.state == JobState::Pending && job.complete()) {
    record.state = JobState::Done;
    record.ended_ms = state_.unix_time_ms(now);
  }
  if (state_.cancelled_by_dependency(job)) record.state = JobState::Cancelled;
  record.started = job.stored.started || job.start_record_requested;
  if (record.started && !record.spec.dependencies.empty()) {
    // A started job's dependencies are all done; only the time of the last completion is needed.
    record.ready_ms = state_.arrival_ms(job);
    record.spec.dependencies.clear();
  }
  if (record.started) record.hosts = possible_hosts(job);
  write.finished = record.state != JobState::Pending && state_.absent_everywhere(job);
  // The record of a finished job stores only the number of done tasks.
  record.done = write.finished ? job.done : RecordQueue::done_for_record(job);
  return write;
}

/// Returns the machines on which the job's tasks may be, for the record. After a failover, the job
/// is held back only by unreconciled machines in this list. None, which means any machine, if the
/// list is not known or does not fit into the record.
std::optional<std::vector<std::string>> RecordPlanner::possible_hosts(const Job& job) const {
  if (state_.placement_unknown(job) && !job.stored.hosts) return std::nullopt;
  // Deduplicated first: an array can have tens of thousands of placements on a few hundred
  // machines.
  std::unordered_set<std::string_view> machines;
  for_each_possible_placement(job, [&machines](uint32_t, const TaskPlacement& placement) {
    machines.insert(placement.machine);
  });
  std::set<std::string> hosts(machines.begin(), machines.end());
  for (const auto& id : job.stored.hosts.value_or(std::vector<std::string>{})) {
    const Machine* machine = state_.find_machine(id);
    if (machine && !machine->reconciled) hosts.insert(id);
  }
  std::vector<std::string> sorted(hosts.begin(), hosts.end());
  if (!job.record_capacity.fits_hosts(sorted)) return std::nullopt;
  return sorted;
}

void RecordPlanner::on_write_answered(const RecordWrite& write, bool committed, uint64_t version,
                                      Seconds now) {
  if (write.host.empty())
    on_job_write_answered(write, committed, version, now);
  else
    on_machine_write_answered(write, committed);
}

void RecordPlanner::on_machine_write_answered(const RecordWrite& write, bool committed) {
  host_writes_.end(write.host);
  if (committed && !write.host_record) host_writes_.complete_deletion(write.host);
  Machine* machine = state_.find_machine(write.host);
  if (!machine) return;
  if (committed && write.host_record) machine->host_record_state = HostRecordState::Durable;
  queue_.enqueue_machine(*machine);
  commands_.enqueue(*machine);
}

void RecordPlanner::on_job_write_answered(const RecordWrite& write, bool committed,
                                          uint64_t version, Seconds now) {
  Job* job = state_.find_job(write.job);
  if (!job) return;
  job->write_in_flight = false;
  if (!committed) return queue_.enqueue_job(*job, now);
  const JobRecord& record = *write.record;
  if (write.finished) {
    ingestion_.on_dependency_finished(write.job,
                                      {record.state, record.done.count(), record.ended_ms});
    return ingestion_.on_job_finished(write.job);
  }
  ingestion_.on_job_record(record, version, now);
  if (job->done == job->stored.done) job->progress_since.reset();
  queue_.enqueue_job(*job, now);
}

}  // namespace sumacquay
