#include "dispatch/failure_detector.h"

#include <algorithm>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// Allowances for the expiry of a lease. The steady clocks of the leader and the worker may drift
/// apart by up to 0.05 % under the protocol; the relative allowance covers this, and the margin
/// covers rounding.
constexpr double kMaxClockDrift = 0.002;
constexpr Seconds kLeaseMargin = 0.1;
/// The gap between two events from which this process counts as paused, as a fraction of the worker
/// lease.
constexpr double kPauseThresholdLeases = 0.1;
/// Time after which a booting machine is assumed never to come up, as a multiple of the boot time
/// of its type. The first applies if a machine of the type that was requested later is up; the
/// second applies otherwise, since all machines of the type may be slow.
constexpr double kBootTimeoutFactor = 1.8;
constexpr double kBootTimeoutFactorWhenAllSlow = 3.5;
/// Assumed boot time of a machine type that the cloud's catalog doesn't list.
constexpr Seconds kUnknownTypeBootTime = 60;
/// Time without a heartbeat from any machine after which this node counts as isolated, in heartbeat
/// periods.
constexpr double kIsolationTimeoutPeriods = 2.5;
/// Time that workers need to find a new leader, as a fraction of the worker lease.
constexpr double kLeaderDiscoveryLeases = 0.3;
/// Time after which a heartbeat is overdue, in heartbeat periods. A heartbeat arrives up to a
/// quarter of a period late.
constexpr double kHeartbeatOverduePeriods = 1.25;
/// Allowance for network delay.
constexpr Seconds kNetworkDelayAllowance = 0.5;
/// Age up to which a heartbeat counts as recent, as a fraction of the heartbeat period.
constexpr double kRecentHeartbeatPeriods = 0.5;
/// Time after which a machine counts as silent in the detection of zone partitions, as a fraction
/// of the time after which a machine is suspected to have failed.
constexpr double kZoneSilenceFraction = 0.6;

}  // namespace

FailureDetector::FailureDetector(ClusterState& state, AttemptTracker& attempts,
                                 const FailureAttribution& failures, Seconds now,
                                 Seconds previous_leader_fenced_at)
    : state_(state),
      attempts_(attempts),
      failures_(failures),
      delegations_(state.term(), state.settings().delegate_takeover_s()),
      previous_leader_fenced_at_(previous_leader_fenced_at),
      last_event_at_(now),
      observing_since_(now) {}

void FailureDetector::record_event(Seconds now) {
  const Seconds pause = now - last_event_at_;
  last_event_at_ = std::max(last_event_at_, now);
  if (pause <= state_.settings().lease_s * kPauseThresholdLeases) return;
  observing_since_ += pause;
  for (auto& [id, machine] : state_.machines()) {
    machine.last_seen_at += pause;
    machine.partition_healed_at += pause;
  }
}

void FailureDetector::record_heartbeat(Machine& machine, Seconds now) {
  machine.last_heartbeat_at = latest_heartbeat_ = now;
}

