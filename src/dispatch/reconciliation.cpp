// What workers say, in reports of their own and in answers to orders and probes.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>
#include <vector>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

Run::Phase phase_of(TaskState s) {
  switch (s) {
    case TaskState::Fetching:
      return Run::Phase::Fetching;
    case TaskState::Waiting:
      return Run::Phase::Waiting;
    case TaskState::Running:
      return Run::Phase::Running;
    case TaskState::Saving:
      return Run::Phase::Saving;
    case TaskState::Exited:
      return Run::Phase::Exited;
  }
  return Run::Phase::Exited;
}

bool same_start(const TaskStatus& t, const RunKey& key) {
  return t.attempt == key.attempt && t.key == key.task;
}

bool goes_before(const TaskStatus& t, const RunKey& key) {
  return std::tie(t.key, t.attempt) < std::tie(key.task, key.attempt);
}

/// What the heartbeat lacks of the machine's runs, but for those that are still to be started. Both
/// are walked in the same order, since a heartbeat of a full machine has hundreds of tasks.
std::vector<RunKey> absent_runs(const Machine& m, const WorkerHeartbeat& r) {
  std::vector<const TaskStatus*> listed;
  listed.reserve(r.tasks.size());
  for (const auto& t : r.tasks) listed.push_back(&t);
  std::sort(listed.begin(), listed.end(), [](const TaskStatus* a, const TaskStatus* b) {
    return std::tie(a->key, a->attempt) < std::tie(b->key, b->attempt);
  });
  std::vector<RunKey> absent;
  auto next = listed.begin();
  for (const auto& [key, run] : m.runs) {
    while (next != listed.end() && goes_before(**next, key)) ++next;
    const bool shown = next != listed.end() && same_start(**next, key);
    const bool to_be_started = run.phase == Run::Phase::Ordered && run.wanted;
    if (!shown && !to_be_started) absent.push_back(key);
  }
  return absent;
}

}  // namespace

Machine& Scheduler::find_or_add_machine(const WorkerHeartbeat& r, Seconds now) {
  auto [it, added] = machines_.try_emplace(r.machine);
  Machine& m = it->second;
  if (added) {
    m.first_seen = now;
    m.info.id = r.machine;
    m.accounted = true;  // no record: no start was ever ordered there
  }
  m.info.addr = r.addr;
  m.info.type = r.type;
  m.info.zone = r.zone;
  m.info.spot = r.spot;
  return m;
}

void Scheduler::mark_accounted(Machine& m) {
  if (m.accounted) return;
  m.accounted = true;
  --unaccounted_;
  if (unaccounted_ == 0) spdlog::info("every machine is accounted for");
}

Scheduler::HeartbeatAnswer Scheduler::on_heartbeat(const WorkerHeartbeat& r, bool may_act,
                                                   Seconds now) {
  record_progress(now);
  if (returned_.contains(r.machine)) return {};  // held on its way until the machine was gone
  Machine& m = find_or_add_machine(r, now);
  HeartbeatAnswer answer;
  if (r.sequence() <= m.latest_own || r.agent_epoch < m.latest.agent_epoch) return answer;
  m.latest_own = r.sequence();
  answer.fresh = true;
  m.last_answered = now;
  m.last_heartbeat = latest_heartbeat_ = now;
  const bool newest = r.sequence() > m.latest;
  const bool no_orders_out = !m.order_in_flight;
  if (newest) reconcile(m, r, no_orders_out, now);
  if (newest && may_act && m.fencing_token_acknowledged && no_orders_out)
    answer.commands = commands_for(m, true);
  else
    // The answer renews the worker's lease: without these a cancelled task whose stop was lost
    // would go on for as long as it is renewed, though this leader may do nothing else there.
    answer.commands = stops_of_ended(r, [this](const std::string& id) { return ended(id); });
  // A greeting shows it the fencing token faster than it would report again.
  if (!m.fencing_token_acknowledged) m.next_greeting = now;
  answer.fencing_token = fencing_token(m);
  return answer;
}

void Scheduler::orders_done(const std::string& id, const std::optional<WorkerHeartbeat>& heartbeat,
                            bool executed, Seconds now) {
  record_progress(now);
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  Machine& m = it->second;
  m.order_in_flight = false;
  if (!executed) {
    // The order may still be executed, minutes later: a raised fencing token ends that, and until
    // the worker has shown it nothing new is started there and nothing counts as gone.
    advance_fencing_token(m);
    m.next_order = now + settings_.heartbeat_period_s;
    for (auto& [key, run] : m.runs) run.stop_sent = false;
  }
  note_orders(m);
  if (!heartbeat || heartbeat->machine != id) return;
  if (heartbeat->sequence() > m.latest) reconcile(m, *heartbeat, false, now);
}

