// What workers are told, in answers to their heartbeats and in commands.
#include <algorithm>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

/// Keeps an answer to a worker well under the protocol's 64 KiB.
constexpr size_t kMostCommands = 300;

}  // namespace

bool Scheduler::startable(const Machine& machine, const TaskAttemptId& key,
                          const TaskAttempt& attempt) const {
  if (!attempt.desired_running || attempt.state != TaskAttemptState::Scheduled ||
      machine.record != HostRecordState::Durable)
    return false;
  const Job* job = find_job(key.task.job);
  return job && job->runnable() && job->next_leader_knows(machine.info.id);
}

/// Stops come first and are never cut: they take no more than their tasks did in the heartbeat.
std::vector<Command> Scheduler::commands_for(Machine& machine, bool forget) {
  std::vector<Command> out;
  for (auto& [key, attempt] : machine.attempts) {
    if (attempt.desired_running || !attempt.possibly_present() ||
        attempt.state == TaskAttemptState::Scheduled)
      continue;
    const Job* job = find_job(key.task.job);
    const bool save = attempt.graceful && job && job->spec().checkpoints();
    if (save && attempt.state == TaskAttemptState::Checkpointing) continue;
    out.push_back({Verb::Stop, key.task, key.attempt,
                   save ? job->spec().checkpoint_duration_s * 1.5 + 1 : 0});
  }
  for (auto& [key, attempt] : machine.attempts) {
    if (out.size() >= kMostCommands) break;
    if (startable(machine, key, attempt)) {
      attempt.start_sent = true;
      out.push_back({Verb::Start, key.task, key.attempt, 0});
    } else if (attempt.state == TaskAttemptState::Exited) {
      const Job* job = find_job(key.task.job);
      const bool durable = attempt.cause != ExitCause::Done || !job ||
                           job->spec().kind == JobKind::Service ||
                           job->stored.done.contains(key.task.task);
      if (forget && durable) out.push_back({Verb::Forget, key.task, key.attempt, 0});
    }
  }
  return out;
}

bool Scheduler::ended(const std::string& id) const {
  const Job* job = find_job(id);
  return !job || job->stored.state != JobState::Pending;
}

/// Whether there is something to tell the machine that no command has told it yet.
bool Scheduler::has_commands(const Machine& machine) const {
  return std::any_of(machine.attempts.begin(), machine.attempts.end(),
                     [this, &machine](const auto& r) {
                       const auto& [key, attempt] = r;
                       if (attempt.desired_running)
                         return !attempt.start_sent && startable(machine, key, attempt);
                       return attempt.possibly_present() &&
                              attempt.state != TaskAttemptState::Scheduled && !attempt.stop_sent;
                     });
}

void Scheduler::dispatch_starts_to(const std::string& id, Machine& machine, Seconds now,
                                   std::vector<Action>& out) {
  ++work_.dispatch_checks;
  if (machine.state != MachineState::Up || machine.commands_in_flight ||
      now < machine.next_commands_at)
    return;
  if (machine.info.addr.empty() || !machine.fencing_token_acknowledged || !has_commands(machine))
    return;
  SendCommands batch{id, machine.info.addr, fencing_token(machine),
                     std::max<uint64_t>(machine.latest.agent_epoch, 1),
                     commands_for(machine, false)};
  for (auto& [key, attempt] : machine.attempts)
    if (!attempt.desired_running && attempt.possibly_present()) attempt.stop_sent = true;
  machine.commands_in_flight = true;
  out.emplace_back(std::move(batch));
}

void Scheduler::dispatch_starts(Seconds now, std::vector<Action>& out) {
  while (const auto id = backlog_.worker_commands.pop()) {
    const auto machine = machines_.find(*id);
    if (machine != machines_.end()) dispatch_starts_to(*id, machine->second, now, out);
  }
}

}  // namespace sumacquay
