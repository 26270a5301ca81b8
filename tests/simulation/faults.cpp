#include "simulation/faults.h"

#include <set>
#include <vector>

namespace sumacquay::simulation {

void Faults::restart_controller(size_t controller, Seconds restart_delay) {
  controllers_.restart(controller, restart_delay);
}

void Faults::pause_controller(size_t controller, Seconds span) {
  inject(&ControllerFaults::paused, controller, span);
}

void Faults::partition_from_store(size_t controller, Seconds span) {
  inject(&ControllerFaults::store_partition, controller, span);
}

void Faults::partition_from_peers(size_t controller, Seconds span) {
  inject(&ControllerFaults::peer_partition, controller, span);
}

void Faults::partition_from_workers(size_t controller, Seconds span) {
  inject(&ControllerFaults::worker_partition, controller, span);
}

void Faults::reject_store_requests(size_t controller, Seconds span) {
  inject(&ControllerFaults::store_rejection, controller, span);
}

void Faults::overfill_machine(const std::string& machine, const std::string& job, size_t count) {
  std::set<uint32_t> taken = env_.jobs.at(job).done_tasks;
  env_.fleet.for_each_present_task([&](const SimulatedMachine&, const TaskKey& key) {
    if (key.job == job) taken.insert(key.task);
  });
  std::vector<Command> starts;
  for (uint32_t task = 0; starts.size() < count; ++task)
    if (!taken.contains(task)) starts.push_back({CommandType::Start, {job, task}, task + 1, 0});
  workers_.execute(*env_.fleet.find(machine), starts, env_.now());
}

void Faults::hang_machine(const std::string& machine, Seconds span) {
  inject(&MachineFaults::hung, machine, span);
}

void Faults::partition_machine(const std::string& machine, Seconds span) {
  inject(&MachineFaults::partition, machine, span);
}

void Faults::drop_inbound_messages(const std::string& machine, Seconds span) {
  inject(&MachineFaults::inbound_loss, machine, span);
}

void Faults::drop_heartbeats(const std::string& machine, Seconds span) {
  inject(&MachineFaults::heartbeat_loss, machine, span);
}

void Faults::delay_commands(const std::string& machine, Seconds span) {
  inject(&MachineFaults::command_delay, machine, span);
}

void Faults::fail_all_tasks(const std::string& machine) {
  if (SimulatedMachine* target = env_.fleet.find(machine)) target->fails_all_tasks = true;
}

void Faults::duplicate_heartbeats(double fraction, Seconds span, DuplicateDelivery delivery) {
  workers_.duplicate_heartbeats(fraction, span, delivery);
}

void Faults::end_all() {
  for (size_t controller = 0; controller < env_.controllers.size(); ++controller)
    env_.controllers[controller].faults = {};
  controllers_.start_all();
  store_.end_faults();
  cloud_.end_faults();
  workers_.end_faults();
  env_.network.heal();
  for (auto& [id, machine] : env_.fleet.machines()) machine.faults = {};
}

void Faults::inject(Fault ControllerFaults::*fault, size_t controller, Seconds span) {
  (env_.controllers[controller].faults.*fault).activate_until(env_.now() + span);
}

void Faults::inject(Fault MachineFaults::*fault, const std::string& machine, Seconds span) {
  SimulatedMachine* target = env_.fleet.find(machine);
  if (target) (target->faults.*fault).activate_until(env_.now() + span);
}

}  // namespace sumacquay::simulation
