#include "dispatch/attempt_tracker.h"

#include <algorithm>
#include <iterator>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// The name of an exit cause in log lines.
std::string_view name(ExitCause cause) {
  switch (cause) {
    case ExitCause::None:
      return "none";
    case ExitCause::Done:
      return "done";
    case ExitCause::Stopped:
      return "stopped";
    case ExitCause::GangMemberGone:
      return "gang_member_gone";
    case ExitCause::GangIncomplete:
      return "alone";
    case ExitCause::Error:
      return "error";
    case ExitCause::InsufficientResources:
      return "insufficient_resources";
    case ExitCause::Busy:
      return "busy";
    case ExitCause::Unknown:
      return "unknown";
  }
  return "unknown";
}

using Placements = decltype(Job::possible_placements);

/// Some of a job's placements, by task.
struct PlacementRange {
  Placements::const_iterator first;
  Placements::const_iterator last;
  Placements::const_iterator begin() const { return first; }
  Placements::const_iterator end() const { return last; }
};

/// The placements whose attempts are compared with an attempt of the task. All tasks of a gang
/// share an attempt number, so a gang's attempts are compared across its tasks. For other jobs only
/// attempts of the same task are compared: an array may have tens of thousands of other tasks.
PlacementRange compared_placements(const Job& job, uint32_t task) {
  const Placements& placements = job.possible_placements;
  if (job.spec().kind == JobKind::Gang) return {placements.begin(), placements.end()};
  const auto found = placements.find(task);
  return {found, found == placements.end() ? found : std::next(found)};
}

}  // namespace

void AttemptTracker::adopt(Machine& machine, const TaskAttemptId& id, TaskAttempt& attempt,
                           Job& job, bool fetching, Seconds now) {
  const JobSpec& spec = job.spec();
  attempt.request = spec.request;
  attempt.image = spec.image;
  attempt.image_gb = spec.image_gb;
  state_.add_possible_placement(machine, id);
  const uint64_t newest = newest_attempt(job, id);
  if (spec.kind == JobKind::Gang && newest > job.gang_attempt) {
    job.gang_attempt = newest;
    job.gang_attempt_state = GangAttemptState::Adopted;
  }
  const bool newest_or_fetch = id.attempt == newest || (fetching && continues_fetch(job, id));
  attempt.desired_running = newest_or_fetch && job.runnable() && id.task.task < spec.tasks &&
                            !job.done.contains(id.task.task);
  stop_attempts_before(newest, job, id, fetching, now);
}

uint64_t AttemptTracker::newest_attempt(const Job& job, const TaskAttemptId& adopted) {
  uint64_t newest = adopted.attempt;
  for (const auto& [task, placements] : compared_placements(job, adopted.task.task))
    for (const TaskPlacement& placement : placements) {
      ++work_counters_.adoption_checks;
      newest = std::max(newest, placement.attempt);
    }
  return newest;
}

/// A task is restarted only after its earlier attempt is certainly gone. A heartbeat that still
/// lists the earlier attempt is outdated and must not stop the newer one. `fetching` is of the
/// adopted attempt, whose reported state has not been applied yet.
void AttemptTracker::stop_attempts_before(uint64_t newest, const Job& job,
                                          const TaskAttemptId& adopted, bool fetching,
                                          Seconds now) {
  for (const auto& [task, placements] : compared_placements(job, adopted.task.task))
    for (const TaskPlacement& placement : placements) {
      const TaskAttemptId older{{adopted.task.job, task}, placement.attempt};
      if (older.attempt >= newest) continue;
      const TaskAttempt* found = state_.find_attempt(older.task, placement);
      const bool older_fetches = older == adopted ? fetching : found && found->fetching_image();
      if (older_fetches && continues_fetch(job, older)) continue;
      request_stop_on(placement.machine, older, now);
    }
}

/// Whether a fetch for an attempt older than the newest goes on: it is a gang's, whose next attempt
/// needs the image there, and the task has no other attempt.
bool AttemptTracker::continues_fetch(const Job& job, const TaskAttemptId& id) const {
  if (!job.spec().is_multi_task_gang()) return false;
  const auto placements = job.possible_placements.find(id.task.task);
  return placements != job.possible_placements.end() && placements->second.size() == 1;
}

void AttemptTracker::request_stop_on(const std::string& machine_id, const TaskAttemptId& id,
                                     Seconds now) {
  Machine* machine = state_.find_machine(machine_id);
  if (!machine) return;
  const auto attempt = machine->attempts.find(id);
  if (attempt == machine->attempts.end()) return;
  request_stop(attempt->second, false, now);
  commands_.enqueue(*machine);
}

void AttemptTracker::set_state(Machine& machine, const TaskAttemptId& id, TaskAttempt& attempt,
                               TaskAttemptState next, Seconds now) {
  if (attempt.state == next) return;
  log_debug("task_attempt_state_changed", log_field("job", id.task.job),
            log_field("task", id.task.task), log_field("attempt", id.attempt),
            log_field("machine", machine.host.id), log_field("from", name(attempt.state)),
            log_field("to", name(next)));
  attempt.state = next;
  attempt.start_sent = true;
  if (next == TaskAttemptState::Running || next == TaskAttemptState::Waiting)
    on_image_present(machine, id, attempt, now);
  if (next == TaskAttemptState::Exited) {
    state_.remove_possible_placement(machine, id);
    handle_exit(machine, id, attempt, now);
  }
}