void FailureDetector::mark_up(Machine& machine, Seconds now) {
  if (machine.state == MachineState::Booting) {
    machine.up_since = now;
    auto& newest = newest_first_seen_[machine.host.type];
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

/// A single silent machine has most likely failed itself. If all of several
/// machines are silent at once, they can't reach this node, and each of them would lose its lease
/// although other nodes could renew it. A new leader waits longer, since workers have to find it
/// first.
bool FailureDetector::isolated_from_workers(Seconds now) const {
  const Settings& settings = state_.settings();
  const Seconds isolation_timeout =
      kIsolationTimeoutPeriods * settings.heartbeat_period_s + kNetworkDelayAllowance;
  if (now - latest_heartbeat_ <= isolation_timeout) return false;
  size_t up = 0;
  Seconds latest = state_.failover_at() + kLeaderDiscoveryLeases * settings.lease_s;
  for (const auto& [id, machine] : state_.machines()) {
    if (machine.state != MachineState::Up) continue;
    ++up;
    latest = std::max(latest, machine.last_heartbeat_at);
  }
  return up >= kMinMachinesForPartition && now - latest > isolation_timeout;
}

/// When the worker's lease has certainly expired, counted from the last answer that this leader, a
/// delegate or an earlier leader may have sent to the worker.
Seconds FailureDetector::latest_lease_expiry(const Machine& machine, Seconds now) const {
  Seconds last_answer =
      std::max(machine.last_lease_renewal_at, delegations_.last_answer(machine.host.zone, now));
  if (machine.previous_leader_may_renew)
    last_answer = std::max(last_answer, previous_leader_fenced_at_);
  return last_answer + state_.settings().lease_s * (1 + kMaxClockDrift) + kLeaseMargin;
}

void FailureDetector::expire_leases(Seconds now) {
  for (auto& [id, machine] : state_.machines()) {
    // The lease of a machine that is being released expires as well: the cloud may be unavailable
    // for longer than a lease.
    const bool releasing = machine.state == MachineState::Releasing && machine.may_run_tasks();
    if (!releasing && machine.state != MachineState::Up) continue;
    if (now <= latest_lease_expiry(machine, now)) continue;
    log_info("machine_lease_expired", log_field("machine", id),
             log_field("zone", machine.host.zone), log_field("count", machine.attempts.size()));
    if (!releasing) state_.set_machine_state(machine, MachineState::LeaseExpired);
    machine.fencing_token_acknowledged = false;
    attempts_.remove_all(machine);
    state_.mark_reconciled(machine);
  }
}

/// After a partition the first heartbeats of a zone's machines arrive over a heartbeat period or
/// more. Machines that are still silent when most machines are reachable again are no more likely
/// to have failed than the others, so the silence of every machine in the zone is counted from now
/// on.
void FailureDetector::on_partition_healed(const std::string& zone, Seconds now) {
  for (auto& [id, machine] : state_.machines())
    if (machine.host.zone == zone) machine.partition_healed_at = now;
}

void FailureDetector::update_partitioned_zones(Seconds now) {
  const Settings& settings = state_.settings();
  std::map<std::string, ZonePartitionDetector::Count> zones;
  const Seconds suspicion_timeout = settings.tuning.suspect * settings.lease_s;
  for (const auto& [id, machine] : state_.machines()) {
    if (machine.state != MachineState::Up) continue;
    ZonePartitionDetector::Count& count = zones[machine.host.zone];
    ++count.up;
    const Seconds silence = time_since_heartbeat(machine, now);
    if (silence > suspicion_timeout * kZoneSilenceFraction) ++count.silent;
    if (silence < kRecentHeartbeatPeriods * settings.heartbeat_period_s) ++count.recently_seen;
  }
  for (const auto& zone : zones_.update(zones, now, settings.lease_s))
    on_partition_healed(zone, now);
}

/// Whether a booting machine is assumed never to come up.
bool FailureDetector::boot_failed(const Machine& machine, Seconds now) const {
  if (machine.listed_failed) return true;
  if (zone_partitioned(machine.host.zone)) return false;
  const MachineType* type = state_.find_machine_type(machine.host.type);
  const auto newest = newest_first_seen_.find(machine.host.type);
  const bool later_request_is_up =
      newest != newest_first_seen_.end() && newest->second > machine.first_seen;
  return now - machine.first_seen >
         (later_request_is_up ? kBootTimeoutFactor : kBootTimeoutFactorWhenAllSlow) *
             (type ? type->boot_s : kUnknownTypeBootTime);
}

/// Whether the machine is suspected to have failed, judged by its silence. After a long silence a
/// failed machine is more likely than a failed network. The same holds for a machine whose
/// heartbeat is overdue and that does not answer a probe while many other machines of its zone send
/// heartbeats. Unanswered commands are no reason to wait until the lease expires: nothing runs on
/// the machine once the cloud has terminated it.
bool FailureDetector::suspected(const Machine& machine, Seconds now) const {
  const Settings& settings = state_.settings();
  if (zone_partitioned(machine.host.zone) || !machine.may_run_tasks()) return false;
  if (time_since_heartbeat(machine, now) > settings.tuning.suspect * settings.lease_s) return true;
  return machine.probe_unanswered && heartbeat_overdue(machine, now) &&
         zones_.reachable(machine.host.zone);
}

bool FailureDetector::should_release(const Machine& machine, Seconds now) const {
  switch (machine.state) {
    case MachineState::Booting:
      return boot_failed(machine, now);
    case MachineState::LeaseExpired:
      return now - machine.last_seen_at > state_.settings().lease_s;
    case MachineState::Up:
      return machine.listed_failed ||
             (machine.quarantined() && !machine.may_have_attempts() &&
              failures_.quarantine_confirmed(machine, now)) ||
             suspected(machine, now);
    case MachineState::Releasing:
      return false;
  }
  return false;
}

Seconds FailureDetector::time_since_heartbeat(const Machine& machine, Seconds now) const {
  return now - std::max({machine.last_seen_at, machine.partition_healed_at, observing_since_});
}

bool FailureDetector::heartbeat_overdue(const Machine& machine, Seconds now) const {
  return time_since_heartbeat(machine, now) >
         kHeartbeatOverduePeriods * state_.settings().heartbeat_period_s + kNetworkDelayAllowance;
}

void FailureDetector::probe(Seconds now, std::vector<Action>& actions) {
  for (auto& [id, machine] : state_.machines()) {
    if (machine.state != MachineState::Up || machine.probe_in_flight || machine.host.addr.empty())
      continue;
    const bool token_probe_due = !machine.fencing_token_acknowledged &&
                                 machine.previous_leader_may_renew && !machine.reconciled &&
                                 now >= machine.next_token_probe_at;
    const bool heartbeat_probe_due =
        !machine.probe_unanswered && heartbeat_overdue(machine, now) && machine.may_run_tasks();
    if (!token_probe_due && !heartbeat_probe_due) continue;
    if (token_probe_due) machine.next_token_probe_at = now + state_.settings().heartbeat_period_s;
    machine.probe_in_flight = true;
    actions.emplace_back(Probe{id, machine.host.addr, state_.fencing_token(machine),
                               std::max<uint64_t>(machine.latest_sequence.agent_epoch, 1)});
  }
}

}  // namespace sumacquay
