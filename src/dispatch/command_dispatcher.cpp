#include "dispatch/command_dispatcher.h"

#include <algorithm>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// The grace period for saving a checkpoint before a task is killed: this multiple of the job's
/// checkpoint duration, plus the extra time.
constexpr double kCheckpointGraceFactor = 1.5;
constexpr Seconds kCheckpointGraceExtra = 1;

}  // namespace

void CommandDispatcher::enqueue(const Machine& machine) {
  queued_machines_.put(machine.host.id);
}

void CommandDispatcher::enqueue_machines_of(const Job& job) {
  for_each_possible_placement(job, [this](uint32_t, const TaskPlacement& placement) {
    queued_machines_.put(placement.machine);
  });
}

void CommandDispatcher::enqueue_all_due() {
  for (const auto& [id, machine] : state_.machines())
    if (has_unsent_commands(machine)) enqueue(machine);
}

/// A start command waits until the machine's record is durable and the job's durable record names
/// the machine, so that a later leader finds the task.
bool CommandDispatcher::startable(const Machine& machine, const TaskAttemptId& id,
                                  const TaskAttempt& attempt) const {
  if (!attempt.desired_running || attempt.start_held ||
      attempt.state != TaskAttemptState::Scheduled ||
      machine.host_record_state != HostRecordState::Durable)
    return false;
  const Job* job = state_.find_job(id.task.job);
  return job && job->runnable() && job->host_recorded(machine.host.id);
}

std::vector<Command> CommandDispatcher::due_stops(const Machine& machine) const {
  std::vector<Command> stops;
  for (const auto& [id, attempt] : machine.attempts) {
    if (attempt.desired_running || !attempt.may_be_present() ||
        attempt.state == TaskAttemptState::Scheduled)
      continue;
    const Job* job = state_.find_job(id.task.job);
    const bool checkpoint = attempt.graceful && job && job->spec().checkpoints();
    if (checkpoint && attempt.state == TaskAttemptState::Checkpointing) continue;
    const Seconds grace = checkpoint ? job->spec().checkpoint_duration_s * kCheckpointGraceFactor +
                                           kCheckpointGraceExtra
                                     : 0;
    stops.push_back({CommandType::Stop, id.task, id.attempt, grace});
  }
  return stops;
}

/// Adds the due stops. If the message has no space for all of them, those of jobs that have ended
/// go first, since a worker's lease may be renewed only together with these.
CommandDispatcher::StopsAdded CommandDispatcher::add_stops(const Machine& machine,
                                                           CommandMessage& message) const {
  const auto job_ended = [this](const Command& stop) { return state_.job_ended(stop.key.job); };
  std::vector<Command> stops = due_stops(machine);
  if (!wire::fit_in_message(stops)) std::stable_partition(stops.begin(), stops.end(), job_ended);
  for (const Command& stop : stops)
    if (!message.add(stop)) return job_ended(stop) ? StopsAdded::Some : StopsAdded::AllOfEndedJobs;
  return StopsAdded::All;
}

void CommandDispatcher::mark_stops_sent(Machine& machine, const CommandMessage& message,
                                        StopsAdded added) {
  if (added == StopsAdded::All) {
    for (auto& [id, attempt] : machine.attempts)
      if (!attempt.desired_running && attempt.may_be_present()) attempt.stop_sent = true;
    return;
  }
  for (const Command& command : message.commands())
    if (command.type == CommandType::Stop)
      machine.attempts.at({command.key, command.attempt}).stop_sent = true;
}

/// Appends starts until the message is full. Returns the number of starts appended.
size_t CommandDispatcher::add_starts(Machine& machine, CommandMessage& message) const {
  size_t starts = 0;
  for (auto& [id, attempt] : machine.attempts) {
    if (!startable(machine, id, attempt)) continue;
    if (!message.add({CommandType::Start, id.task, id.attempt, 0})) break;
    attempt.start_sent = true;
    ++starts;
  }
  return starts;
}

/// The attempts that the worker may discard. Beyond `kMaxRetainedHeartbeatBytes`, these include
/// completed ones whose completion is not recorded: a later leader starts such a task again, and it
/// exits as done at once, since workers keep the results.
std::vector<TaskAttemptId> CommandDispatcher::discardable_attempts(const Machine& machine) const {
  std::vector<TaskAttemptId> discardable;
  double retained_bytes = 0;
  for (const auto& [id, attempt] : machine.attempts) {
    if (attempt.state != TaskAttemptState::Exited) continue;
    if (!state_.may_discard(id, attempt)) {
      retained_bytes += attempt.heartbeat_bytes;
      if (retained_bytes <= kMaxRetainedHeartbeatBytes) continue;
    }
    discardable.push_back(id);
  }
  return discardable;
}

