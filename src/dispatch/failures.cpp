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
constexpr size_t kMachinesThatShowFault = 3;
constexpr size_t kJobsThatShowSickness = 2;
/// What a job is not tried on again for having failed there; past this it may go anywhere.
constexpr size_t kMostMachinesAvoided = 8;
constexpr int kMostBackoffDoublings = 6;
/// The time after which a machine on which several jobs failed is returned, though none of them has
/// succeeded elsewhere / workers' lease.
constexpr double kSicknessShown = 3;

}  // namespace

bool Scheduler::at_fault(const Job& job) const {
  const auto tries = static_cast<size_t>(settings_.tuning.start_tries);
  return job.failed_since_success.size() >= std::max(kMachinesThatShowFault, tries);
}

/// One job that fails on several machines is at fault itself; several jobs that fail on one machine
/// put the blame on the machine.
void Scheduler::count_failure(Machine& machine, Job& job, Seconds now) {
  if (job.failed_on.size() >= kMostMachinesAvoided) job.failed_on.clear();
  job.failed_on.insert(machine.info.id);
  const bool was_at_fault = at_fault(job);
  job.failed_since_success.insert(machine.info.id);
  if (!at_fault(job)) {
    blame(machine, job, now);
    return;
  }
  if (!was_at_fault) {
    if (runs_steadily(job, now)) {
      blame(machine, job, now);
      count_success(job, now);
      return;
    }
    spdlog::info("{} fails wherever it is started: backs off", job.spec().id);
    withdraw_blame(job);
  }
  // What had started before it backed off is no further trial.
  if (now < job.retry_at) return;
  job.retry_at = now + settings_.heartbeat_period_s *
                           (1 << std::min(job.trials_failed, kMostBackoffDoublings));
  ++job.trials_failed;
}

/// The job works, so where it failed the machine is to blame.
void Scheduler::count_success(Job& job, Seconds now) {
  if (job.failed_since_success.empty()) return;
  const bool blame_was_withdrawn = at_fault(job);
  for (const auto& id : std::exchange(job.failed_since_success, {})) {
    const auto machine = machines_.find(id);
    if (machine == machines_.end()) continue;
    if (blame_was_withdrawn) blame(machine->second, job, now);
    if (machine->second.error_jobs.contains(job.spec().id)) machine->second.others_succeed = true;
  }
  job.trials_failed = 0;
  job.retry_at = std::min(job.retry_at, now + settings_.heartbeat_period_s);
}

void Scheduler::blame(Machine& machine, const Job& job, Seconds now) {
  machine.error_jobs.insert(job.spec().id);
  if (machine.error_jobs.size() < kJobsThatShowSickness || machine.sick()) return;
  machine.sick_since = now;
  spdlog::info("{} fails what it starts: drained", machine.info.id);
}

void Scheduler::withdraw_blame(const Job& job) {
  for (const auto& id : job.failed_since_success) {
    const auto machine = machines_.find(id);
    if (machine == machines_.end()) continue;
    machine->second.error_jobs.erase(job.spec().id);
    if (machine->second.error_jobs.size() >= kJobsThatShowSickness || !machine->second.sick())
      continue;
    machine->second.sick_since.reset();
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
bool Scheduler::sick_for_certain(const Machine& machine, Seconds now) const {
  return machine.others_succeed || now - *machine.sick_since > kSicknessShown * settings_.lease_s;
}

}  // namespace sumacquay
