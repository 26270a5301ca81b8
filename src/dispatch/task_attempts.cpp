// Starts of tasks on machines: where each task is or may be, how it ends, and what is to stop.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

/// The part of a machine's cache that is counted on: fetches that were given up, and images of
/// tasks that an earlier leader started, take room that nobody has told this one about.
constexpr double kSureCache = 0.8;

}  // namespace

void Scheduler::on_cached_image(const std::string& machine_id, const std::string& image,
                                double gb) {
  const auto machine = machines_.find(machine_id);
  if (machine != machines_.end()) mark_image_used(machine->second, image, gb);
}

void Scheduler::mark_image_used(Machine& machine, const std::string& image, double gb) {
  const MachineType* t = type(machine.info.type);
  if (!image.empty()) machine.images.use(image, gb, t ? t->cache_gb * kSureCache : 0);
}

/// A task that an earlier leader started is kept, unless it should not be there.
void Scheduler::adopt_attempt(Machine& machine, const TaskAttemptId& key, TaskAttempt& attempt,
                              Job& job, Seconds now) {
  const JobSpec& spec = job.spec();
  attempt.request = spec.request;
  attempt.image = spec.image;
  attempt.image_gb = spec.image_gb;
  add_possible_placement(machine, key);
  const bool gang = spec.kind == JobKind::Gang;
  // The starts of a gang belong together; of an array a task's own alone matter, and there may be
  // tens of thousands of others.
  const auto first =
      gang ? job.possible_placements.begin() : job.possible_placements.find(key.task.task);
  const auto last = gang || first == job.possible_placements.end() ? job.possible_placements.end()
                                                                   : std::next(first);
  uint64_t newest = key.attempt;
  for (auto at = first; at != last; ++at)
    for (const auto& [machine_id, attempt_number] : at->second) {
      ++work_.adoption_checks;
      newest = std::max(newest, attempt_number);
    }
  if (gang) job.gang_attempt = newest;
  attempt.desired_running = key.attempt == newest && job.runnable() && key.task.task < spec.tasks &&
                            !job.done.contains(key.task.task);
  // A task is started again only once its earlier start is certainly gone: a heartbeat that still
  // shows that one is old, and must not stop the one that runs.
  for (auto at = first; at != last; ++at)
    for (const auto& [machine_id, attempt_number] : at->second)
      if (attempt_number < newest)
        request_stop_on(machine_id, {{key.task.job, at->first}, attempt_number}, now);
}

void Scheduler::request_stop_on(const std::string& machine_id, const TaskAttemptId& key,
                                Seconds now) {
  const auto machine = machines_.find(machine_id);
  if (machine == machines_.end()) return;
  const auto attempt = machine->second.attempts.find(key);
  if (attempt == machine->second.attempts.end()) return;
  request_stop(attempt->second, false, now);
  enqueue_commands(machine->second);
}

void Scheduler::set_attempt_state(Machine& machine, const TaskAttemptId& key, TaskAttempt& attempt,
                                  TaskAttemptState next, Seconds now) {
  if (attempt.state == next) return;
  spdlog::debug("{}/{} try {} on {}: phase {} -> {}", key.task.job, key.task.task, key.attempt,
                machine.info.id, name(attempt.state), name(next));
  attempt.state = next;
  attempt.start_sent = true;
  if (next == TaskAttemptState::Running || next == TaskAttemptState::Waiting) {
    mark_image_used(machine, attempt.image, attempt.image_gb);
    if (!attempt.running_since) attempt.running_since = now;
  }
  if (next == TaskAttemptState::Exited) {
    remove_possible_placement(machine, key);
    handle_exit(machine, key, attempt, now);
  }
}