/// Appends permissions to discard attempts until the message is full. Returns the number appended.
size_t CommandDispatcher::add_discards(Machine& machine, CommandMessage& message) const {
  size_t discards = 0;
  for (const TaskAttemptId& id : discardable_attempts(machine)) {
    if (!message.add({CommandType::Discard, id.task, id.attempt, 0})) break;
    ++discards;
  }
  return discards;
}

/// Like add_discards, without those that a request has carried already: the leader keeps the
/// attempts until a heartbeat of the worker lacks them.
size_t CommandDispatcher::add_unsent_discards(Machine& machine, CommandMessage& message) const {
  size_t discards = 0;
  for (const TaskAttemptId& id : discardable_attempts(machine)) {
    TaskAttempt& attempt = machine.attempts.at(id);
    if (attempt.discard_sent) continue;
    if (!message.add({CommandType::Discard, id.task, id.attempt, 0})) break;
    attempt.discard_sent = true;
    ++discards;
  }
  return discards;
}

/// A worker that has discarded an attempt would carry out a copy of the request that started it, so
/// the message must carry a higher fencing token than that request.
void CommandDispatcher::on_discards_added(Machine& machine, size_t discards) {
  if (discards == 0) return;
  state_.fence_copies_of_starts(machine);
  log_debug("attempts_discarded", log_field("machine", machine.host.id),
            log_field("fencing_token", state_.fencing_token(machine)),
            log_field("count", discards));
}

std::optional<std::vector<Command>> CommandDispatcher::commands_in_heartbeat_response(
    Machine& machine) {
  CommandMessage message;
  if (add_stops(machine, message) == StopsAdded::Some) return std::nullopt;
  add_starts(machine, message);
  on_discards_added(machine, add_discards(machine, message));
  return message.release();
}

/// Stops and starts, or, while controllers refuse the worker's heartbeats for their size, stops and
/// permissions to discard attempts. Never both starts and discards: the token of a request that
/// starts tasks must not be that of one that discards attempts.
std::vector<Command> CommandDispatcher::commands_in_request(Machine& machine) {
  CommandMessage message;
  const StopsAdded added = add_stops(machine, message);
  mark_stops_sent(machine, message, added);
  if (machine.heartbeat_too_large)
    on_discards_added(machine, add_unsent_discards(machine, message));
  else if (add_starts(machine, message) > 0)
    machine.token_used_for_starts = true;
  return message.release();
}

bool CommandDispatcher::has_unsent_discards(const Machine& machine) const {
  const auto discardable = discardable_attempts(machine);
  return std::any_of(discardable.begin(), discardable.end(), [&machine](const TaskAttemptId& id) {
    return !machine.attempts.at(id).discard_sent;
  });
}

/// Whether a request has to be sent: a start or stop is due that has not been sent yet, or the
/// worker's heartbeats are refused for attempts that it may discard.
bool CommandDispatcher::has_unsent_commands(const Machine& machine) const {
  if (machine.heartbeat_too_large && has_unsent_discards(machine)) return true;
  return std::any_of(machine.attempts.begin(), machine.attempts.end(),
                     [this, &machine](const auto& entry) {
                       const auto& [id, attempt] = entry;
                       if (attempt.desired_running)
                         return !machine.heartbeat_too_large && !attempt.start_sent &&
                                startable(machine, id, attempt);
                       return attempt.may_be_present() &&
                              attempt.state != TaskAttemptState::Scheduled && !attempt.stop_sent;
                     });
}

void CommandDispatcher::dispatch_to(const std::string& id, Machine& machine, Seconds now,
                                    std::vector<Action>& actions) {
  ++work_counters_.dispatch_checks;
  if (machine.state != MachineState::Up || machine.commands_in_flight ||
      now < machine.next_commands_at)
    return;
  if (machine.host.addr.empty() || !machine.fencing_token_acknowledged ||
      !has_unsent_commands(machine))
    return;
  SendCommands batch;
  batch.machine = id;
  batch.addr = machine.host.addr;
  batch.agent_epoch = std::max<uint64_t>(machine.latest_sequence.agent_epoch, 1);
  batch.commands = commands_in_request(machine);  // may raise the token
  batch.fencing_token = state_.fencing_token(machine);
  machine.commands_in_flight = true;
  log_debug("commands_sent", log_field("machine", id),
            log_field("fencing_token", batch.fencing_token),
            log_field("count", batch.commands.size()));
  actions.emplace_back(std::move(batch));
}

void CommandDispatcher::dispatch(Seconds now, std::vector<Action>& actions) {
  while (const auto id = queued_machines_.pop())
    if (Machine* machine = state_.find_machine(*id)) dispatch_to(*id, *machine, now, actions);
}

}  // namespace sumacquay
