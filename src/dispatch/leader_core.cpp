// What a tick does and in which order, and lookups that all parts of the leader use.
#include "dispatch/leader_core.h"

#include <spdlog/spdlog.h>

namespace sumacquay {
namespace {

/// The pause between two events that shows this process to have stood still / workers' lease.
constexpr double kStoodStill = 0.1;

}  // namespace

LeaderCore::LeaderCore(const Settings& settings, uint64_t term, Seconds now, Seconds fence,
                       Seconds wall_offset)
    : settings_(settings),
      term_(term),
      took_over_at_(now),
      fence_(fence),
      wall_offset_(wall_offset),
      last_event_(now),
      listening_since_(now),
      delegations_(term, settings.delegation_after_s()),
      numbers_(term),
      rental_requests_(term) {}

/// Ends whatever was ordered under the token before, however late it arrives.
void LeaderCore::raise_token(Machine& m) {
  ++m.counter;
  m.token_confirmed = false;
  numbers_.note_use(m.counter);
}

const Job* LeaderCore::find_job(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

Job* LeaderCore::find_job(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const MachineType* LeaderCore::type(const std::string& name) const {
  for (const auto& t : types_)
    if (t.name == name) return &t;
  return nullptr;
}

std::unordered_map<std::string, uint32_t> LeaderCore::running_counts() const {
  std::unordered_map<std::string, uint32_t> out;
  for (const auto& [id, m] : machines_) {
    const std::string* job = nullptr;  // runs are in the order of their jobs: one look a job
    uint32_t* count = nullptr;
    for (const auto& [key, run] : m.runs) {
      if (run.phase != Run::Phase::Running) continue;
      if (!job || *job != key.task.job) {
        job = &key.task.job;
        count = &out[*job];
      }
      ++*count;
    }
  }
  return out;
}

void LeaderCore::fenced(Seconds now) {
  if (fenced_ || now >= fence_) return;
  fenced_ = true;
  fence_ = now;
  spdlog::info("no earlier leader answers any more");
}

/// Called with every event. A process that stood still, or was busy for long, has heard nobody
/// meanwhile and must not take that for their silence; but no more than the pause itself is taken
/// from it, or a leader with slow rounds would never find anybody silent.
void LeaderCore::note_running(Seconds now) {
  const Seconds pause = now - last_event_;
  last_event_ = std::max(last_event_, now);
  if (pause <= settings_.lease_s * kStoodStill) return;
  listening_since_ += pause;
  for (auto& [id, m] : machines_) {
    m.last_heard += pause;
    m.zone_back += pause;
  }
}

std::vector<Action> LeaderCore::tick(Seconds now) {
  std::vector<Action> out;
  note_running(now);
  if (now >= next_round_) {
    expire(now);
    next_round_ = now + settings_.tuning.round * settings_.report_s;
    round(now);
    move_replicas(now);
    provision(now, out);
    log_fleet_summary(now);
    unplaced_.clear();
    fill_backlog(now);
  }
  return_machines(now, out);
  order_starts(now, out);
  probe(now, out);
  return out;
}

}  // namespace sumacquay
