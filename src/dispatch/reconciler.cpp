#include "dispatch/reconciler.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "logging/log_event.h"
#include "wire/worker_message_size.h"

namespace sumacquay {
namespace {

TaskAttemptState attempt_state_of(TaskState state) {
  switch (state) {
    case TaskState::Fetching:
      return TaskAttemptState::Fetching;
    case TaskState::Waiting:
      return TaskAttemptState::Waiting;
    case TaskState::Running:
      return TaskAttemptState::Running;
    case TaskState::Checkpointing:
      return TaskAttemptState::Checkpointing;
    case TaskState::Exited:
      return TaskAttemptState::Exited;
  }
  return TaskAttemptState::Exited;
}

bool same_attempt(const TaskStatus& task, const TaskAttemptId& id) {
  return task.attempt == id.attempt && task.key == id.task;
}

bool precedes(const TaskStatus& task, const TaskAttemptId& id) {
  return std::tie(task.key, task.attempt) < std::tie(id.task, id.attempt);
}

std::vector<const TaskStatus*> sorted_tasks(const WorkerHeartbeat& heartbeat) {
  std::vector<const TaskStatus*> tasks;
  tasks.reserve(heartbeat.tasks.size());
  for (const auto& task : heartbeat.tasks) tasks.push_back(&task);
  std::sort(tasks.begin(), tasks.end(), [](const TaskStatus* first, const TaskStatus* second) {
    return std::tie(first->key, first->attempt) < std::tie(second->key, second->attempt);
  });
  return tasks;
}

/// Returns the machine's attempts that the heartbeat does not list, except those that are still to
/// be started. Merges two sorted sequences, since the heartbeat of a full machine lists hundreds of
/// tasks.
std::vector<TaskAttemptId> absent_attempts(const Machine& machine,
                                           const WorkerHeartbeat& heartbeat) {
  const auto listed = sorted_tasks(heartbeat);
  std::vector<TaskAttemptId> absent;
  auto next = listed.begin();
  for (const auto& [id, attempt] : machine.attempts) {
    while (next != listed.end() && precedes(**next, id)) ++next;
    const bool present = next != listed.end() && same_attempt(**next, id);
    const bool to_be_started =
        attempt.state == TaskAttemptState::Scheduled && attempt.desired_running;
    if (!present && !to_be_started) absent.push_back(id);
  }
  return absent;
}

}  // namespace

Machine& Reconciler::find_or_add_machine(const WorkerHeartbeat& heartbeat, Seconds now) {
  auto [entry, added] = state_.machines().try_emplace(heartbeat.machine);
  Machine& machine = entry->second;
  if (added) {
    machine.first_seen = now;
    machine.host.id = heartbeat.machine;
    machine.reconciled = true;  // without a host record no task was ever started there
  }
  machine.host.addr = heartbeat.addr;
  machine.host.type = heartbeat.type;
  machine.host.zone = heartbeat.zone;
  machine.host.spot = heartbeat.spot;
  return machine;
}

HeartbeatResponse Reconciler::on_heartbeat(const WorkerHeartbeat& heartbeat, bool may_act,
                                           Seconds now) {
  failure_detector_.record_event(now);
  // The heartbeat was delayed in the network until after the machine was released.
  if (state_.released_machines().contains(heartbeat.machine)) return {};
  Machine& machine = find_or_add_machine(heartbeat, now);
  HeartbeatResponse answer;
  if (heartbeat.sequence() <= machine.latest_heartbeat_sequence ||
      heartbeat.agent_epoch < machine.latest_sequence.agent_epoch)
    return answer;
  machine.latest_heartbeat_sequence = heartbeat.sequence();
  machine.last_lease_renewal_at = now;
  failure_detector_.record_heartbeat(machine, now);
  const bool newest = heartbeat.sequence() > machine.latest_sequence;
  const bool no_commands_in_flight = !machine.commands_in_flight;
  if (newest) reconcile(machine, heartbeat, no_commands_in_flight, now);
  const bool may_command =
      newest && may_act && machine.fencing_token_acknowledged && no_commands_in_flight;
  auto commands = may_command ? commands_.commands_in_heartbeat_response(machine)
                              : stops_for_ended_jobs(heartbeat);
  // A probe delivers the fencing token and its acknowledgement before the next heartbeat does.
  if (!machine.fencing_token_acknowledged) machine.next_token_probe_at = now;
  if (!commands) {
    log_warning("heartbeat_not_answered", log_field("machine", machine.host.id),
                log_field("reason", "stops_too_large"));
    return answer;
  }
  answer.accepted = true;
  answer.commands = std::move(*commands);
  answer.fencing_token = state_.fencing_token(machine);
  return answer;
}

/// The response to a heartbeat renews the worker's lease. Without these stops, a cancelled task
/// whose stop command was lost would keep running for as long as the lease is renewed. None if one
/// message cannot carry them all.
std::optional<std::vector<Command>> Reconciler::stops_for_ended_jobs(
    const WorkerHeartbeat& heartbeat) const {
  auto stops = stop_commands_for_ended_jobs(
      heartbeat, [this](const std::string& id) { return state_.job_ended(id); });
  if (!wire::fit_in_message(stops)) return std::nullopt;
  return stops;
}

void Reconciler::on_commands_answered(const std::string& machine_id,
                                      const std::optional<WorkerHeartbeat>& heartbeat,
                                      bool executed, Seconds now) {
  failure_detector_.record_event(now);
  Machine* machine = state_.find_machine(machine_id);
  if (!machine) return;
  machine->commands_in_flight = false;
  if (!executed) {
    // The commands may still be executed minutes later unless a higher fencing token rejects them.
    // Until the worker acknowledges the new token, no task is started there and no attempt counts
    // as gone.
    state_.fence_unanswered_commands(*machine);
    machine->next_commands_at = now + state_.settings().heartbeat_period_s;
    for (auto& [id, attempt] : machine->attempts) attempt.stop_sent = attempt.discard_sent = false;
  }
  commands_.enqueue(*machine);
  if (!heartbeat || heartbeat->machine != machine_id) return;
  if (heartbeat->sequence() > machine->latest_sequence) reconcile(*machine, *heartbeat, false, now);
}

void Reconciler::on_probe_answered(const std::string& machine_id,
                                   const std::optional<WorkerHeartbeat>& heartbeat, Seconds now) {
  failure_detector_.record_event(now);
  Machine* machine = state_.find_machine(machine_id);
  if (!machine) return;
  machine->probe_in_flight = false;
  if (!heartbeat || heartbeat->machine != machine_id) {
    machine->probe_unanswered = failure_detector_.heartbeat_overdue(*machine, now);
    return;
  }
  if (heartbeat->sequence() > machine->latest_sequence) reconcile(*machine, *heartbeat, false, now);
}

void Reconciler::on_probe_not_sent(const std::string& machine_id) {
  if (Machine* machine = state_.find_machine(machine_id)) machine->probe_in_flight = false;
}

/// Removes all attempts of the previous agent epoch, since its tasks ended when its lease expired.
void Reconciler::begin_agent_epoch(Machine& machine, Seconds now) {
  attempts_.remove_all(machine);
  machine.failed_jobs.clear();
  machine.fencing_token_acknowledged = false;
  // The lease of the new epoch starts now. If the epoch is first seen in a response to commands or
  // a probe, the last renewal dates from the previous epoch, and the lease would count as expired
  // while new tasks run.
  machine.last_lease_renewal_at = std::max(machine.last_lease_renewal_at, now);
}

/// Removes attempts that the heartbeat of a worker with the required fencing token does not list,
/// except those whose start command may still be in flight.
void Reconciler::remove_unlisted(Machine& machine, const WorkerHeartbeat& heartbeat, Seconds now) {
  for (const auto& id : absent_attempts(machine, heartbeat)) {
    const auto attempt = machine.attempts.find(id);
    if (attempt == machine.attempts.end()) continue;
    const bool present = attempt->second.may_be_present();
    state_.remove_attempt(machine, id);
    if (present) attempts_.restart_gang_of(id, now);
  }
}

/// Marks the worker as following this leader: it rejects responses of earlier leaders from now on.
void Reconciler::accept_worker(Machine& machine, Seconds now) {
  // An earlier leader cannot have renewed the lease later than now.
  if (machine.previous_leader_may_renew)
    machine.last_lease_renewal_at = std::max(machine.last_lease_renewal_at, now);
  machine.previous_leader_may_renew = false;
  state_.mark_reconciled(machine);
}

/// Applies a heartbeat that is newer than all previous ones. `absence_is_conclusive`: attempts that
/// it does not list may be removed, which holds only for periodic heartbeats and not for responses
/// to commands or probes.
///
/// Exits count only once the worker has shown a token of this term. Before, the heartbeat may be a
/// late one of a machine that is gone, and a later attempt of the task may be on a machine that has
/// not been heard yet. Workers report exits until they may discard them.
void Reconciler::reconcile(Machine& machine, const WorkerHeartbeat& heartbeat,
                           bool absence_is_conclusive, Seconds now) {
  if (heartbeat.agent_epoch > machine.latest_sequence.agent_epoch) begin_agent_epoch(machine, now);
  machine.latest_sequence = heartbeat.sequence();
  machine.last_seen_at = now;
  machine.probe_unanswered = false;
  failure_detector_.mark_up(machine, now);
  machine.reclaim_at = heartbeat.preemption_notice_s
                           ? std::optional<Seconds>(now + *heartbeat.preemption_notice_s)
                           : std::nullopt;
  const bool required_token = heartbeat.fencing_token >= state_.required_fencing_token(machine);
  if (required_token && !machine.commands_in_flight && !machine.fencing_token_acknowledged) {
    machine.fencing_token_acknowledged = true;
    commands_.enqueue(machine);
  }
  const bool follows_this_leader = heartbeat.fencing_token >= state_.first_fencing_token();
  for (const auto& task : heartbeat.tasks)
    if (follows_this_leader || task.state != TaskState::Exited) reconcile_task(machine, task, now);
  if (!required_token) return;
  if (absence_is_conclusive) remove_unlisted(machine, heartbeat, now);
  accept_worker(machine, now);
  heartbeat_sizes_.on_heartbeat(machine, heartbeat, now);
}

void Reconciler::reconcile_task(Machine& machine, const TaskStatus& task, Seconds now) {
  const TaskAttemptId id{task.key, task.attempt};
  auto [entry, added] = machine.attempts.try_emplace(id);
  TaskAttempt& attempt = entry->second;
  if (added) {
    attempt.placed_at = now;
    attempt.heartbeat_bytes = static_cast<double>(wire::attempt_size_bound(id));
    attempt.start_sent = true;
    attempt.desired_running = false;
    if (Job* job = state_.find_job(task.key.job))
      attempts_.adopt(machine, id, attempt, *job, task.state == TaskState::Fetching, now);
  }
  if (task.state == TaskState::Exited) attempt.cause = task.cause;
  attempts_.set_state(machine, id, attempt, attempt_state_of(task.state), now);
}

}  // namespace sumacquay
