#include "dispatch/cluster_state.h"

#include <algorithm>
#include <utility>

#include "logging/log_event.h"
#include "wire/worker_message_size.h"

namespace sumacquay {
namespace {

/// The fraction of a machine's image cache that is assumed to be usable. Abandoned fetches, and
/// images of tasks that an earlier leader started, take space that this leader has no record of.
constexpr double kUsableCacheFraction = 0.8;
constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

uint64_t ClusterState::unix_time_ms(Seconds steady) const {
  return static_cast<uint64_t>((steady + wall_offset_) * kMillisecondsPerSecond);
}

Job* ClusterState::find_job(const std::string& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const Job* ClusterState::find_job(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

bool ClusterState::job_ended(const std::string& id) const {
  const Job* job = find_job(id);
  return !job || job->stored.state != JobState::Pending;
}

void ClusterState::track_dependencies(const JobRecord& record) {
  dependencies_.update(record);
  for (const auto& id : record.spec.dependencies)
    if (const Job* dependency = find_job(id)) dependencies_.update(dependency->stored);
}

uint64_t ClusterState::arrival_ms(const Job& job) const {
  return std::max(
      {job.stored.submitted_ms, job.stored.ready_ms, dependencies_.ready_ms(job.spec().id)});
}

Seconds ClusterState::arrival(const Job& job) const {
  return static_cast<double>(arrival_ms(job)) / kMillisecondsPerSecond - wall_offset_;
}

/// Jobs that depend on this one may have been added before it.
void ClusterState::inherit_priority(Job& job) {
  job.priority = job.spec().priority;
  for (const auto& id : dependencies_.dependents(job.spec().id))
    if (const Job* dependent = find_job(id))
      job.priority = std::max(job.priority, dependent->priority);
  for (const auto& id : dependencies_.dependencies(job.spec().id)) raise_priority(id, job.priority);
}

void ClusterState::raise_priority(const std::string& id, Priority priority) {
  std::vector<std::string> to_raise{id};
  while (!to_raise.empty()) {
    Job* job = find_job(to_raise.back());
    to_raise.pop_back();
    if (!job || job->priority >= priority) continue;
    job->priority = priority;
    const auto& next = dependencies_.dependencies(job->spec().id);
    to_raise.insert(to_raise.end(), next.begin(), next.end());
  }
}

bool ClusterState::cancelled_by_dependency(const Job& job) const {
  return job.stored.state == JobState::Pending && !job.stored.started &&
         dependencies_.cancelled(job.spec().id);
}

Machine* ClusterState::find_machine(const std::string& id) {
  const auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

const Machine* ClusterState::find_machine(const std::string& id) const {
  const auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

const MachineType* ClusterState::find_machine_type(const std::string& name) const {
  for (const auto& type : machine_types_)
    if (type.name == name) return &type;
  return nullptr;
}

void ClusterState::set_machine_types(std::vector<MachineType> types) {
  machine_types_ = std::move(types);
  for (MachineType& type : machine_types_) type.capacity.heartbeat_bytes = wire::kMaxListBytes;
}

void ClusterState::set_machine_state(Machine& machine, MachineState next) {
  if (machine.state == next) return;
  log_debug("machine_state_changed", log_field("machine", machine.host.id),
            log_field("from", name(machine.state)), log_field("to", name(next)));
  machine.state = next;
}

void ClusterState::record_image_use(Machine& machine, const std::string& image,
                                    double size_gb) const {
  const MachineType* type = find_machine_type(machine.host.type);
  if (!image.empty())
    machine.images.record_use(image, size_gb, type ? type->cache_gb * kUsableCacheFraction : 0);
}

void ClusterState::mark_reconciled(Machine& machine) {
  if (machine.reconciled) return;
  machine.reconciled = true;
  --unreconciled_machines_;
  if (unreconciled_machines_ == 0) log_info("all_machines_reconciled", log_field("term", term_));
}

void ClusterState::add_possible_placement(Machine& machine, const TaskAttemptId& id) {
  if (Job* job = find_job(id.task.job))
    job->possible_placements[id.task.task].insert({machine.host.id, id.attempt});
}

void ClusterState::remove_possible_placement(Machine& machine, const TaskAttemptId& id) {
  Job* job = find_job(id.task.job);
  if (!job) return;
  const auto placements = job->possible_placements.find(id.task.task);
  if (placements == job->possible_placements.end()) return;
  placements->second.erase({machine.host.id, id.attempt});
  if (placements->second.empty()) job->possible_placements.erase(placements);
  if (!job->possible_placements.empty()) return;
  job->gang_attempt = 0;
  job->gang_attempt_state = GangAttemptState::None;
}

TaskAttempt* ClusterState::find_attempt(const TaskKey& task, const TaskPlacement& placement) {
  return const_cast<TaskAttempt*>(std::as_const(*this).find_attempt(task, placement));
}

const TaskAttempt* ClusterState::find_attempt(const TaskKey& task,
                                              const TaskPlacement& placement) const {
  const Machine* machine = find_machine(placement.machine);
  if (!machine) return nullptr;
  const auto attempt = machine->attempts.find({task, placement.attempt});
  return attempt == machine->attempts.end() ? nullptr : &attempt->second;
}

size_t ClusterState::image_fetches_left(const Job& job) const {
  size_t count = 0;
  for_each_possible_placement(job, [&](uint32_t task, const TaskPlacement& placement) {
    const TaskAttempt* attempt = find_attempt({job.spec().id, task}, placement);
    if (attempt && attempt->fetching_image()) ++count;
  });
  return count;
}

void ClusterState::remove_attempt(Machine& machine, const TaskAttemptId& id) {
  const auto attempt = machine.attempts.find(id);
  if (attempt == machine.attempts.end()) return;
  if (attempt->second.may_be_present()) remove_possible_placement(machine, id);
  machine.attempts.erase(attempt);
}

bool ClusterState::placement_unknown(const Job& job) const {
  if (!job.stored.started || all_reconciled()) return false;
  if (!job.stored.hosts) return true;
  return std::any_of(job.stored.hosts->begin(), job.stored.hosts->end(),
                     [this](const std::string& id) {
                       const Machine* machine = find_machine(id);
                       return machine && !machine->reconciled;
                     });
}

double ClusterState::heartbeat_bytes_per_task(const JobSpec& spec) const {
  const uint64_t max_attempt = token_allocator_.with_term(kFencingTokenCounterEnd - 1);
  return static_cast<double>(wire::attempt_size_bound(spec, max_attempt));
}

/// Without the completed attempt and the record, a later leader would not find out that the task is
/// done and would run it again.
bool ClusterState::may_discard(const TaskAttemptId& id, const TaskAttempt& attempt) const {
  const Job* job = find_job(id.task.job);
  return attempt.cause != ExitCause::Done || !job || job->spec().kind == JobKind::Service ||
         job->stored.done.contains(id.task.task);
}

void ClusterState::fence_unanswered_commands(Machine& machine) {
  advance_fencing_token(machine);
  machine.required_token_counter = machine.fencing_token_counter;
  machine.fencing_token_acknowledged = false;
}

void ClusterState::fence_copies_of_starts(Machine& machine) {
  if (machine.token_used_for_starts) advance_fencing_token(machine);
}

void ClusterState::advance_fencing_token(Machine& machine) {
  ++machine.fencing_token_counter;
  machine.token_used_for_starts = false;
  token_allocator_.record_use(machine.fencing_token_counter);
}

}  // namespace sumacquay
