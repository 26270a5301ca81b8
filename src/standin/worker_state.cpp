#include "standin/worker_state.h"

#include <algorithm>

namespace sumacquay::standin {

WorkerReport WorkerState::report() {
  WorkerReport report;
  report.machine = id;
  report.addr = addr;
  report.type = type;
  report.zone = zone;
  report.spot = spot;
  report.session = session;
  report.seq = ++seq;
  report.token = token;
  report.tasks.reserve(tasks.size());
  for (const auto& [key, task] : tasks)
    report.tasks.push_back({key, task.attempt, task.state, task.cause});
  return report;
}

void WorkerState::raise_token(uint64_t seen) {
  token = std::max(token, seen);
}

bool WorkerState::lease_over(Seconds lease, Seconds now) const {
  return now - answered_report.value_or(session_began) > lease;
}

void WorkerState::expire_session(Seconds lease, Seconds now) {
  if (!lease_over(lease, now)) return;
  tasks.clear();
  ++session;
  session_began = now;
  answered_report.reset();
}

bool WorkerState::accepts_start(const Command& command) const {
  const auto known = tasks.find(command.key);
  if (known == tasks.end()) return true;
  return known->second.attempt != command.attempt && !known->second.present();
}

WorkerTask* WorkerState::find(const Command& command) {
  const auto known = tasks.find(command.key);
  if (known == tasks.end() || known->second.attempt != command.attempt) return nullptr;
  return &known->second;
}

}  // namespace sumacquay::standin
