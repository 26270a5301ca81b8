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

void Scheduler::on_cached_image(const std::string& machine, const std::string& image, double gb) {
  const auto m = machines_.find(machine);
  if (m != machines_.end()) mark_image_used(m->second, image, gb);
}

void Scheduler::mark_image_used(Machine& m, const std::string& image, double gb) {
  const MachineType* t = type(m.info.type);
  if (!image.empty()) m.images.use(image, gb, t ? t->cache_gb * kSureCache : 0);
}

/// A task that an earlier leader started is kept, unless it should not be there.
void Scheduler::adopt(Machine& m, const RunKey& key, Run& run, Job& job, Seconds now) {
  const JobSpec& spec = job.spec();
  run.need = spec.need;
  run.image = spec.image;
  run.image_gb = spec.image_gb;
  add_presence(m, key);
  const bool gang = spec.kind == JobKind::Gang;
  // The starts of a gang belong together; of an array a task's own alone matter, and there may be
  // tens of thousands of others.
  const auto first = gang ? job.placements.begin() : job.placements.find(key.task.task);
  const auto last = gang || first == job.placements.end() ? job.placements.end() : std::next(first);
  uint64_t newest = key.attempt;
  for (auto at = first; at != last; ++at)
    for (const auto& [machine, attempt] : at->second) {
      ++work_.adoption_checks;
      newest = std::max(newest, attempt);
    }
  if (gang) job.gang_attempt = newest;
  run.wanted = key.attempt == newest && job.runnable() && key.task.task < spec.tasks &&
               !job.done.contains(key.task.task);
  // A task is started again only once its earlier start is certainly gone: a heartbeat that still
  // shows that one is old, and must not stop the one that runs.
  for (auto at = first; at != last; ++at)
    for (const auto& [machine, attempt] : at->second)
      if (attempt < newest) request_stop_at(machine, {{key.task.job, at->first}, attempt}, now);
}

void Scheduler::request_stop_at(const std::string& machine, const RunKey& key, Seconds now) {
  const auto m = machines_.find(machine);
  if (m == machines_.end()) return;
  const auto run = m->second.runs.find(key);
  if (run == m->second.runs.end()) return;
  request_stop(run->second, false, now);
  note_orders(m->second);
}

void Scheduler::set_phase(Machine& m, const RunKey& key, Run& run, Run::Phase next, Seconds now) {
  if (run.phase == next) return;
  spdlog::debug("{}/{} try {} on {}: phase {} -> {}", key.task.job, key.task.task, key.attempt,
                m.info.id, name(run.phase), name(next));
  run.phase = next;
  run.sent = true;
  if (next == Run::Phase::Running || next == Run::Phase::Waiting) {
    mark_image_used(m, run.image, run.image_gb);
    if (!run.running_since) run.running_since = now;
  }
  if (next == Run::Phase::Exited) {
    drop_presence(m, key);
    handle_exit(m, key, run, now);
  }
}

void Scheduler::handle_exit(Machine& m, const RunKey& key, Run& run, Seconds now) {
  if (run.exit_handled) return;
  run.exit_handled = true;
  run.wanted = false;
  Job* job = find_job(key.task.job);
  if (!job) return;
  if (run.cause == ExitCause::Done) {
    m.error_jobs.clear();
    m.others_succeed = false;
    count_success(*job, now);
    if (job->spec().kind == JobKind::Service) return;
    const bool gang = job->spec().kind == JobKind::Gang;
    // The tasks of a gang complete together.
    for (uint32_t t = gang ? 0 : key.task.task; t < (gang ? job->spec().tasks : key.task.task + 1);
         ++t)
      if (t < job->spec().tasks && job->done.add(t) && !job->progress_since)
        job->progress_since = now;
    return note_job_record(*job, now);
  }
  spdlog::info("{}/{} try {} ended on {}: cause {}", key.task.job, key.task.task, key.attempt,
               m.info.id, static_cast<int>(run.cause));
  if (run.cause == ExitCause::Error || run.cause == ExitCause::Unknown) count_failure(m, *job, now);
  if (run.cause == ExitCause::NoRoom || run.cause == ExitCause::Busy)
    job->retry_at = now + settings_.heartbeat_period_s;
  stop_gang_of(key.task, now);
}

void Scheduler::add_presence(Machine& m, const RunKey& key) {
  if (Job* job = find_job(key.task.job))
    job->placements[key.task.task].insert({m.info.id, key.attempt});
}

void Scheduler::drop_presence(Machine& m, const RunKey& key) {
  Job* job = find_job(key.task.job);
  if (!job) return;
  const auto it = job->placements.find(key.task.task);
  if (it == job->placements.end()) return;
  it->second.erase({m.info.id, key.attempt});
  if (it->second.empty()) job->placements.erase(it);
  if (job->placements.empty()) job->gang_attempt = 0;
}

void Scheduler::remove_run(Machine& m, const RunKey& key) {
  const auto it = m.runs.find(key);
  if (it == m.runs.end()) return;
  if (it->second.present()) drop_presence(m, key);
  m.runs.erase(it);
}

void Scheduler::remove_all_runs(Machine& m) {
  while (!m.runs.empty()) {
    const RunKey key = m.runs.begin()->first;
    const bool present = m.runs.begin()->second.present();
    remove_run(m, key);
    if (present) stop_gang_of(key.task, failover_at_);
  }
}

void Scheduler::request_stop(Run& run, bool graceful, Seconds now) {
  if (!run.wanted && run.stop_since) {
    run.graceful = run.graceful && graceful;
    return;
  }
  run.wanted = false;
  run.graceful = graceful;
  run.stop_since = now;
}

void Scheduler::stop_job(Job& job, bool graceful, Seconds now) {
  const auto places = job.placements;
  for (const auto& [task, where] : places)
    for (const auto& [machine, attempt] : where) {
      const auto m = machines_.find(machine);
      if (m == machines_.end()) continue;
      const RunKey key{{job.spec().id, task}, attempt};
      const auto run = m->second.runs.find(key);
      if (run == m->second.runs.end()) continue;
      if (!run->second.sent)
        remove_run(m->second, key);  // never left this node
      else
        request_stop(run->second, graceful, now);
      note_orders(m->second);
    }
}

/// A gang that lost a member starts again whole: the rest is stopped.
void Scheduler::stop_gang_of(const TaskKey& key, Seconds now) {
  Job* job = find_job(key.job);
  if (job && job->spec().kind == JobKind::Gang && job->spec().tasks > 1 && !job->complete())
    stop_job(*job, false, now);
}

}  // namespace sumacquay
