#include "simulation/workers.h"

#include <algorithm>

#include "simulation/body_limit.h"

namespace sumacquay::simulation {

namespace {
/// How long a worker waits for the reply to a heartbeat.
constexpr Seconds kHeartbeatTimeout = 4;
constexpr Seconds kHeartbeatIntervalMin = 0.75, kHeartbeatIntervalMax = 1.25;
/// Delay before a worker sends a heartbeat to the next controller after one did not reply.
constexpr Seconds kNextControllerDelay = 1;
/// Maximum delay of the next heartbeat after a reply with a new fencing token or a redirect.
constexpr Seconds kMaxPromptHeartbeatDelay = 0.5;
constexpr double kDuplicationProbability = 0.01;
constexpr double kReplyLossProbability = 0.01;
}  // namespace

void Workers::step() {
  for (auto& [id, machine] : env_.fleet.machines()) step(machine);
  gangs_.step();
}

void Workers::step(SimulatedMachine& machine) {
  const Seconds now = env_.now();
  if (!machine.up(now)) return;
  // Lease expiry also applies to hung machines: their tasks end with the lease.
  const uint64_t agent_epoch = machine.agent_epoch;
  machine.restart_agent_epoch_if_expired(env_.options.lease_s, now);
  if (machine.agent_epoch != agent_epoch) leases_lost_.push_back(machine.id);
  if (machine.faults.hung.active(now)) return;
  if (env_.options.models_images()) fetch_images(machine);
  for (auto& [id, task] : machine.tasks) run_task(machine, id.task, task);
  if (machine.heartbeat_sent && now - *machine.heartbeat_sent > kHeartbeatTimeout)
    switch_to_next_controller(machine);
  if (!machine.heartbeat_sent && now >= machine.next_heartbeat) send_heartbeat(machine);
}

// ---------------------------------------------------------------- tasks

void Workers::fetch_images(SimulatedMachine& machine) {
  std::map<std::string, double> awaited;
  for (const auto& [id, task] : machine.tasks) {
    const JobSpec& spec = env_.jobs.at(id.task.job).spec;
    if (task.state == TaskState::Fetching) awaited[spec.image] = spec.image_gb;
  }
  machine.images.update(awaited, env_.now());
}

void Workers::run_task(SimulatedMachine& machine, const TaskKey& key, MachineTask& task) {
  const Seconds now = env_.now();
  if (!task.active()) return;
  if (task.state == TaskState::Fetching) {
    const bool fetched = env_.options.models_images()
                             ? machine.images.has(env_.jobs.at(key.job).spec.image)
                             : now >= task.next_transition_at;
    if (fetched) begin_task(machine, key, task);
    return;
  }
  if (now < task.next_transition_at) return;
  if (task.state != TaskState::Waiting) return finish_task(key, task);
  task.state = TaskState::Exited;
  task.cause = ExitCause::GangIncomplete;
  gangs_.on_incomplete_exit();
}

/// The task has its image.
void Workers::begin_task(SimulatedMachine& machine, const TaskKey& key, MachineTask& task) {
  const Seconds now = env_.now();
  ObservedJob& job = env_.jobs.at(key.job);
  const bool waits = env_.options.models_gangs() && job.spec.is_multi_task_gang();
  if (waits && job.complete()) {
    task.state = TaskState::Exited;
    task.cause = ExitCause::Done;
    return;
  }
  if (waits) {
    task.state = TaskState::Waiting;
    task.next_transition_at = now + env_.options.gang_wait_s;
  } else {
    task.state = TaskState::Running;
    if (!job.started_at) job.started_at = now;
    task.next_transition_at =
        now + env_.random.between(env_.options.min_task_s, env_.options.max_task_s);
  }
  if (!machine.fails_all_tasks) return;
  task.state = TaskState::Exited;
  task.cause = ExitCause::Error;
}

void Workers::finish_task(const TaskKey& key, MachineTask& task) {
  ObservedJob& job = env_.jobs.at(key.job);
  if (job.spec.kind == JobKind::Service) return;
  task.state = TaskState::Exited;
  task.cause = ExitCause::Done;
  job.done_tasks.insert(key.task);
  if (job.spec.kind != JobKind::Gang) return;
  for (uint32_t member = 0; member < job.spec.tasks; ++member) job.done_tasks.insert(member);
}

void Workers::execute(SimulatedMachine& machine, const std::vector<Command>& commands,
                      Seconds command_sent_at) {
  for (const auto& command : commands) {
    if (command.type == CommandType::Start) {
      start_task(machine, command, command_sent_at);
      continue;
    }
    MachineTask* task = machine.find(command);
    if (!task) continue;
    if (command.type != CommandType::Stop) {
      if (!task->active()) machine.tasks.erase({command.key, command.attempt});
    } else if (task->active()) {
      task->state = TaskState::Exited;
      task->cause = ExitCause::Stopped;
    }
  }
}

void Workers::start_task(SimulatedMachine& machine, const Command& command,
                         Seconds command_sent_at) {
  if (!machine.accepts_start(command)) return;
  const Seconds fetch = env_.random.between(env_.options.min_fetch_s, env_.options.max_fetch_s);
  machine.tasks[{command.key, command.attempt}] = {TaskState::Fetching, ExitCause::None,
                                                   env_.now() + fetch};
  env_.checker.on_task_started(machine, command.key, command_sent_at);
}

// ---------------------------------------------------------------- heartbeats

void Workers::send_heartbeat(SimulatedMachine& machine) {
  Random& random = env_.random;
  const Seconds now = env_.now();
  machine.heartbeat_sent = now;
  machine.next_heartbeat = now + random.between(kHeartbeatIntervalMin, kHeartbeatIntervalMax);
  const WorkerHeartbeat heartbeat = machine.heartbeat();
  maybe_duplicate(heartbeat);
  if (machine.faults.heartbeat_loss.active(now)) return;  // the worker cannot connect
  const Seconds partition_end = env_.network.machine_partition_end(machine.controller, machine);
  Seconds delay = random.between(0.001, 0.05);
  if (now < partition_end) {
    if (random.chance(0.7)) return;
    delay += partition_end - now;  // delivered after the partition
  }
  if (heartbeat_delay_.active(now) && random.chance(0.5)) delay += random.between(0.2, 3.5);
  if (!env_.controllers[machine.controller].process) return switch_to_next_controller(machine);
  env_.controllers.schedule_at(machine.controller, delay,
                               [this, heartbeat, sent_at = now](ControllerProcess& process) {
                                 answer(process, heartbeat, sent_at);
                               });
}

void Workers::answer(ControllerProcess& process, const WorkerHeartbeat& heartbeat,
                     Seconds sent_at) {
  const HeartbeatReply reply = process.answer_worker_heartbeat(heartbeat);
  const SimulatedMachine* machine = env_.fleet.find(heartbeat.machine);
  if (!machine || env_.random.chance(kReplyLossProbability)) return;
  const size_t controller = process.controller();
  if (env_.now() < env_.network.machine_partition_end(controller, *machine)) return;
  const Seconds max_delay = env_.random.chance(0.03) ? 3.9 : 0.05;
  env_.loop.schedule(env_.random.between(0.001, max_delay),
                     [this, delivery = ReplyDelivery{controller, heartbeat, reply, sent_at,
                                                     env_.now()}] { receive_reply(delivery); });
}

void Workers::receive_reply(const ReplyDelivery& delivery) {
  const Seconds now = env_.now();
  SimulatedMachine* machine = env_.fleet.find(delivery.heartbeat.machine);
  if (!machine || machine->faults.inbound_loss.active(now)) return;
  if (machine->heartbeat_sent != delivery.sent_at) return;
  const Fault& hung = machine->faults.hung;
  if (hung.active(now)) {
    if (hung.end() - delivery.sent_at < kHeartbeatTimeout)
      env_.loop.schedule(hung.end() - now + 0.001, [this, delivery] { receive_reply(delivery); });
    return;
  }
  if (now - delivery.sent_at > kHeartbeatTimeout) return;
  const HeartbeatReply& reply = delivery.reply;
  if (reply.status == HeartbeatReplyStatus::TooLarge) ++heartbeats_refused_;
  if (answer_exceeds_body_limit(reply.fencing_token, reply.commands)) {
    ++answers_refused_;
    return switch_to_next_controller(*machine);
  }
  if (reply.status != HeartbeatReplyStatus::Answered) return follow_redirect(*machine, delivery);
  machine->heartbeat_sent.reset();
  if (machine->agent_epoch != delivery.heartbeat.agent_epoch ||
      reply.fencing_token < machine->fencing_token)
    return;
  machine->last_answered_heartbeat_at = delivery.sent_at;
  advance_fencing_token(*machine, reply.fencing_token);
  execute(*machine, reply.commands, delivery.replied_at);
}

void Workers::advance_fencing_token(SimulatedMachine& machine, uint64_t seen) {
  const Seconds now = env_.now();
  if (machine.advance_fencing_token(seen, env_.options.lease_s, now))
    machine.next_heartbeat = std::min(machine.next_heartbeat, now + kMaxPromptHeartbeatDelay);
}

/// Directs the worker to the controller named in the reply, or to the next one.
void Workers::follow_redirect(SimulatedMachine& machine, const ReplyDelivery& delivery) {
  const auto& redirect = delivery.reply.leader;
  if (!redirect || *redirect == delivery.controller) return switch_to_next_controller(machine);
  machine.heartbeat_sent.reset();
  machine.controller = *redirect;
  machine.next_heartbeat = env_.now() + env_.random.between(0, kMaxPromptHeartbeatDelay);
}

void Workers::switch_to_next_controller(SimulatedMachine& machine) {
  machine.heartbeat_sent.reset();
  machine.controller = (machine.controller + 1) % env_.controllers.size();
  machine.next_heartbeat = env_.now() + kNextControllerDelay;
}

// ---------------------------------------------------------------- late duplicates of heartbeats

void Workers::duplicate_heartbeats(double fraction, Seconds span, DuplicateDelivery delivery) {
  duplication_fraction_ = fraction;
  duplication_.activate_until(env_.now() + span);
  duplicate_delivery_ = delivery;
}

void Workers::maybe_duplicate(const WorkerHeartbeat& heartbeat) {
  Random& random = env_.random;
  const bool duplicating = duplication_.active(env_.now());
  if (!random.chance(kDuplicationProbability) &&
      !(duplicating && random.chance(duplication_fraction_)))
    return;
  const HeartbeatDuplicate duplicate{heartbeat, env_.checker.highest_term()};
  if (duplicating && duplicate_delivery_ == DuplicateDelivery::OnLeaderChange)
    return kept_duplicates_.push_back(duplicate);
  env_.loop.schedule(random.between(2, 2.5 * env_.options.lease_s),
                     [this, duplicate] { send_duplicate(duplicate); });
}

void Workers::send_kept_duplicates() {
  for (const auto& duplicate : kept_duplicates_) send_duplicate(duplicate);
  kept_duplicates_.clear();
}

void Workers::send_duplicate(const HeartbeatDuplicate& duplicate) {
  for (size_t controller = 0; controller < env_.controllers.size(); ++controller)
    env_.controllers.schedule_at(
        controller, env_.random.between(0.001, 0.1),
        [this, duplicate](ControllerProcess& process) { receive_duplicate(process, duplicate); });
}

void Workers::receive_duplicate(ControllerProcess& process, const HeartbeatDuplicate& duplicate) {
  ++duplicates_received_;
  if (process.may_answer() && process.term() > duplicate.term_at_sending)
    ++duplicates_received_by_new_leader_;
  process.answer_duplicate(duplicate.heartbeat);
}

void Workers::end_faults() {
  duplication_.clear();
  heartbeat_delay_.clear();
}

}  // namespace sumacquay::simulation
