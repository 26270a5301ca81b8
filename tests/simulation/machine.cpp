#include "simulation/machine.h"

#include <set>

#include "simulation/options.h"

namespace sumacquay::simulation {

namespace {
constexpr int kFirstMachineNumber = 1000;
}  // namespace

SimulatedMachine* Fleet::find(const std::string& id) {
  const auto machine = machines_.find(id);
  return machine == machines_.end() ? nullptr : &machine->second;
}

std::string Fleet::add(Seconds up_at, const std::optional<std::string>& zone, bool spot,
                       size_t controller) {
  SimulatedMachine machine;
  machine.id = "i-" + std::to_string(kFirstMachineNumber + created_++);
  machine.addr = machine.id + ":1";
  machine.type = "g";
  machine.zone = zone.value_or(created_ % 2 ? kEast : kWest);
  machine.spot = spot;
  machine.up_at = machine.agent_epoch_started_at = up_at;
  machine.controller = controller;
  machines_[machine.id] = machine;
  return machine.id;
}

std::vector<std::string> Fleet::running(Seconds now) const {
  std::vector<std::string> out;
  for (const auto& [id, machine] : machines_)
    if (machine.up(now)) out.push_back(id);
  return out;
}

std::vector<std::string> Fleet::machines_with(const std::string& job, TaskState state) const {
  std::vector<std::string> out;
  for (const auto& [id, machine] : machines_)
    for (const auto& [attempt_id, task] : machine.tasks)
      if (attempt_id.task.job == job && task.state == state) out.push_back(id);
  return out;
}

size_t Fleet::running_tasks(const std::string& job) const {
  std::set<uint32_t> running;
  for (const auto& [id, machine] : machines_)
    for (const auto& [attempt_id, task] : machine.tasks)
      if (attempt_id.task.job == job && task.state == TaskState::Running)
        running.insert(attempt_id.task.task);
  return running.size();
}

}  // namespace sumacquay::simulation
