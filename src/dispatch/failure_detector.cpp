#include "dispatch/failure_detector.h"

#include <algorithm>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// Both clocks may drift; a little is added for what the arithmetic leaves out.
constexpr double kClockDrift = 0.002;
constexpr Seconds kLeaseSlack = 0.1;
/// The pause between two events that shows this process to have been paused / workers' lease.
constexpr double kPauseThreshold = 0.1;
/// Boot times past which a machine is taken for one that never comes up: the first if one of its
/// type that was requested later is up, the second if none is, since then all may be slow.
constexpr double kBootOverdue = 1.8;
constexpr double kBootOverdueWhenAllSlow = 3.5;
/// The boot time of a type that the cloud's catalog doesn't list.
constexpr Seconds kUnknownTypeBootTime = 60;
/// The silence of all machines that shows this node to be isolated / heartbeat period.
constexpr double kIsolationPeriods = 2.5;
/// The time that workers need to find a new leader / their lease.
constexpr double kLeaderDiscoveryLeases = 0.3;
/// A heartbeat comes up to a quarter of a period late.
constexpr double kOverduePeriods = 1.25;
constexpr Seconds kNetworkSlack = 0.5;
/// A machine counts as heard recently within this part of a heartbeat period.
constexpr double kRecentPeriods = 0.5;
/// A machine counts as silent, when zones are judged, after this part of the time after which it is
/// suspected.
constexpr double kZoneSilenceShare = 0.6;

}  // namespace

FailureDetector::FailureDetector(ClusterState& state, AttemptTracker& attempts,
                                 const FailureAttribution& failures, Seconds now,
                                 Seconds previous_leader_fenced_at)
    : state_(state),
      attempts_(attempts),
      failures_(failures),
      delegations_(state.term(), state.settings().delegation_after_s()),
      previous_leader_fenced_at_(previous_leader_fenced_at),
      last_event_at_(now),
      listening_since_(now) {}

void FailureDetector::record_event(Seconds now) {
  const Seconds pause = now - last_event_at_;
  last_event_at_ = std::max(last_event_at_, now);
  if (pause <= state_.settings().lease_s * kPauseThreshold) return;
  listening_since_ += pause;
  for (auto& [id, machine] : state_.machines()) {
    machine.last_heard += pause;
    machine.partition_healed_at += pause;
  }
}

void FailureDetector::record_heartbeat(Machine& machine, Seconds now) {
  machine.last_heartbeat = latest_heartbeat_ = now;
}

void FailureDetector::mark_up(Machine& machine, Seconds now) {
  if (machine.state == MachineState::Booting) {
    machine.up_since = now;
    auto& newest = newest_booted_[machine.info.type];
    newest = std::max(newest, machine.first_seen);
  }
  if (machine.state == MachineState::Booting || machine.state == MachineState::LeaseExpired)
    state_.set_machine_state(machine, MachineState::Up);
}

void FailureDetector::on_previous_leader_fenced(Seconds now) {
  if (previous_leader_fenced_ || now >= previous_leader_fenced_at_) return;
  previous_leader_fenced_ = true;
  previous_leader_fenced_at_ = now;
  log_info("previous_leader_fenced", log_field("term", state_.term()));
}

/// A single silent machine has failed by itself. When all of several are silent at once, it is this
/// node that they can't reach, and each of them would lose its lease though other nodes could
/// answer it. A new leader waits longer, since workers must find it first.
bool FailureDetector::isolated_from_workers(Seconds now) const {
  const Settings& settings = state_.settings();
  const Seconds patience = kIsolationPeriods * settings.heartbeat_period_s + kNetworkSlack;
  if (now - latest_heartbeat_ <= patience) return false;
  size_t up = 0;
  Seconds newest = state_.failover_at() + kLeaderDiscoveryLeases * settings.lease_s;
  for (const auto& [id, machine] : state_.machines()) {
    if (machine.state != MachineState::Up) continue;
    ++up;
    newest = std::max(newest, machine.last_heartbeat);
  }
  return up >= kMinMachinesForPartition && now - newest > patience;
}

/// When the worker's lease has expired for certain, counted from the last answer that anybody could
/// have given it.
Seconds FailureDetector::latest_lease_expiry(const Machine& machine, Seconds now) const {
  Seconds last =
      std::max(machine.last_lease_renewal, delegations_.last_answer(machine.info.zone, now));
  if (machine.previous_leader_may_answer) last = std::max(last, previous_leader_fenced_at_);
  return last + state_.settings().lease_s * (1 + kClockDrift) + kLeaseSlack;
}

