// Machines as they boot, fall silent, are cut off with their zone, and lose their lease.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

/// Both clocks may drift; a little is added for what the arithmetic leaves out.
constexpr double kDrift = 0.002;
/// Boot times past which a machine counts as one that never comes up: the first if one of its type
/// that was rented later is up, the second if none is, for then it may be that all are slow.
constexpr double kOverdue = 1.8;
constexpr double kAllSlow = 3.5;
/// The boot time of a type that the cloud's catalog doesn't list.
constexpr Seconds kUnknownTypeBoot = 60;
/// The silence of all machines that shows this node to be cut off / heartbeat period.
constexpr double kAllSilent = 2.5;
/// The time that workers need to find a new leader / their lease.
constexpr double kFindLeader = 0.3;
/// A machine counts as heard recently within so much of a heartbeat period.
constexpr double kRecently = 0.5;
/// A machine counts as silent, when zones are judged, after this part of the silence after which it
/// is given up.
constexpr double kSilentEarly = 0.6;

}  // namespace

void Scheduler::set_stage(Machine& m, Machine::Stage next) {
  if (m.stage == next) return;
  spdlog::debug("{}: stage {} -> {}", m.info.id, name(m.stage), name(next));
  m.stage = next;
}

void Scheduler::listed(const std::vector<ListedMachine>& machines, Seconds now) {
  for (const auto& l : machines) {
    const auto gone = returned_.find(l.id);
    if (gone != returned_.end()) {
      // Still listed long after it was returned: it was not returned after all.
      if (now > gone->second + 10 * settings_.list_lag_s) returned_.erase(gone);
      continue;
    }
    auto [it, added] = machines_.try_emplace(l.id);
    Machine& m = it->second;
    if (added) {
      m.info.id = l.id;
      m.first_seen = now - l.age_s;
      m.accounted = true;  // it has no record: no start was ever ordered there
    }
    m.info.type = l.type;
    m.info.zone = l.zone;
    m.info.spot = l.spot;
    if (m.info.addr.empty()) m.info.addr = l.addr;
    if (l.state == ListedMachine::State::Failed) m.listed_failed = true;
  }
}

/// One silent machine is its own trouble; when all of several are silent at once, it is this node
/// that can't be reached, and each of them would lose its lease though other nodes could answer it.
/// A new leader waits longer, since workers must find it first.
bool Scheduler::no_worker_reaches_us(Seconds now) const {
  const Seconds patience = kAllSilent * settings_.heartbeat_period_s + 0.5;
  if (now - latest_heartbeat_ <= patience) return false;
  size_t up = 0;
  Seconds newest = failover_at_ + kFindLeader * settings_.lease_s;
  for (const auto& [id, m] : machines_) {
    if (m.stage != Machine::Stage::Up) continue;
    ++up;
    newest = std::max(newest, m.last_heartbeat);
  }
  return up >= kTooManyForChance && now - newest > patience;
}

/// When the worker's lease has ended for certain, counted from the last answer that anybody could
/// have given it.
Seconds Scheduler::latest_lease_end(const Machine& m, Seconds now) const {
  Seconds last = std::max(m.last_answered, delegations_.last_answer(m.info.zone, now));
  if (m.earlier_leader_may_answer) last = std::max(last, previous_leader_fenced_at_);
  return last + settings_.lease_s * (1 + kDrift) + 0.1;
}

void Scheduler::expire(Seconds now) {
  for (auto& [id, m] : machines_) {
    // One that was given up expires as well: the cloud may be in trouble for longer than a lease.
    const bool returning = m.stage == Machine::Stage::Returning && m.may_hold_tasks();
    if (!returning && m.stage != Machine::Stage::Up) continue;
    if (now <= latest_lease_end(m, now)) continue;
    spdlog::info("{} expired with {} tasks", id, m.runs.size());
    if (!returning) set_stage(m, Machine::Stage::Expired);
    m.fencing_token_acknowledged = false;
    remove_all_runs(m);
    mark_accounted(m);
  }
}

