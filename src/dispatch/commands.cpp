// What workers are told, in answers to their heartbeats and in orders.
#include <algorithm>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

/// Keeps an answer to a worker well under the protocol's 64 KiB.
constexpr size_t kMostCommands = 300;

}  // namespace

bool Scheduler::startable(const Machine& m, const RunKey& key, const Run& run) const {
  if (!run.wanted || run.phase != Run::Phase::Ordered || m.record != Machine::Record::Durable)
    return false;
  const Job* job = find_job(key.task.job);
  return job && job->runnable() && job->next_leader_knows(m.info.id);
}

/// Stops come first and are never cut: they take no more than their tasks did in the heartbeat.
std::vector<Command> Scheduler::commands_for(Machine& m, bool forget) {
  std::vector<Command> out;
  for (auto& [key, run] : m.runs) {
    if (run.wanted || !run.present() || run.phase == Run::Phase::Ordered) continue;
    const Job* job = find_job(key.task.job);
    const bool save = run.graceful && job && job->spec().saves();
    if (save && run.phase == Run::Phase::Saving) continue;
    out.push_back({Verb::Stop, key.task, key.attempt, save ? job->spec().save_s * 1.5 + 1 : 0});
  }
  for (auto& [key, run] : m.runs) {
    if (out.size() >= kMostCommands) break;
    if (startable(m, key, run)) {
      run.sent = true;
      out.push_back({Verb::Start, key.task, key.attempt, 0});
    } else if (run.phase == Run::Phase::Exited) {
      const Job* job = find_job(key.task.job);
      const bool durable = run.cause != ExitCause::Done || !job ||
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

/// Whether there is something to tell the machine that no order has told it yet.
bool Scheduler::has_orders(const Machine& m) const {
  return std::any_of(m.runs.begin(), m.runs.end(), [this, &m](const auto& r) {
    const auto& [key, run] = r;
    if (run.wanted) return !run.sent && startable(m, key, run);
    return run.present() && run.phase != Run::Phase::Ordered && !run.stop_sent;
  });
}

void Scheduler::order_starts_of(const std::string& id, Machine& m, Seconds now,
                                std::vector<Action>& out) {
  ++work_.dispatch_checks;
  if (m.stage != Machine::Stage::Up || m.order_in_flight || now < m.next_order) return;
  if (m.info.addr.empty() || !m.fencing_token_acknowledged || !has_orders(m)) return;
  SendOrders order{id, m.info.addr, fencing_token(m), std::max<uint64_t>(m.latest.agent_epoch, 1),
                   commands_for(m, false)};
  for (auto& [key, run] : m.runs)
    if (!run.wanted && run.present()) run.stop_sent = true;
  m.order_in_flight = true;
  out.emplace_back(std::move(order));
}

void Scheduler::order_starts(Seconds now, std::vector<Action>& out) {
  while (const auto id = backlog_.orders.pop()) {
    const auto m = machines_.find(*id);
    if (m != machines_.end()) order_starts_of(*id, m->second, now, out);
  }
}

}  // namespace sumacquay
