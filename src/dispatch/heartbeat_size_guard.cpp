#include "dispatch/heartbeat_size_guard.h"

#include <algorithm>
#include <tuple>

#include "logging/log_event.h"
#include "wire/worker_message_size.h"

namespace sumacquay {

void HeartbeatSizeGuard::on_heartbeat(Machine& machine, const WorkerHeartbeat& heartbeat,
                                      Seconds now) {
  const size_t bytes = wire::listed_tasks_size(heartbeat);
  machine.heartbeat_too_large = bytes > wire::kMaxListBytes;
  if (!machine.heartbeat_too_large) return;
  const size_t stopped = stop_excess_tasks(machine, now);
  log_info("heartbeat_too_large", log_field("machine", machine.host.id), log_field("bytes", bytes),
           log_field("count", heartbeat.tasks.size()), log_field("stopped", stopped));
  commands_.enqueue(machine);
}

std::vector<HeartbeatSizeGuard::RunningTask> HeartbeatSizeGuard::running_tasks(Machine& machine) {
  std::vector<RunningTask> tasks;
  for (auto& [id, attempt] : machine.attempts) {
    Job* job = state_.find_job(id.task.job);
    if (job && attempt.may_be_present() && attempt.desired_running)
      tasks.push_back({&attempt, job});
  }
  return tasks;
}

/// Space of the completed attempts that the worker keeps until their completion is recorded.
double HeartbeatSizeGuard::retained_bytes(const Machine& machine) const {
  double bytes = 0;
  for (const auto& [id, attempt] : machine.attempts)
    if (!attempt.may_be_present() && !state_.may_discard(id, attempt))
      bytes += attempt.heartbeat_bytes;
  return std::min(bytes, kMaxRetainedHeartbeatBytes);
}

/// Returns the number of tasks stopped on the machine. A gang is stopped as a whole.
size_t HeartbeatSizeGuard::stop_excess_tasks(Machine& machine, Seconds now) {
  auto tasks = running_tasks(machine);
  double excess = retained_bytes(machine) - wire::kMaxListBytes;
  for (const RunningTask& task : tasks) excess += task.attempt->heartbeat_bytes;
  std::stable_sort(
      tasks.begin(), tasks.end(), [](const RunningTask& left, const RunningTask& right) {
        const bool left_in_gang = left.job->spec().is_multi_task_gang();
        const bool right_in_gang = right.job->spec().is_multi_task_gang();
        return std::tuple(left.job->priority, left_in_gang, -left.attempt->placed_at) <
               std::tuple(right.job->priority, right_in_gang, -right.attempt->placed_at);
      });
  size_t stopped = 0;
  for (const RunningTask& task : tasks) {
    if (excess <= 0) break;
    excess -= task.attempt->heartbeat_bytes;
    ++stopped;
    if (task.job->spec().is_multi_task_gang())
      attempts_.stop_job(*task.job, false, now);
    else
      attempts_.request_stop(*task.attempt, false, now);
  }
  return stopped;
}

}  // namespace sumacquay
