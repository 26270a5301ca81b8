#include "simulation/command_channel.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "simulation/body_limit.h"
#include "simulation/controller_process.h"

namespace sumacquay::simulation {

namespace {
/// Upper bound on the command timeout, and the timeout as a fraction of the worker lease.
constexpr Seconds kMaxCommandTimeout = 1.5;
constexpr double kCommandTimeoutFraction = 0.2;
/// Probe timeout as a fraction of the worker lease.
constexpr double kProbeTimeoutFraction = 0.05;
/// Commands with a longer delay count as late.
constexpr Seconds kLateCommandThreshold = 2;
constexpr Seconds kMinDelay = 0.001, kMaxDelay = 0.01;
/// Delay of messages that are held up at random, without another fault.
constexpr Seconds kMinHeldUpDelay = 0.5, kMaxHeldUpDelay = 40;
/// Delay of copies: half of them arrive soon, the others up to several leases later.
constexpr Seconds kMinCopyDelay = 0.02, kMaxSoonCopyDelay = 5;
constexpr double kMaxCopyDelayLeases = 3;

bool accepted_by(const SimulatedMachine& machine, const SendCommands& worker_commands) {
  return worker_commands.fencing_token >= machine.fencing_token &&
         worker_commands.agent_epoch == machine.agent_epoch;
}
}  // namespace

void CommandChannel::send(ControllerProcess& sender, const SendCommands& worker_commands) {
  const MessageFate fate = draw_fate(sender.controller(), env_.fleet.find(worker_commands.machine));
  const Answer answer = answer_once(sender, worker_commands.machine);
  answer(std::min(kMaxCommandTimeout, env_.options.lease_s * kCommandTimeoutFraction), std::nullopt,
         false);
  if (!fate.lost) deliver({worker_commands, env_.now(), fate.answer_lost, answer}, fate.delay);
}

CommandChannel::MessageFate CommandChannel::draw_fate(size_t controller,
                                                      const SimulatedMachine* machine) {
  Random& random = env_.random;
  const Seconds now = env_.now();
  MessageFate fate;
  fate.delay = random.chance(0.01) ? random.between(kMinHeldUpDelay, kMaxHeldUpDelay)
                                   : random.between(kMinDelay, kMaxDelay);
  fate.answer_lost = !machine || random.chance(0.01);
  if (!machine) return fate;
  fate.lost = machine->faults.inbound_loss.active(now);
  const Seconds partition_end = env_.network.machine_partition_end(controller, *machine);
  if (now < partition_end) fate.delay += partition_end - now;
  const Fault& command_delay = machine->faults.command_delay;
  if (!command_delay.active(now)) return fate;
  if (random.chance(0.5))
    fate.delay += command_delay.end() - now;
  else
    fate.answer_lost = true;
  return fate;
}

/// Only the first call has an effect, whether it is the machine's answer or the timeout.
CommandChannel::Answer CommandChannel::answer_once(ControllerProcess& sender,
                                                   const std::string& machine) {
  return [this, controller = sender.controller(), process = sender.weak_from_this(),
          generation = sender.generation(), machine, answered = std::make_shared<bool>(false)](
             Seconds delay, const std::optional<WorkerHeartbeat>& heartbeat, bool executed) {
    env_.controllers.schedule_in(
        controller, process, delay,
        [answered, machine, generation, heartbeat, executed](ControllerProcess& self) {
          if (*answered) return;
          *answered = true;
          self.on_commands_answered(generation, machine, heartbeat, executed);
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
  if (request_exceeds_body_limit(worker_commands.fencing_token, worker_commands.agent_epoch,
                                 worker_commands.commands)) {
    ++requests_refused_;
    return delivery.answer(env_.random.between(kMinDelay, kMaxDelay), std::nullopt, false);
  }
  const bool executed = accepted_by(*machine, worker_commands);
  const bool late = now - delivery.sent_at > kLateCommandThreshold;
  late_commands_ += late;
  if (executed) {
    workers_.advance_fencing_token(*machine, worker_commands.fencing_token);
    late_commands_executed_ += late;
    workers_.execute(*machine, worker_commands.commands, delivery.sent_at);
    maybe_copy(worker_commands);
  }
  const WorkerHeartbeat heartbeat = machine->heartbeat();
  if (!delivery.answer_lost && !machine->faults.inbound_loss.active(now))
    delivery.answer(env_.random.between(kMinDelay, kMaxDelay), heartbeat, executed);
}

void CommandChannel::maybe_copy(const SendCommands& worker_commands) {
  Random& random = env_.copy_random;
  if (!random.chance(env_.options.command_copy_fraction)) return;
  const bool soon = random.chance(0.5);
  const Seconds max_delay = soon ? kMaxSoonCopyDelay : env_.options.lease_s * kMaxCopyDelayLeases;
  deliver_copy(worker_commands, random.between(kMinCopyDelay, max_delay));
}

void CommandChannel::deliver_copy(const SendCommands& worker_commands, Seconds delay) {
  env_.loop.schedule(delay, [this, worker_commands] { arrive_copy(worker_commands); });
}

/// Nobody waits for the answer to a copy.
void CommandChannel::arrive_copy(const SendCommands& worker_commands) {
  SimulatedMachine* machine = env_.fleet.find(worker_commands.machine);
  if (!machine) return;
  const Fault& hung = machine->faults.hung;
  if (hung.active(env_.now())) return deliver_copy(worker_commands, hung.end() - env_.now());
  ++copies_;
  if (!accepted_by(*machine, worker_commands)) return;
  ++copies_accepted_;
  for (const auto& command : worker_commands.commands)
    if (command.type == CommandType::Start && machine->accepts_start(command))
      env_.checker.on_started_again(*machine, command.key, command.attempt);
  workers_.execute(*machine, worker_commands.commands, env_.now());
}

void CommandChannel::send(ControllerProcess& sender, const Probe& probe) {
  Random& random = env_.random;
  SimulatedMachine* machine = env_.fleet.find(probe.machine);
  const bool reachable = can_reach(sender.controller(), machine);
  if (!reachable || random.chance(0.05)) deliver_late(probe);
  std::optional<WorkerHeartbeat> heartbeat;
  if (reachable) {
    if (probe.agent_epoch == machine->agent_epoch)
      workers_.advance_fencing_token(*machine, probe.fencing_token);
    heartbeat = machine->heartbeat();
  }
  const Seconds answer_delay = reachable ? random.between(kMinDelay, kMaxDelay)
                                         : env_.options.lease_s * kProbeTimeoutFraction;
  env_.controllers.schedule_in(
      sender.controller(), sender.weak_from_this(), answer_delay,
      [machine = probe.machine, heartbeat, generation = sender.generation()](
          ControllerProcess& self) { self.on_probe_answered(generation, machine, heartbeat); });
}

bool CommandChannel::can_reach(size_t controller, const SimulatedMachine* machine) {
  const Seconds now = env_.now();
  if (!machine || !machine->up(now)) return false;
  const MachineFaults& faults = machine->faults;
  if (faults.hung.active(now) || faults.inbound_loss.active(now) ||
      faults.command_delay.active(now))
    return false;
  if (now < env_.network.machine_partition_end(controller, *machine)) return false;
  return !env_.random.chance(0.02);
}

void CommandChannel::deliver_late(const Probe& probe) {
  env_.loop.schedule(env_.random.between(kMinHeldUpDelay, kMaxHeldUpDelay), [this, probe] {
    SimulatedMachine* machine = env_.fleet.find(probe.machine);
    if (machine && machine->agent_epoch == probe.agent_epoch)
      workers_.advance_fencing_token(*machine, probe.fencing_token);
  });
}

}  // namespace sumacquay::simulation
