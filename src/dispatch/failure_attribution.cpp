#include "dispatch/failure_attribution.h"

#include <algorithm>
#include <utility>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// The number of machines on which a job has to fail to count as crash looping, and the number of
/// jobs that have to fail on a machine for it to be quarantined.
constexpr size_t kMinFailedMachinesForCrashLoop = 3;
constexpr size_t kMinFailedJobsForQuarantine = 2;
/// A job avoids the machines on which it failed. When the list has reached this size, it is
/// cleared, and the job may be placed anywhere again.
constexpr size_t kMaxAvoidedMachines = 8;
/// The backoff reaches its longest pause after this many doublings.
constexpr int kMaxBackoffDoublings = 6;
/// Time after which a quarantined machine is released even if none of the jobs that failed there
/// has succeeded elsewhere, as a multiple of the worker lease.
constexpr double kQuarantineConfirmationLeases = 3;

}  // namespace

bool FailureAttribution::crash_looping(const Job& job) const {
  const auto configured_tries = static_cast<size_t>(state_.settings().tuning.start_tries);
  return job.failed_machines_since_success.size() >=
         std::max(kMinFailedMachinesForCrashLoop, configured_tries);
}

void FailureAttribution::record_task_failure(Machine& machine, Job& job, Seconds now) {
  if (job.failed_machines.size() >= kMaxAvoidedMachines) job.failed_machines.clear();
  job.failed_machines.insert(machine.host.id);
  const bool was_crash_looping = crash_looping(job);
  job.failed_machines_since_success.insert(machine.host.id);
  if (!crash_looping(job)) return attribute_to_machine(machine, job, now);
  if (!was_crash_looping) {
    if (runs_steadily(job, now)) {
      attribute_to_machine(machine, job, now);
      return record_task_success(job, now);
    }
    log_info("job_crash_looping", log_field("job", job.spec().id));
    clear_failures(job);
  }
  // A failure during the backoff comes from an attempt that started before it, not from a retry.
  if (now < job.backoff_until) return;
  const int doublings = std::min(job.failed_retries, kMaxBackoffDoublings);
  job.backoff_until = now + state_.settings().heartbeat_period_s * (1 << doublings);
  ++job.failed_retries;
}

void FailureAttribution::record_task_success(Job& job, Seconds now) {
  if (job.failed_machines_since_success.empty()) return;
  const bool failures_were_cleared = crash_looping(job);
  for (const auto& id : std::exchange(job.failed_machines_since_success, {})) {
    Machine* machine = state_.find_machine(id);
    if (!machine) continue;
    if (failures_were_cleared) attribute_to_machine(*machine, job, now);
    if (machine->failed_jobs.contains(job.spec().id))
      machine->failed_job_succeeded_elsewhere = true;
  }
  job.failed_retries = 0;
  job.backoff_until = std::min(job.backoff_until, now + state_.settings().heartbeat_period_s);
}

void FailureAttribution::attribute_to_machine(Machine& machine, const Job& job, Seconds now) {
  machine.failed_jobs.insert(job.spec().id);
  if (machine.failed_jobs.size() < kMinFailedJobsForQuarantine || machine.quarantined()) return;
  machine.quarantined_since = now;
  log_info("machine_quarantined", log_field("machine", machine.host.id),
           log_field("count", machine.failed_jobs.size()));
}

void FailureAttribution::clear_failures(const Job& job) {
  for (const auto& id : job.failed_machines_since_success) {
    Machine* machine = state_.find_machine(id);
    if (!machine) continue;
    machine->failed_jobs.erase(job.spec().id);
    if (machine->failed_jobs.size() >= kMinFailedJobsForQuarantine || !machine->quarantined())
      continue;
    machine->quarantined_since.reset();
    log_info("machine_quarantine_lifted", log_field("machine", id),
             log_field("job", job.spec().id));
  }
}

bool FailureAttribution::runs_steadily(const Job& job, Seconds now) const {
  for (const auto& [task, placements] : job.possible_placements)
    for (const TaskPlacement& placement : placements) {
      const Machine* machine = state_.find_machine(placement.machine);
      if (!machine) continue;
      const auto found = machine->attempts.find({{job.spec().id, task}, placement.attempt});
      if (found == machine->attempts.end()) continue;
      const TaskAttempt& attempt = found->second;
      if (attempt.state != TaskAttemptState::Running) continue;
      if (now - attempt.running_since.value_or(now) > state_.settings().lease_s) return true;
    }
  return false;
}

bool FailureAttribution::quarantine_confirmed(const Machine& machine, Seconds now) const {
  return machine.failed_job_succeeded_elsewhere ||
         now - *machine.quarantined_since >
             kQuarantineConfirmationLeases * state_.settings().lease_s;
}

}  // namespace sumacquay