void Scheduler::handle_exit(Machine& machine, const TaskAttemptId& key, TaskAttempt& attempt,
                            Seconds now) {
  if (attempt.exit_recorded) return;
  attempt.exit_recorded = true;
  attempt.desired_running = false;
  Job* job = find_job(key.task.job);
  if (!job) return;
  if (attempt.cause == ExitCause::Done) {
    machine.failed_jobs.clear();
    machine.failed_jobs_succeed_elsewhere = false;
    record_task_success(*job, now);
    if (job->spec().kind == JobKind::Service) return;
    const bool gang = job->spec().kind == JobKind::Gang;
    // The tasks of a gang complete together.
    for (uint32_t t = gang ? 0 : key.task.task; t < (gang ? job->spec().tasks : key.task.task + 1);
         ++t)
      if (t < job->spec().tasks && job->done.add(t) && !job->progress_since)
        job->progress_since = now;
    return enqueue_job_record(*job, now);
  }
  spdlog::info("{}/{} try {} ended on {}: cause {}", key.task.job, key.task.task, key.attempt,
               machine.info.id, static_cast<int>(attempt.cause));
  if (attempt.cause == ExitCause::Error || attempt.cause == ExitCause::Unknown)
    record_task_failure(machine, *job, now);
  if (attempt.cause == ExitCause::NoRoom || attempt.cause == ExitCause::Busy)
    job->backoff_until = now + settings_.heartbeat_period_s;
  stop_gang_of(key.task, now);
}

void Scheduler::add_possible_placement(Machine& machine, const TaskAttemptId& key) {
  if (Job* job = find_job(key.task.job))
    job->possible_placements[key.task.task].insert({machine.info.id, key.attempt});
}

void Scheduler::remove_possible_placement(Machine& machine, const TaskAttemptId& key) {
  Job* job = find_job(key.task.job);
  if (!job) return;
  const auto it = job->possible_placements.find(key.task.task);
  if (it == job->possible_placements.end()) return;
  it->second.erase({machine.info.id, key.attempt});
  if (it->second.empty()) job->possible_placements.erase(it);
  if (job->possible_placements.empty()) job->gang_attempt = 0;
}

void Scheduler::remove_attempt(Machine& machine, const TaskAttemptId& key) {
  const auto it = machine.attempts.find(key);
  if (it == machine.attempts.end()) return;
  if (it->second.possibly_present()) remove_possible_placement(machine, key);
  machine.attempts.erase(it);
}

void Scheduler::remove_all_attempts(Machine& machine) {
  while (!machine.attempts.empty()) {
    const TaskAttemptId key = machine.attempts.begin()->first;
    const bool present = machine.attempts.begin()->second.possibly_present();
    remove_attempt(machine, key);
    if (present) stop_gang_of(key.task, failover_at_);
  }
}

void Scheduler::request_stop(TaskAttempt& attempt, bool graceful, Seconds now) {
  if (!attempt.desired_running && attempt.stop_since) {
    attempt.graceful = attempt.graceful && graceful;
    return;
  }
  attempt.desired_running = false;
  attempt.graceful = graceful;
  attempt.stop_since = now;
}

void Scheduler::stop_job(Job& job, bool graceful, Seconds now) {
  const auto places = job.possible_placements;
  for (const auto& [task, where] : places)
    for (const auto& [machine_id, attempt_number] : where) {
      const auto machine = machines_.find(machine_id);
      if (machine == machines_.end()) continue;
      const TaskAttemptId key{{job.spec().id, task}, attempt_number};
      const auto attempt = machine->second.attempts.find(key);
      if (attempt == machine->second.attempts.end()) continue;
      if (!attempt->second.start_sent)
        remove_attempt(machine->second, key);  // never left this node
      else
        request_stop(attempt->second, graceful, now);
      enqueue_commands(machine->second);
    }
}

/// A gang that lost a member starts again whole: the rest is stopped.
void Scheduler::stop_gang_of(const TaskKey& key, Seconds now) {
  Job* job = find_job(key.job);
  if (job && job->spec().kind == JobKind::Gang && job->spec().tasks > 1 && !job->complete())
    stop_job(*job, false, now);
}

}  // namespace sumacquay
