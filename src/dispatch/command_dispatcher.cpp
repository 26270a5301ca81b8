#include "dispatch/command_dispatcher.h"

#include <algorithm>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// Keeps an answer to a worker well below the protocol's limit of 64 KiB.
constexpr size_t kMaxCommandsPerMessage = 300;
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

void CommandDispatcher::add_stops(Machine& machine, std::vector<Command>& commands) const {
  for (auto& [id, attempt] : machine.attempts) {
    if (attempt.desired_running || !attempt.may_be_present() ||
        attempt.state == TaskAttemptState::Scheduled)
      continue;
    const Job* job = state_.find_job(id.task.job);
    const bool checkpoint = attempt.graceful && job && job->spec().checkpoints();
    if (checkpoint && attempt.state == TaskAttemptState::Checkpointing) continue;
    const Seconds grace = checkpoint ? job->spec().checkpoint_duration_s * kCheckpointGraceFactor +
                                           kCheckpointGraceExtra
                                     : 0;
    commands.push_back({CommandType::Stop, id.task, id.attempt, grace});
  }
}

/// Appends starts until the message is full. Returns the number of starts appended.
size_t CommandDispatcher::add_starts(Machine& machine, std::vector<Command>& commands) const {
  size_t starts = 0;
  for (auto& [id, attempt] : machine.attempts) {
    if (commands.size() >= kMaxCommandsPerMessage) break;
    if (!startable(machine, id, attempt)) continue;
    attempt.start_sent = true;
    commands.push_back({CommandType::Start, id.task, id.attempt, 0});
    ++starts;
  }
  return starts;
}

/// Appends permissions to discard attempts until the message is full. Returns the number appended.
size_t CommandDispatcher::add_discards(const Machine& machine,
                                       std::vector<Command>& commands) const {
  size_t discards = 0;
  for (const auto& [id, attempt] : machine.attempts) {
    if (commands.size() >= kMaxCommandsPerMessage) break;
    if (attempt.state != TaskAttemptState::Exited || !state_.may_discard(id, attempt)) continue;
    commands.push_back({CommandType::Discard, id.task, id.attempt, 0});
    ++discards;
  }
  return discards;
}

std::vector<Command> CommandDispatcher::commands_in_heartbeat_response(Machine& machine) {
  std::vector<Command> commands;
  add_stops(machine, commands);
  add_starts(machine, commands);
  const size_t discards = add_discards(machine, commands);
  if (discards == 0) return commands;
  state_.fence_copies_of_starts(machine);
  log_debug("attempts_discarded", log_field("machine", machine.host.id),
            log_field("fencing_token", state_.fencing_token(machine)),
            log_field("count", discards));
  return commands;
}

/// Stops and starts alone: only answers to heartbeats let a worker discard attempts.
std::vector<Command> CommandDispatcher::commands_in_request(Machine& machine) {
  std::vector<Command> commands;
  add_stops(machine, commands);
  const size_t starts = add_starts(machine, commands);
  if (starts > 0) machine.token_used_for_starts = true;
  return commands;
}

/// Whether a start or stop is due that has not been sent yet.
bool CommandDispatcher::has_unsent_commands(const Machine& machine) const {
  return std::any_of(machine.attempts.begin(), machine.attempts.end(),
                     [this, &machine](const auto& entry) {
                       const auto& [id, attempt] = entry;
                       if (attempt.desired_running)
                         return !attempt.start_sent && startable(machine, id, attempt);
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
  SendCommands batch{id, machine.host.addr, state_.fencing_token(machine),
                     std::max<uint64_t>(machine.latest_sequence.agent_epoch, 1),
                     commands_in_request(machine)};
  for (auto& [attempt_id, attempt] : machine.attempts)
    if (!attempt.desired_running && attempt.may_be_present()) attempt.stop_sent = true;
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
