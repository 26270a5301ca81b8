#include "simulators/worker_state.h"

#include <algorithm>

namespace sumacquay::simulators {
namespace {

/// Time in which a worker reports only one higher fencing token promptly, as a fraction of the
/// lease.
constexpr double kTokenChangeIntervalLeases = 0.5;

bool has_active_attempt(const std::map<TaskAttemptId, WorkerTask>& tasks, const TaskKey& task) {
  for (auto at = tasks.lower_bound({task, 0}); at != tasks.end() && at->first.task == task; ++at)
    if (at->second.active()) return true;
  return false;
}

}  // namespace

WorkerHeartbeat WorkerState::heartbeat() {
  WorkerHeartbeat heartbeat;
  heartbeat.machine = id;
  heartbeat.addr = addr;
  heartbeat.type = type;
  heartbeat.zone = zone;
  heartbeat.spot = spot;
  heartbeat.agent_epoch = agent_epoch;
  heartbeat.sequence_number = ++sequence_number;
  heartbeat.fencing_token = fencing_token;
  heartbeat.tasks.reserve(tasks.size());
  for (const auto& [id, task] : tasks)
    heartbeat.tasks.push_back({id.task, id.attempt, task.state, task.cause});
  return heartbeat;
}

bool WorkerState::advance_fencing_token(uint64_t seen, Seconds lease, Seconds now) {
  if (seen <= fencing_token) return false;
  fencing_token = seen;
  if (token_change_reported_at &&
      now - *token_change_reported_at < lease * kTokenChangeIntervalLeases)
    return false;
  token_change_reported_at = now;
  return true;
}

bool WorkerState::lease_expired(Seconds lease, Seconds now) const {
  return now - last_answered_heartbeat_at.value_or(agent_epoch_started_at) > lease;
}

void WorkerState::restart_agent_epoch_if_expired(Seconds lease, Seconds now) {
  if (!lease_expired(lease, now)) return;
  tasks.clear();
  ++agent_epoch;
  agent_epoch_started_at = now;
  last_answered_heartbeat_at.reset();
}

bool WorkerState::accepts_start(const Command& command) const {
  return !tasks.contains({command.key, command.attempt}) && !has_active_attempt(tasks, command.key);
}

WorkerTask* WorkerState::find(const Command& command) {
  const auto found = tasks.find({command.key, command.attempt});
  return found == tasks.end() ? nullptr : &found->second;
}

}  // namespace sumacquay::simulators
