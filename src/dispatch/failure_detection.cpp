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
constexpr double kBootOverdue = 1.8;
constexpr double kBootOverdueWhenAllSlow = 3.5;
/// The boot time of a type that the cloud's catalog doesn't list.
constexpr Seconds kUnknownTypeBoot = 60;
/// The silence of all machines that shows this node to be cut off / heartbeat period.
constexpr double kIsolationTimeout = 2.5;
/// The time that workers need to find a new leader / their lease.
constexpr double kLeaderDiscovery = 0.3;
/// A machine counts as heard recently within so much of a heartbeat period.
constexpr double kHeardRecently = 0.5;
/// A machine counts as silent, when zones are judged, after this part of the silence after which it
/// is given up.
constexpr double kSuspicionShare = 0.6;

}  // namespace

void Scheduler::set_machine_state(Machine& machine, MachineState next) {
  if (machine.state == next) return;
  spdlog::debug("{}: stage {} -> {}", machine.info.id, name(machine.state), name(next));
  machine.state = next;
}

void Scheduler::on_machines_listed(const std::vector<ListedMachine>& machines, Seconds now) {
  for (const auto& l : machines) {
    const auto gone = released_.find(l.id);
    if (gone != released_.end()) {
      // Still listed long after it was returned: it was not returned after all.
      if (now > gone->second + 10 * settings_.list_lag_s) released_.erase(gone);
      continue;
    }
    auto [it, added] = machines_.try_emplace(l.id);
    Machine& machine = it->second;
    if (added) {
      machine.info.id = l.id;
      machine.first_seen = now - l.age_s;
      machine.reconciled = true;  // it has no record: no start was ever ordered there
    }
    machine.info.type = l.type;
    machine.info.zone = l.zone;
    machine.info.spot = l.spot;
    if (machine.info.addr.empty()) machine.info.addr = l.addr;
    if (l.state == ListedMachine::State::Failed) machine.listed_failed = true;
  }
}

/// One silent machine is its own trouble; when all of several are silent at once, it is this node
/// that can't be reached, and each of them would lose its lease though other nodes could answer it.
/// A new leader waits longer, since workers must find it first.
bool Scheduler::isolated_from_workers(Seconds now) const {
  const Seconds patience = kIsolationTimeout * settings_.heartbeat_period_s + 0.5;
  if (now - latest_heartbeat_ <= patience) return false;
  size_t up = 0;
  Seconds newest = failover_at_ + kLeaderDiscovery * settings_.lease_s;
  for (const auto& [id, machine] : machines_) {
    if (machine.state != MachineState::Up) continue;
    ++up;
    newest = std::max(newest, machine.last_heartbeat);
  }
  return up >= kMinMachinesForPartition && now - newest > patience;
}

/// When the worker's lease has ended for certain, counted from the last answer that anybody could
/// have given it.
Seconds Scheduler::latest_lease_expiry(const Machine& machine, Seconds now) const {
  Seconds last =
      std::max(machine.last_lease_renewal, delegations_.last_answer(machine.info.zone, now));
  if (machine.previous_leader_may_answer) last = std::max(last, previous_leader_fenced_at_);
  return last + settings_.lease_s * (1 + kDrift) + 0.1;
}

void Scheduler::expire_leases(Seconds now) {
  for (auto& [id, machine] : machines_) {
    // One that was given up expires as well: the cloud may be in trouble for longer than a lease.
    const bool returning = machine.state == MachineState::Releasing && machine.may_run_tasks();
    if (!returning && machine.state != MachineState::Up) continue;
    if (now <= latest_lease_expiry(machine, now)) continue;
    spdlog::info("{} expired with {} tasks", id, machine.attempts.size());
    if (!returning) set_machine_state(machine, MachineState::LeaseExpired);
    machine.fencing_token_acknowledged = false;
    remove_all_attempts(machine);
    mark_reconciled(machine);
  }
}

/// A zone that was cut off comes back within a heartbeat period or more, not at once: those that
/// are still silent when most are heard again are as alive as the others.
void Scheduler::on_partition_healed(const std::string& zone, Seconds now) {
  for (auto& [id, machine] : machines_)
    if (machine.info.zone == zone) machine.partition_healed_at = now;
}

