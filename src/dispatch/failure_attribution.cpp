#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "dispatch/scheduler.h"

/// Whose fault a failed start is: the job's, if it fails wherever it is started, or the machine's,
/// if several jobs fail there that work elsewhere.
namespace sumacquay {
namespace {

/// Machines on which a job has failed that is at fault itself, and jobs that have failed on one
/// machine that is sick.
constexpr size_t kMinFailedMachinesForCrashLoop = 3;
constexpr size_t kMinFailedJobsForQuarantine = 2;
/// What a job is not tried on again for having failed there; past this it may go anywhere.
constexpr size_t kMaxAvoidedMachines = 8;
constexpr int kMaxBackoffDoublings = 6;
/// The time after which a machine on which several jobs failed is returned, though none of them has
/// succeeded elsewhere / workers' lease.
constexpr double kQuarantineConfirmed = 3;

}  // namespace

bool Scheduler::crash_looping(const Job& job) const {
  const auto tries = static_cast<size_t>(settings_.tuning.start_tries);
  return job.failed_machines_since_success.size() >=
         std::max(kMinFailedMachinesForCrashLoop, tries);
}

/// One job that fails on several machines is at fault itself; several jobs that fail on one machine
/// put the blame on the machine.
void Scheduler::record_task_failure(Machine& machine, Job& job, Seconds now) {
  if (job.failed_machines.size() >= kMaxAvoidedMachines) job.failed_machines.clear();
  job.failed_machines.insert(machine.info.id);
  const bool was_crash_looping = crash_looping(job);
  job.failed_machines_since_success.insert(machine.info.id);
  if (!crash_looping(job)) {
    attribute_failure(machine, job, now);
    return;
  }
  if (!was_crash_looping) {
    if (runs_steadily(job, now)) {
      attribute_failure(machine, job, now);
      record_task_success(job, now);
      return;
    }
    spdlog::info("{} fails wherever it is started: backs off", job.spec().id);
    clear_failures(job);
  }
  // What had started before it backed off is no further trial.
  if (now < job.backoff_until) return;
  job.backoff_until = now + settings_.heartbeat_period_s *
                                (1 << std::min(job.failed_retries, kMaxBackoffDoublings));
  ++job.failed_retries;
}

/// The job works, so where it failed the machine is to blame.
void Scheduler::record_task_success(Job& job, Seconds now) {
  if (job.failed_machines_since_success.empty()) return;
  const bool failures_were_cleared = crash_looping(job);
  for (const auto& id : std::exchange(job.failed_machines_since_success, {})) {
    const auto machine = machines_.find(id);
    if (machine == machines_.end()) continue;
    if (failures_were_cleared) attribute_failure(machine->second, job, now);
    if (machine->second.failed_jobs.contains(job.spec().id))
      machine->second.failed_jobs_succeed_elsewhere = true;
  }
  job.failed_retries = 0;
  job.backoff_until = std::min(job.backoff_until, now + settings_.heartbeat_period_s);
}

void Scheduler::attribute_failure(Machine& machine, const Job& job, Seconds now) {
  machine.failed_jobs.insert(job.spec().id);
  if (machine.failed_jobs.size() < kMinFailedJobsForQuarantine || machine.quarantined()) return;
  machine.quarantined_since = now;
  spdlog::info("{} fails what it starts: drained", machine.info.id);
}

void Scheduler::clear_failures(const Job& job) {
  for (const auto& id : job.failed_machines_since_success) {
    const auto machine = machines_.find(id);
    if (machine == machines_.end()) continue;
    machine->second.failed_jobs.erase(job.spec().id);
    if (machine->second.failed_jobs.size() >= kMinFailedJobsForQuarantine ||
        !machine->second.quarantined())
      continue;
    machine->second.quarantined_since.reset();
    spdlog::info("{} is used again: the jobs that failed there fail everywhere", id);
  }
}

/// Whether a task of the job has run for a while: replicas never end by themselves.
bool Scheduler::runs_steadily(const Job& job, Seconds now) const {
  for (const auto& [task, places] : job.possible_placements)
    for (const auto& [machine_id, attempt_number] : places) {
      const auto machine = machines_.find(machine_id);
      if (machine == machines_.end()) continue;
      const auto attempt = machine->second.attempts.find({{job.spec().id, task}, attempt_number});
      if (attempt == machine->second.attempts.end() ||
          attempt->second.state != TaskAttemptState::Running)
        continue;
      if (now - attempt->second.running_since.value_or(now) > settings_.lease_s) return true;
    }
  return false;
}

/// Jobs that fail everywhere show it on other machines after a while, and then the blame is taken
/// back.
bool Scheduler::quarantine_confirmed(const Machine& machine, Seconds now) const {
  return machine.failed_jobs_succeed_elsewhere ||
         now - *machine.quarantined_since > kQuarantineConfirmed * settings_.lease_s;
}

}  // namespace sumacquay