void FailureDetector::expire_leases(Seconds now) {
  for (auto& [id, machine] : state_.machines()) {
    // One that is being released expires as well: the cloud may be unavailable for longer than a
    // lease.
    const bool releasing = machine.state == MachineState::Releasing && machine.may_run_tasks();
    if (!releasing && machine.state != MachineState::Up) continue;
    if (now <= latest_lease_expiry(machine, now)) continue;
    log_info("machine_lease_expired", log_field("machine", id),
             log_field("zone", machine.info.zone), log_field("count", machine.attempts.size()));
    if (!releasing) state_.set_machine_state(machine, MachineState::LeaseExpired);
    machine.fencing_token_acknowledged = false;
    attempts_.remove_all(machine);
    state_.mark_reconciled(machine);
  }
}

/// The machines of a zone are heard again within a heartbeat period or more, not at once: those
/// that are still silent when most are heard are as alive as the others.
void FailureDetector::on_partition_healed(const std::string& zone, Seconds now) {
  for (auto& [id, machine] : state_.machines())
    if (machine.info.zone == zone) machine.partition_healed_at = now;
}

void FailureDetector::update_partitioned_zones(Seconds now) {
  const Settings& settings = state_.settings();
  std::map<std::string, ZonePartitionDetector::Count> zones;
  const Seconds suspected_after = settings.tuning.suspect * settings.lease_s;
  for (const auto& [id, machine] : state_.machines()) {
    if (machine.state != MachineState::Up) continue;
    ZonePartitionDetector::Count& count = zones[machine.info.zone];
    ++count.up;
    const Seconds silent_for = time_since_heartbeat(machine, now);
    if (silent_for > suspected_after * kZoneSilenceShare) ++count.silent;
    if (silent_for < kRecentPeriods * settings.heartbeat_period_s) ++count.heard_recently;
  }
  for (const auto& zone : zones_.update(zones, now, settings.lease_s))
    on_partition_healed(zone, now);
}

/// Whether a machine that boots will never come up.
bool FailureDetector::boot_failed(const Machine& machine, Seconds now) const {
  if (machine.listed_failed) return true;
  if (zone_partitioned(machine.info.zone)) return false;
  const MachineType* type = state_.find_machine_type(machine.info.type);
  const auto newest = newest_booted_.find(machine.info.type);
  const bool overtaken = newest != newest_booted_.end() && newest->second > machine.first_seen;
  return now - machine.first_seen > (overtaken ? kBootOverdue : kBootOverdueWhenAllSlow) *
                                        (type ? type->boot_s : kUnknownTypeBootTime);
}

/// Whether the machine has failed, as far as its silence tells. One that has been silent for long
/// has failed more often than its network has; so has one that is late and does not answer a probe
/// while many others of its zone are heard. Commands without an answer are no reason to wait for
/// the lease: nothing of the machine is left once the cloud has taken it back.
bool FailureDetector::suspected(const Machine& machine, Seconds now) const {
  const Settings& settings = state_.settings();
  if (zone_partitioned(machine.info.zone) || !machine.may_run_tasks()) return false;
  if (time_since_heartbeat(machine, now) > settings.tuning.suspect * settings.lease_s) return true;
  return machine.probe_unanswered && heartbeat_overdue(machine, now) &&
         zones_.reachable(machine.info.zone);
}

bool FailureDetector::should_release(const Machine& machine, Seconds now) const {
  switch (machine.state) {
    case MachineState::Booting:
      return boot_failed(machine, now);
    case MachineState::LeaseExpired:
      return now - machine.last_heard > state_.settings().lease_s;
    case MachineState::Up:
      return machine.listed_failed ||
             (machine.quarantined() && !machine.has_possible_attempts() &&
              failures_.quarantine_confirmed(machine, now)) ||
             suspected(machine, now);
    case MachineState::Releasing:
      return false;
  }
  return false;
}

Seconds FailureDetector::time_since_heartbeat(const Machine& machine, Seconds now) const {
  return now - std::max({machine.last_heard, machine.partition_healed_at, listening_since_});
}

bool FailureDetector::heartbeat_overdue(const Machine& machine, Seconds now) const {
  return time_since_heartbeat(machine, now) >
         kOverduePeriods * state_.settings().heartbeat_period_s + kNetworkSlack;
}

void FailureDetector::probe(Seconds now, std::vector<Action>& actions) {
  for (auto& [id, machine] : state_.machines()) {
    if (machine.state != MachineState::Up || machine.probe_in_flight || machine.info.addr.empty())
      continue;
    const bool unmet = !machine.fencing_token_acknowledged && machine.previous_leader_may_answer &&
                       !machine.reconciled && now >= machine.next_greeting_probe_at;
    const bool late =
        !machine.probe_unanswered && heartbeat_overdue(machine, now) && machine.may_run_tasks();
    if (!unmet && !late) continue;
    if (unmet) machine.next_greeting_probe_at = now + state_.settings().heartbeat_period_s;
    machine.probe_in_flight = true;
    actions.emplace_back(Probe{id, machine.info.addr, state_.fencing_token(machine),
                               std::max<uint64_t>(machine.latest.agent_epoch, 1)});
  }
}

}  // namespace sumacquay
