#include "simulators/worker_state.h"

#include <algorithm>

namespace sumacquay::simulators {

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
  for (const auto& [key, task] : tasks)
    heartbeat.tasks.push_back({key, task.attempt, task.state, task.cause});
  return heartbeat;
}

void WorkerState::advance_fencing_token(uint64_t seen) {
  fencing_token = std::max(fencing_token, seen);
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
  const auto found = tasks.find(command.key);
  if (found == tasks.end()) return true;
  return found->second.attempt != command.attempt && !found->second.active();
}

WorkerTask* WorkerState::find(const Command& command) {
  const auto found = tasks.find(command.key);
  if (found == tasks.end() || found->second.attempt != command.attempt) return nullptr;
  return &found->second;
}

}  // namespace sumacquay::simulators
