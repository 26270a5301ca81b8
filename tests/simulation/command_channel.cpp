#include "simulation/command_channel.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "simulation/controller_process.h"

namespace sumacquay::simulation {

namespace {
/// Upper bound on the command timeout, and the timeout as a fraction of the worker lease.
constexpr Seconds kCommandDeadline = 1.5;
constexpr double kCommandDeadlineShare = 0.2;
/// Probe timeout as a fraction of the worker lease.
constexpr double kProbeDeadlineShare = 0.05;
/// Commands with a longer delay count as late.
constexpr Seconds kLateCommand = 2;
constexpr Seconds kTravelLeast = 0.001, kTravelMost = 0.01;
/// Delay of messages that are held up at random, without another fault.
constexpr Seconds kHeldUpLeast = 0.5, kHeldUpMost = 40;
}  // namespace

void CommandChannel::send(ControllerProcess& sender, const SendCommands& worker_commands) {
  const Way way = draw_way(sender.controller(), env_.fleet.find(worker_commands.machine));
  const Answer answer = answer_once(sender, worker_commands.machine);
  answer(std::min(kCommandDeadline, env_.options.lease_s * kCommandDeadlineShare), std::nullopt,
         false);
  if (!way.lost) deliver({worker_commands, env_.now(), way.answer_lost, answer}, way.delay);
}

CommandChannel::Way CommandChannel::draw_way(size_t controller, const SimulatedMachine* machine) {
  Random& random = env_.random;
  const Seconds now = env_.now();
  Way way;
  way.delay = random.chance(0.01) ? random.between(kHeldUpLeast, kHeldUpMost)
                                  : random.between(kTravelLeast, kTravelMost);
  way.answer_lost = !machine || random.chance(0.01);
  if (!machine) return way;
  way.lost = machine->faults.deaf.active(now);
  const Seconds apart_until = env_.network.machine_apart_until(controller, *machine);
  if (now < apart_until) way.delay += apart_until - now;
  const Fault& held = machine->faults.commands_held;
  if (!held.active(now)) return way;
  if (random.chance(0.5))
    way.delay += held.end() - now;
  else
    way.answer_lost = true;
  return way;
}

/// Only the first call has an effect, whether it is the machine's answer or the timeout.
CommandChannel::Answer CommandChannel::answer_once(ControllerProcess& sender,
                                                   const std::string& machine) {
  return [this, controller = sender.controller(), process = sender.weak_from_this(),
          generation = sender.generation(), machine, settled = std::make_shared<bool>(false)](
             Seconds delay, const std::optional<WorkerHeartbeat>& heartbeat, bool executed) {
    env_.controllers.schedule_in(
        controller, process, delay,
        [settled, machine, generation, heartbeat, executed](ControllerProcess& me) {
          if (*settled) return;
          *settled = true;
          me.on_commands_answered(generation, machine, heartbeat, executed);
        });
  };
}

void CommandChannel::deliver(const Delivery& delivery, Seconds delay) {
  env_.loop.schedule(delay, [this, delivery] { arrive(delivery); });
}

void CommandChannel::arrive(const Delivery& delivery) {
  const SendCommands& worker_commands = delivery.worker_commands;
  const Seconds now = env_.now();
  SimulatedMachine* machine = env_.fleet.find(worker_commands.machine);
  if (!machine || !machine->up(now)) return;
  const Fault& hung = machine->faults.hung;
  if (hung.active(now)) return deliver(delivery, hung.end() - now);
  const bool executed = worker_commands.fencing_token >= machine->fencing_token &&
                        worker_commands.agent_epoch == machine->agent_epoch;
  const bool late = now - delivery.sent_at > kLateCommand;
  late_commands_ += late;
  if (executed) {
    machine->fencing_token = worker_commands.fencing_token;
    late_commands_done_ += late;
    workers_.execute(*machine, worker_commands.commands, delivery.sent_at);
  }
  const WorkerHeartbeat heartbeat = machine->heartbeat();
  if (!delivery.answer_lost && !machine->faults.deaf.active(now))
    delivery.answer(env_.random.between(kTravelLeast, kTravelMost), heartbeat, executed);
}

void CommandChannel::send(ControllerProcess& sender, const Probe& probe) {
  Random& random = env_.random;
  SimulatedMachine* machine = env_.fleet.find(probe.machine);
  const bool reached = reaches(sender.controller(), machine);
  if (!reached || random.chance(0.05)) arrive_late(probe);
  std::optional<WorkerHeartbeat> heartbeat;
  if (reached) {
    if (probe.agent_epoch == machine->agent_epoch)
      machine->advance_fencing_token(probe.fencing_token);
    heartbeat = machine->heartbeat();
  }
  const Seconds answered_in = reached ? random.between(kTravelLeast, kTravelMost)
                                      : env_.options.lease_s * kProbeDeadlineShare;
  env_.controllers.schedule_in(
      sender.controller(), sender.weak_from_this(), answered_in,
      [machine = probe.machine, heartbeat, generation = sender.generation()](
          ControllerProcess& me) { me.on_probe_answered(generation, machine, heartbeat); });
}

bool CommandChannel::reaches(size_t controller, const SimulatedMachine* machine) {
  const Seconds now = env_.now();
  if (!machine || !machine->up(now)) return false;
  const MachineFaults& faults = machine->faults;
  if (faults.hung.active(now) || faults.deaf.active(now) || faults.commands_held.active(now))
    return false;
  if (now < env_.network.machine_apart_until(controller, *machine)) return false;
  return !env_.random.chance(0.02);
}

void CommandChannel::arrive_late(const Probe& probe) {
  env_.loop.schedule(env_.random.between(kHeldUpLeast, kHeldUpMost), [this, probe] {
    SimulatedMachine* machine = env_.fleet.find(probe.machine);
    if (machine && machine->agent_epoch == probe.agent_epoch)
      machine->advance_fencing_token(probe.fencing_token);
  });
}

}  // namespace sumacquay::simulation