/// A task with its image that belongs to an abandoned attempt of its gang would wait in vain.
void AttemptTracker::on_image_present(Machine& machine, const TaskAttemptId& id,
                                      TaskAttempt& attempt, Seconds now) {
  state_.record_image_use(machine, attempt.image, attempt.image_gb);
  if (!attempt.running_since) attempt.running_since = now;
  Job* job = state_.find_job(id.task.job);
  if (!job || !job->spec().is_multi_task_gang()) return;
  const bool abandoned =
      id.attempt < job->gang_attempt || job->gang_attempt_state == GangAttemptState::Abandoned;
  if (!abandoned) return gang_starts_.on_image_present(*job);
  if (attempt.state != TaskAttemptState::Waiting) return;
  request_stop(attempt, false, now);
  commands_.enqueue(machine);
}

void AttemptTracker::handle_exit(Machine& machine, const TaskAttemptId& id, TaskAttempt& attempt,
                                 Seconds now) {
  if (attempt.exit_recorded) return;
  attempt.exit_recorded = true;
  attempt.desired_running = false;
  Job* job = state_.find_job(id.task.job);
  if (!job) return;
  if (attempt.cause == ExitCause::Done) return handle_success(machine, id, *job, now);
  log_info("task_attempt_ended", log_field("job", id.task.job), log_field("task", id.task.task),
           log_field("attempt", id.attempt), log_field("machine", machine.host.id),
           log_field("reason", name(attempt.cause)));
  if (attempt.cause == ExitCause::Error || attempt.cause == ExitCause::Unknown)
    failures_.record_task_failure(machine, *job, now);
  if (attempt.cause == ExitCause::InsufficientResources || attempt.cause == ExitCause::Busy)
    job->backoff_until = now + state_.settings().heartbeat_period_s;
  restart_gang_of(id, now);
}

void AttemptTracker::handle_success(Machine& machine, const TaskAttemptId& id, Job& job,
                                    Seconds now) {
  machine.failed_jobs.clear();
  machine.failed_job_succeeded_elsewhere = false;
  failures_.record_task_success(job, now);
  const JobSpec& spec = job.spec();
  if (spec.kind == JobKind::Service) return;
  // The tasks of a gang complete as a unit.
  const bool gang = spec.kind == JobKind::Gang;
  const uint32_t first = gang ? 0 : id.task.task;
  const uint32_t end = std::min(spec.tasks, gang ? spec.tasks : id.task.task + 1);
  for (uint32_t task = first; task < end; ++task)
    if (job.done.add(task) && !job.progress_since) job.progress_since = now;
  records_.enqueue_job(job, now);
}

void AttemptTracker::remove_all(Machine& machine) {
  while (!machine.attempts.empty()) {
    const TaskAttemptId id = machine.attempts.begin()->first;
    const bool present = machine.attempts.begin()->second.may_be_present();
    state_.remove_attempt(machine, id);
    if (present) restart_gang_of(id, state_.failover_at());
  }
}

/// A pending stop without a checkpoint is not changed by a later graceful stop.
void AttemptTracker::request_stop(TaskAttempt& attempt, bool graceful, Seconds now) {
  if (!attempt.desired_running && attempt.stop_since) {
    attempt.graceful = attempt.graceful && graceful;
    return;
  }
  attempt.desired_running = false;
  attempt.graceful = graceful;
  attempt.stop_since = now;
}

/// Stops the job's tasks. Returns how many are stopped, or removed because no start was sent.
size_t AttemptTracker::stop_attempts(Job& job, ImageFetches fetches, bool graceful, Seconds now) {
  size_t stopped = 0;
  const auto placements_before = job.possible_placements;  // removals modify the job's map
  for (const auto& [task, placements] : placements_before)
    for (const TaskPlacement& placement : placements) {
      Machine* machine = state_.find_machine(placement.machine);
      if (!machine) continue;
      const TaskAttemptId id{{job.spec().id, task}, placement.attempt};
      const auto attempt = machine->attempts.find(id);
      if (attempt == machine->attempts.end()) continue;
      if (fetches == ImageFetches::Continue && attempt->second.fetching_image()) continue;
      ++stopped;
      if (!attempt->second.start_sent)
        state_.remove_attempt(*machine, id);  // no start command was sent
      else
        request_stop(attempt->second, graceful, now);
      commands_.enqueue(*machine);
    }
  return stopped;
}

void AttemptTracker::stop_job(Job& job, bool graceful, Seconds now) {
  if (job.spec().kind == JobKind::Gang && !job.possible_placements.empty())
    job.gang_attempt_state = GangAttemptState::Abandoned;
  stop_attempts(job, ImageFetches::Stop, graceful, now);
}

void AttemptTracker::restart_gang_of(const TaskAttemptId& lost, Seconds now) {
  Job* job = state_.find_job(lost.task.job);
  if (!job || !job->spec().is_multi_task_gang() || job->complete()) return;
  if (lost.attempt < job->gang_attempt) return;  // the newer attempt has not lost a task
  abandon_gang_attempt(*job, now);
}

void AttemptTracker::abandon_gang_attempt(Job& job, Seconds now) {
  if (job.possible_placements.empty()) return;
  if (failures_.crash_looping(job)) return stop_job(job, false, now);
  if (job.gang_attempt_state == GangAttemptState::Abandoned) return;
  job.gang_attempt_state = GangAttemptState::Abandoned;
  const uint64_t abandoned = job.gang_attempt;
  const size_t stopped = stop_attempts(job, ImageFetches::Continue, false, now);
  log_info("gang_attempt_abandoned", log_field("job", job.spec().id),
           log_field("attempt", abandoned), log_field("fetching", state_.image_fetches_left(job)),
           log_field("stopped", stopped));
}

}  // namespace sumacquay
