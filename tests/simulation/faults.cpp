#include "simulation/faults.h"

namespace sumacquay::simulation {

void Faults::end_process(size_t controller, Seconds back_in) {
  controllers_.restart(controller, back_in);
}

void Faults::stand_still(size_t controller, Seconds span) {
  last(&ControllerFaults::frozen, controller, span);
}

void Faults::cut_from_state(size_t controller, Seconds span) {
  last(&ControllerFaults::no_state, controller, span);
}

void Faults::cut_from_peers(size_t controller, Seconds span) {
  last(&ControllerFaults::no_peers, controller, span);
}

void Faults::cut_from_workers(size_t controller, Seconds span) {
  last(&ControllerFaults::no_machines, controller, span);
}

void Faults::refuse(size_t controller, Seconds span) {
  last(&ControllerFaults::refused, controller, span);
}

void Faults::hang(const std::string& machine, Seconds span) {
  last(&MachineFaults::hung, machine, span);
}

void Faults::cut(const std::string& machine, Seconds span) {
  last(&MachineFaults::cut, machine, span);
}

void Faults::deafen(const std::string& machine, Seconds span) {
  last(&MachineFaults::deaf, machine, span);
}

void Faults::mute(const std::string& machine, Seconds span) {
  last(&MachineFaults::mute, machine, span);
}

void Faults::hold_commands(const std::string& machine, Seconds span) {
  last(&MachineFaults::commands_held, machine, span);
}

void Faults::fail_all_tasks(const std::string& machine) {
  if (SimulatedMachine* known = env_.fleet.find(machine)) known->quarantined = true;
}

void Faults::late_heartbeats(double share, Seconds span, CopyDelivery delivery) {
  workers_.copy_heartbeats(share, span, delivery);
}

void Faults::end_all() {
  for (size_t controller = 0; controller < env_.controllers.size(); ++controller)
    env_.controllers[controller].faults = {};
  controllers_.start_all();
  state_.end_faults();
  cloud_.end_faults();
  workers_.end_faults();
  env_.network.heal();
  for (auto& [id, machine] : env_.fleet.machines()) machine.faults = {};
}

void Faults::last(Fault ControllerFaults::*fault, size_t controller, Seconds span) {
  (env_.controllers[controller].faults.*fault).last_until(env_.now() + span);
}

void Faults::last(Fault MachineFaults::*fault, const std::string& machine, Seconds span) {
  SimulatedMachine* known = env_.fleet.find(machine);
  if (known) (known->faults.*fault).last_until(env_.now() + span);
}

}  // namespace sumacquay::simulation