void Scheduler::update_partitioned_zones(Seconds now) {
  std::map<std::string, ZonePartitionDetector::Count> zones;
  const Seconds suspect = settings_.tuning.suspect * settings_.lease_s;
  for (const auto& [id, machine] : machines_) {
    if (machine.state != MachineState::Up) continue;
    ZonePartitionDetector::Count& count = zones[machine.info.zone];
    ++count.up;
    if (time_since_heartbeat(machine, now) > suspect * kSuspicionShare) ++count.silent;
    if (time_since_heartbeat(machine, now) < kHeardRecently * settings_.heartbeat_period_s)
      ++count.heard_recently;
  }
  for (const auto& zone : zone_partition_detector_.update(zones, now, settings_.lease_s))
    on_partition_healed(zone, now);
}

/// Whether a machine that boots will never come up.
bool Scheduler::boot_failed(const Machine& machine, Seconds now) const {
  if (machine.listed_failed) return true;
  if (zone_partition_detector_.partitioned(machine.info.zone)) return false;
  const MachineType* t = type(machine.info.type);
  const auto newest = newest_booted_.find(machine.info.type);
  const bool overtaken = newest != newest_booted_.end() && newest->second > machine.first_seen;
  return now - machine.first_seen >
         (overtaken ? kBootOverdue : kBootOverdueWhenAllSlow) * (t ? t->boot_s : kUnknownTypeBoot);
}

/// Whether a machine is dead, as far as its silence tells. One that has been silent for long is
/// dead more often than cut off; so is one that is late and does not answer while many others of
/// its zone are heard. An order that went unanswered is no reason to wait for the lease: nothing of
/// the machine is left once the cloud has taken it back.
bool Scheduler::suspected(const Machine& machine, Seconds now) const {
  if (zone_partition_detector_.partitioned(machine.info.zone) || !machine.may_run_tasks())
    return false;
  if (time_since_heartbeat(machine, now) > settings_.tuning.suspect * settings_.lease_s)
    return true;
  return machine.probe_unanswered && heartbeat_overdue(machine, now) &&
         zone_partition_detector_.reachable(machine.info.zone);
}

/// Whether a machine is to be returned although it isn't idle.
bool Scheduler::should_release(const Machine& machine, Seconds now) const {
  switch (machine.state) {
    case MachineState::Booting:
      return boot_failed(machine, now);
    case MachineState::LeaseExpired:
      return now - machine.last_heard > settings_.lease_s;
    case MachineState::Up:
      return machine.listed_failed ||
             (machine.quarantined() && !machine.has_possible_attempts() &&
              quarantine_confirmed(machine, now)) ||
             suspected(machine, now);
    case MachineState::Releasing:
      return false;
  }
  return false;
}

Seconds Scheduler::time_since_heartbeat(const Machine& machine, Seconds now) const {
  return now - std::max({machine.last_heard, machine.partition_healed_at, listening_since_});
}

/// Reports come up to a quarter late.
bool Scheduler::heartbeat_overdue(const Machine& machine, Seconds now) const {
  return time_since_heartbeat(machine, now) > 1.25 * settings_.heartbeat_period_s + 0.5;
}

/// Machines that this leader has not met yet, and those that are late with a heartbeat.
void Scheduler::probe(Seconds now, std::vector<Action>& out) {
  for (auto& [id, machine] : machines_) {
    if (machine.state != MachineState::Up || machine.probe_in_flight || machine.info.addr.empty())
      continue;
    const bool greet = !machine.fencing_token_acknowledged && machine.previous_leader_may_answer &&
                       !machine.reconciled && now >= machine.next_greeting_probe_at;
    const bool late =
        !machine.probe_unanswered && heartbeat_overdue(machine, now) && machine.may_run_tasks();
    if (!greet && !late) continue;
    if (greet) machine.next_greeting_probe_at = now + settings_.heartbeat_period_s;
    machine.probe_in_flight = true;
    out.emplace_back(Probe{id, machine.info.addr, fencing_token(machine),
                           std::max<uint64_t>(machine.latest.agent_epoch, 1)});
  }
}

}  // namespace sumacquay
