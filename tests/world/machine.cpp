#include "world/machine.h"

#include <algorithm>

#include "world/options.h"

namespace sumacquay::simulation {

namespace {
constexpr int kFirstMachineNumber = 1000;
}  // namespace

WorkerReport SimulatedMachine::report() {
  WorkerReport report;
  report.machine = id;
  report.addr = id + ":1";
  report.type = "g";
  report.zone = zone;
  report.spot = spot;
  report.session = session;
  report.seq = ++seq;
  report.token = token;
  for (const auto& [key, task] : tasks)
    report.tasks.push_back({key, task.attempt, task.state, task.cause});
  return report;
}

void SimulatedMachine::raise_token(uint64_t seen) {
  token = std::max(token, seen);
}

void SimulatedMachine::expire_session(Seconds lease, Seconds now) {
  if (now - answered_report.value_or(session_began) <= lease) return;
  tasks.clear();
  ++session;
  session_began = now;
  answered_report.reset();
}

SimulatedMachine* Fleet::find(const std::string& id) {
  const auto machine = machines_.find(id);
  return machine == machines_.end() ? nullptr : &machine->second;
}

std::string Fleet::add(Seconds up_at, const std::optional<std::string>& zone, bool spot,
                       size_t controller) {
  SimulatedMachine machine;
  machine.id = "i-" + std::to_string(kFirstMachineNumber + created_++);
  machine.zone = zone.value_or(created_ % 2 ? kEast : kWest);
  machine.spot = spot;
  machine.up_at = machine.session_began = up_at;
  machine.controller = controller;
  machines_[machine.id] = machine;
  return machine.id;
}

std::vector<std::string> Fleet::up(Seconds now) const {
  std::vector<std::string> out;
  for (const auto& [id, machine] : machines_)
    if (machine.up(now)) out.push_back(id);
  return out;
}

}  // namespace sumacquay::simulation