void Scheduler::probed(const std::string& id, const std::optional<WorkerHeartbeat>& heartbeat,
                       Seconds now) {
  record_progress(now);
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  Machine& m = it->second;
  m.probe_in_flight = false;
  if (!heartbeat || heartbeat->machine != id) {
    m.probe_unanswered = heartbeat_overdue(m, now);
    return;
  }
  if (heartbeat->sequence() > m.latest) reconcile(m, *heartbeat, false, now);
}

void Scheduler::not_probed(const std::string& id) {
  const auto it = machines_.find(id);
  if (it != machines_.end()) it->second.probe_in_flight = false;
}

/// A new agent epoch begins with nothing: the old one's tasks ended with its lease.
void Scheduler::begin_agent_epoch(Machine& m, Seconds now) {
  remove_all_runs(m);
  m.error_jobs.clear();
  m.fencing_token_acknowledged = false;
  // Its lease counts from when it began. Learnt from an answer to an order or a probe, the last
  // answer to a heartbeat would say that it is over while new tasks run.
  m.last_answered = std::max(m.last_answered, now);
}

void Scheduler::mark_up(Machine& m, Seconds now) {
  if (m.stage == Machine::Stage::Booting) {
    m.up_since = now;
    auto& newest = newest_booted_[m.info.type];
    newest = std::max(newest, m.first_seen);
  }
  if (m.stage == Machine::Stage::Booting || m.stage == Machine::Stage::Expired)
    set_stage(m, Machine::Stage::Up);
}

/// What a worker that has shown the fencing token in force does not list is gone, but for starts
/// that may still be on their way to it.
void Scheduler::remove_unlisted(Machine& m, const WorkerHeartbeat& r, Seconds now) {
  for (const auto& key : absent_runs(m, r)) {
    const auto run = m.runs.find(key);
    if (run == m.runs.end()) continue;
    const bool present = run->second.present();
    remove_run(m, key);
    if (present) stop_gang_of(key.task, now);
  }
}

/// The worker follows this leader: an earlier one's answers are dropped from here on.
void Scheduler::accept_worker(Machine& m, Seconds now) {
  // The last answer of an earlier leader can't have been later.
  if (m.earlier_leader_may_answer) m.last_answered = std::max(m.last_answered, now);
  m.earlier_leader_may_answer = false;
  mark_accounted(m);
}

/// Called with heartbeats that are newer than all that were applied. Whatever a heartbeat lists is
/// present; what it leaves out is gone only if `absence_counts`, which an answer to an order or a
/// probe may not tell.
void Scheduler::reconcile(Machine& m, const WorkerHeartbeat& r, bool absence_counts, Seconds now) {
  if (r.agent_epoch > m.latest.agent_epoch) begin_agent_epoch(m, now);
  m.latest = r.sequence();
  m.last_heard = now;
  m.probe_unanswered = false;
  mark_up(m, now);
  m.reclaim_at =
      r.preemption_notice_s ? std::optional<Seconds>(now + *r.preemption_notice_s) : std::nullopt;
  const bool current_fencing_token = r.fencing_token >= fencing_token(m);
  if (current_fencing_token && !m.order_in_flight && !m.fencing_token_acknowledged) {
    m.fencing_token_acknowledged = true;
    note_orders(m);
  }
  for (const auto& t : r.tasks) reconcile_task(m, t, now);
  if (!current_fencing_token) return;
  if (absence_counts) remove_unlisted(m, r, now);
  accept_worker(m, now);
}

void Scheduler::reconcile_task(Machine& m, const TaskStatus& t, Seconds now) {
  const RunKey key{t.key, t.attempt};
  auto [it, added] = m.runs.try_emplace(key);
  Run& run = it->second;
  if (added) {
    run.placed_at = now;
    run.sent = true;
    run.wanted = false;
    if (Job* job = find_job(t.key.job)) adopt(m, key, run, *job, now);
  }
  if (t.state == TaskState::Exited) run.cause = t.cause;
  set_phase(m, key, run, phase_of(t.state), now);
}

}  // namespace sumacquay