/// A zone that was cut off comes back within a heartbeat period or more, not at once: those that
/// are still silent when most are heard again are as alive as the others.
void Scheduler::zone_reachable_again(const std::string& zone, Seconds now) {
  for (auto& [id, m] : machines_)
    if (m.info.zone == zone) m.zone_back = now;
}

void Scheduler::find_cut_zones(Seconds now) {
  std::map<std::string, ZoneReachability::Count> zones;
  const Seconds suspect = settings_.tuning.suspect * settings_.lease_s;
  for (const auto& [id, m] : machines_) {
    if (m.stage != Machine::Stage::Up) continue;
    ZoneReachability::Count& count = zones[m.info.zone];
    ++count.up;
    if (silence(m, now) > suspect * kSilentEarly) ++count.silent;
    if (silence(m, now) < kRecently * settings_.heartbeat_period_s) ++count.heard_recently;
  }
  for (const auto& zone : zone_reachability_.update(zones, now, settings_.lease_s))
    zone_reachable_again(zone, now);
}

/// Whether a machine that boots will never come up.
bool Scheduler::boot_failed(const Machine& m, Seconds now) const {
  if (m.listed_failed) return true;
  if (zone_reachability_.cut_off(m.info.zone)) return false;
  const MachineType* t = type(m.info.type);
  const auto newest = newest_booted_.find(m.info.type);
  const bool overtaken = newest != newest_booted_.end() && newest->second > m.first_seen;
  return now - m.first_seen >
         (overtaken ? kOverdue : kAllSlow) * (t ? t->boot_s : kUnknownTypeBoot);
}

/// Whether a machine is dead, as far as its silence tells. One that has been silent for long is
/// dead more often than cut off; so is one that is late and does not answer while many others of
/// its zone are heard. An order that went unanswered is no reason to wait for the lease: nothing of
/// the machine is left once the cloud has taken it back.
bool Scheduler::seems_dead(const Machine& m, Seconds now) const {
  if (zone_reachability_.cut_off(m.info.zone) || !m.may_hold_tasks()) return false;
  if (silence(m, now) > settings_.tuning.suspect * settings_.lease_s) return true;
  return m.probe_unanswered && heartbeat_overdue(m, now) &&
         zone_reachability_.reachable(m.info.zone);
}

/// Whether a machine is to be returned although it isn't idle.
bool Scheduler::should_give_up(const Machine& m, Seconds now) const {
  switch (m.stage) {
    case Machine::Stage::Booting:
      return boot_failed(m, now);
    case Machine::Stage::Expired:
      return now - m.last_heard > settings_.lease_s;
    case Machine::Stage::Up:
      return m.listed_failed || (m.sick() && !m.has_presence() && sick_for_certain(m, now)) ||
             seems_dead(m, now);
    case Machine::Stage::Returning:
      return false;
  }
  return false;
}

Seconds Scheduler::silence(const Machine& m, Seconds now) const {
  return now - std::max({m.last_heard, m.zone_back, listening_since_});
}

/// Reports come up to a quarter late.
bool Scheduler::heartbeat_overdue(const Machine& m, Seconds now) const {
  return silence(m, now) > 1.25 * settings_.heartbeat_period_s + 0.5;
}

/// Machines that this leader has not met yet, and those that are late with a heartbeat.
void Scheduler::probe(Seconds now, std::vector<Action>& out) {
  for (auto& [id, m] : machines_) {
    if (m.stage != Machine::Stage::Up || m.probe_in_flight || m.info.addr.empty()) continue;
    const bool greet = !m.fencing_token_acknowledged && m.earlier_leader_may_answer &&
                       !m.accounted && now >= m.next_greeting;
    const bool late = !m.probe_unanswered && heartbeat_overdue(m, now) && m.may_hold_tasks();
    if (!greet && !late) continue;
    if (greet) m.next_greeting = now + settings_.heartbeat_period_s;
    m.probe_in_flight = true;
    out.emplace_back(
        Probe{id, m.info.addr, fencing_token(m), std::max<uint64_t>(m.latest.agent_epoch, 1)});
  }
}

}  // namespace sumacquay
