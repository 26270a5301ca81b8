// What workers say, in reports of their own and in answers to commands and probes.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>
#include <vector>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

TaskAttemptState attempt_state_of(TaskState s) {
  switch (s) {
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

bool same_start(const TaskStatus& t, const TaskAttemptId& key) {
  return t.attempt == key.attempt && t.key == key.task;
}

bool goes_before(const TaskStatus& t, const TaskAttemptId& key) {
  return std::tie(t.key, t.attempt) < std::tie(key.task, key.attempt);
}

/// What the heartbeat lacks of the machine's attempts, but for those that are still to be started.
/// Both are walked in the same order, since a heartbeat of a full machine has hundreds of tasks.
std::vector<TaskAttemptId> absent_attempts(const Machine& machine, const WorkerHeartbeat& r) {
  std::vector<const TaskStatus*> on_machines_listed;
  on_machines_listed.reserve(r.tasks.size());
  for (const auto& t : r.tasks) on_machines_listed.push_back(&t);
  std::sort(on_machines_listed.begin(), on_machines_listed.end(),
            [](const TaskStatus* a, const TaskStatus* b) {
              return std::tie(a->key, a->attempt) < std::tie(b->key, b->attempt);
            });
  std::vector<TaskAttemptId> absent;
  auto next = on_machines_listed.begin();
  for (const auto& [key, attempt] : machine.attempts) {
    while (next != on_machines_listed.end() && goes_before(**next, key)) ++next;
    const bool user_visible = next != on_machines_listed.end() && same_start(**next, key);
    const bool to_be_started =
        attempt.state == TaskAttemptState::Scheduled && attempt.desired_running;
    if (!user_visible && !to_be_started) absent.push_back(key);
  }
  return absent;
}

}  // namespace

Machine& Scheduler::find_or_add_machine(const WorkerHeartbeat& r, Seconds now) {
  auto [it, added] = machines_.try_emplace(r.machine);
  Machine& machine = it->second;
  if (added) {
    machine.first_seen = now;
    machine.info.id = r.machine;
    machine.reconciled = true;  // no record: no start was ever ordered there
  }
  machine.info.addr = r.addr;
  machine.info.type = r.type;
  machine.info.zone = r.zone;
  machine.info.spot = r.spot;
  return machine;
}

void Scheduler::mark_reconciled(Machine& machine) {
  if (machine.reconciled) return;
  machine.reconciled = true;
  --unreconciled_machines_;
  if (unreconciled_machines_ == 0) spdlog::info("every machine is accounted for");
}

Scheduler::HeartbeatAnswer Scheduler::on_heartbeat(const WorkerHeartbeat& r, bool may_act,
                                                   Seconds now) {
  record_progress(now);
  if (released_.contains(r.machine)) return {};  // held on its way until the machine was gone
  Machine& machine = find_or_add_machine(r, now);
  HeartbeatAnswer answer;
  if (r.sequence() <= machine.latest_own || r.agent_epoch < machine.latest.agent_epoch)
    return answer;
  machine.latest_own = r.sequence();
  answer.fresh = true;
  machine.last_lease_renewal = now;
  machine.last_heartbeat = latest_heartbeat_ = now;
  const bool newest = r.sequence() > machine.latest;
  const bool no_commands_in_flight = !machine.commands_in_flight;
  if (newest) reconcile(machine, r, no_commands_in_flight, now);
  if (newest && may_act && machine.fencing_token_acknowledged && no_commands_in_flight)
    answer.commands = commands_for(machine, true);
  else
    // The answer renews the worker's lease: without these a cancelled task whose stop was lost
    // would go on for as long as it is renewed, though this leader may do nothing else there.
    answer.commands = stops_of_ended(r, [this](const std::string& id) { return ended(id); });
  // A greeting shows it the fencing token faster than it would report again.
  if (!machine.fencing_token_acknowledged) machine.next_greeting_probe_at = now;
  answer.fencing_token = fencing_token(machine);
  return answer;
}

void Scheduler::on_commands_answered(const std::string& id,
                                     const std::optional<WorkerHeartbeat>& heartbeat, bool executed,
                                     Seconds now) {
  record_progress(now);
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  Machine& machine = it->second;
  machine.commands_in_flight = false;
  if (!executed) {
    // The order may still be executed, minutes later: a raised fencing token ends that, and until
    // the worker has shown it nothing new is started there and nothing counts as gone.
    advance_fencing_token(machine);
    machine.next_commands_at = now + settings_.heartbeat_period_s;
    for (auto& [key, attempt] : machine.attempts) attempt.stop_sent = false;
  }
  enqueue_commands(machine);
  if (!heartbeat || heartbeat->machine != id) return;
  if (heartbeat->sequence() > machine.latest) reconcile(machine, *heartbeat, false, now);
}

void Scheduler::on_probe_answered(const std::string& id,
                                  const std::optional<WorkerHeartbeat>& heartbeat, Seconds now) {
  record_progress(now);
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  Machine& machine = it->second;
  machine.probe_in_flight = false;
  if (!heartbeat || heartbeat->machine != id) {
    machine.probe_unanswered = heartbeat_overdue(machine, now);
    return;
  }
  if (heartbeat->sequence() > machine.latest) reconcile(machine, *heartbeat, false, now);
}

void Scheduler::on_probe_not_sent(const std::string& id) {
  const auto it = machines_.find(id);
  if (it != machines_.end()) it->second.probe_in_flight = false;
}

/// A new agent epoch begins with nothing: the old one's tasks ended with its lease.
void Scheduler::begin_agent_epoch(Machine& machine, Seconds now) {
  remove_all_attempts(machine);
  machine.failed_jobs.clear();
  machine.fencing_token_acknowledged = false;
  // Its lease counts from when it began. Learnt from an answer to an command or a probe, the last
  // answer to a heartbeat would say that it is over while new tasks run.
  machine.last_lease_renewal = std::max(machine.last_lease_renewal, now);
}

void Scheduler::mark_up(Machine& machine, Seconds now) {
  if (machine.state == MachineState::Booting) {
    machine.up_since = now;
    auto& newest = newest_booted_[machine.info.type];
    newest = std::max(newest, machine.first_seen);
  }
  if (machine.state == MachineState::Booting || machine.state == MachineState::LeaseExpired)
    set_machine_state(machine, MachineState::Up);
}

/// What a worker that has shown the fencing token in force does not list is gone, but for starts
/// that may still be on their way to it.
void Scheduler::remove_unlisted(Machine& machine, const WorkerHeartbeat& r, Seconds now) {
  for (const auto& key : absent_attempts(machine, r)) {
    const auto attempt = machine.attempts.find(key);
    if (attempt == machine.attempts.end()) continue;
    const bool present = attempt->second.possibly_present();
    remove_attempt(machine, key);
    if (present) stop_gang_of(key.task, now);
  }
}

/// The worker follows this leader: an earlier one's answers are dropped from here on.
void Scheduler::accept_worker(Machine& machine, Seconds now) {
  // The last answer of an earlier leader can't have been later.
  if (machine.previous_leader_may_answer)
    machine.last_lease_renewal = std::max(machine.last_lease_renewal, now);
  machine.previous_leader_may_answer = false;
  mark_reconciled(machine);
}

/// Called with heartbeats that are newer than all that were applied. Whatever a heartbeat lists is
/// present; what it leaves out is gone only if `absence_counts`, which an answer to an command or a
/// probe may not tell.
void Scheduler::reconcile(Machine& machine, const WorkerHeartbeat& r, bool absence_counts,
                          Seconds now) {
  if (r.agent_epoch > machine.latest.agent_epoch) begin_agent_epoch(machine, now);
  machine.latest = r.sequence();
  machine.last_heard = now;
  machine.probe_unanswered = false;
  mark_up(machine, now);
  machine.reclaim_at =
      r.preemption_notice_s ? std::optional<Seconds>(now + *r.preemption_notice_s) : std::nullopt;
  const bool current_fencing_token = r.fencing_token >= fencing_token(machine);
  if (current_fencing_token && !machine.commands_in_flight && !machine.fencing_token_acknowledged) {
    machine.fencing_token_acknowledged = true;
    enqueue_commands(machine);
  }
  for (const auto& t : r.tasks) reconcile_task(machine, t, now);
  if (!current_fencing_token) return;
  if (absence_counts) remove_unlisted(machine, r, now);
  accept_worker(machine, now);
}

void Scheduler::reconcile_task(Machine& machine, const TaskStatus& t, Seconds now) {
  const TaskAttemptId key{t.key, t.attempt};
  auto [it, added] = machine.attempts.try_emplace(key);
  TaskAttempt& attempt = it->second;
  if (added) {
    attempt.placed_at = now;
    attempt.start_sent = true;
    attempt.desired_running = false;
    if (Job* job = find_job(t.key.job)) adopt_attempt(machine, key, attempt, *job, now);
  }
  if (t.state == TaskState::Exited) attempt.cause = t.cause;
  set_attempt_state(machine, key, attempt, attempt_state_of(t.state), now);
}

}  // namespace sumacquay
