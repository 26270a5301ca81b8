// What a tick does and in which order, and lookups that all parts of the leader use.
#include "dispatch/scheduler.h"

#include <spdlog/spdlog.h>

namespace sumacquay {
namespace {

/// The pause between two events that shows this process to have stood still / workers' lease.
constexpr double kStallThreshold = 0.1;

}  // namespace

Scheduler::Scheduler(const Settings& settings, uint64_t term, Seconds now,
                     Seconds previous_leader_fenced_at, Seconds wall_offset)
    : settings_(settings),
      term_(term),
      failover_at_(now),
      previous_leader_fenced_at_(previous_leader_fenced_at),
      wall_offset_(wall_offset),
      last_event_(now),
      listening_since_(now),
      delegations_(term, settings.delegation_after_s()),
      token_allocator_(term),
      scale_out_requests_(term) {}

/// Ends whatever was ordered under the fencing token before, however late it arrives.
void Scheduler::advance_fencing_token(Machine& machine) {
  ++machine.counter;
  machine.fencing_token_acknowledged = false;
  token_allocator_.record_use(machine.counter);
}

const Job* Scheduler::find_job(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

Job* Scheduler::find_job(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const MachineType* Scheduler::type(const std::string& name) const {
  for (const auto& t : types_)
    if (t.name == name) return &t;
  return nullptr;
}

std::unordered_map<std::string, uint32_t> Scheduler::running_counts() const {
  std::unordered_map<std::string, uint32_t> out;
  for (const auto& [id, machine] : machines_) {
    const std::string* job = nullptr;  // attempts are in the order of their jobs: one look a job
    uint32_t* count = nullptr;
    for (const auto& [key, attempt] : machine.attempts) {
      if (attempt.state != TaskAttemptState::Running) continue;
      if (!job || *job != key.task.job) {
        job = &key.task.job;
        count = &out[*job];
      }
      ++*count;
    }
  }
  return out;
}

void Scheduler::on_previous_leader_fenced(Seconds now) {
  if (previous_leader_fenced_ || now >= previous_leader_fenced_at_) return;
  previous_leader_fenced_ = true;
  previous_leader_fenced_at_ = now;
  spdlog::info("no earlier leader answers any more");
}

/// Called with every event. A process that stood still, or was busy for long, has heard nobody
/// meanwhile and must not take that for their silence; but no more than the pause itself is taken
/// from it, or a leader with slow rounds would never find anybody silent.
void Scheduler::record_progress(Seconds now) {
  const Seconds pause = now - last_event_;
  last_event_ = std::max(last_event_, now);
  if (pause <= settings_.lease_s * kStallThreshold) return;
  listening_since_ += pause;
  for (auto& [id, machine] : machines_) {
    machine.last_heard += pause;
    machine.partition_healed_at += pause;
  }
}

std::vector<Action> Scheduler::tick(Seconds now) {
  std::vector<Action> out;
  record_progress(now);
  if (now >= next_round_) {
    expire_leases(now);
    next_round_ = now + settings_.tuning.round * settings_.heartbeat_period_s;
    run_placement_round(now);
    rebalance(now);
    scale_out(now, out);
    log_fleet_summary(now);
    unplaced_.clear();
    fill_backlog(now);
  }
  scale_in(now, out);
  dispatch_starts(now, out);
  probe(now, out);
  return out;
}

}  // namespace sumacquay
