#pragma once
#include <map>
#include <string>
#include <vector>

#include "dispatch/actions.h"
#include "dispatch/attempt_tracker.h"
#include "dispatch/cluster_state.h"
#include "dispatch/failure_attribution.h"
#include "dispatch/zone_partition_detector.h"
#include "leadership/lease_delegation.h"

namespace sumacquay {

/// Detects failed machines and partitioned zones, expires workers' leases, probes machines whose
/// heartbeats are late, and detects when no worker can reach this leader. Owns the state that this
/// requires: the start of the observation, the partitioned zones, and the times until which earlier
/// leaders and delegates may have answered workers.
///
/// In case of doubt a task counts as present: it is gone only once its worker's lease has certainly
/// expired.
class FailureDetector {
 public:
  /// `previous_leader_fenced_at`: the time until which an earlier leader may answer workers.
  FailureDetector(ClusterState& state, AttemptTracker& attempts, const FailureAttribution& failures,
                  Seconds now, Seconds previous_leader_fenced_at);

  // Events.

  /// Called for every event before it is handled. A process that was paused, or busy for a long
  /// time, received no heartbeats in the meantime, so a long gap between events is not counted as
  /// silence of the machines. Only the gap itself is excluded; otherwise a leader with slow rounds
  /// would never suspect a machine.
  void record_event(Seconds now);
  /// Records a heartbeat that the worker sent by itself, not in answer to a command or a probe.
  void record_heartbeat(Machine& machine, Seconds now);
  /// Called when a heartbeat arrives: a machine that was booting, or whose lease had expired, is
  /// up.
  void mark_up(Machine& machine, Seconds now);
  /// Called once no earlier leader can answer a worker any more.
  void on_previous_leader_fenced(Seconds now);
  /// The delegates: nodes that answer the workers of their zone on behalf of this leader while the
  /// nodes can't reach it.
  DelegationTracker& delegations() { return delegations_; }

  // Periodic checks.

  /// Removes all attempts from machines whose workers' leases have certainly expired.
  void expire_leases(Seconds now);
  /// Counts the silent machines of each zone and determines which zones are partitioned.
  void update_partitioned_zones(Seconds now);
  /// Appends a `Probe` for each machine that an earlier leader recorded and that has not
  /// acknowledged this leader's fencing token yet, and for each machine whose heartbeat is overdue.
  void probe(Seconds now, std::vector<Action>& actions);

  // Queries.

  /// Seconds since the last heartbeat of the machine, not counting pauses of this process and the
  /// time before its zone's last partition healed.
  Seconds time_since_heartbeat(const Machine& machine, Seconds now) const;
  bool heartbeat_overdue(const Machine& machine, Seconds now) const;
  /// Whether the machine is to be released although it isn't idle.
  bool should_release(const Machine& machine, Seconds now) const;
  bool zone_partitioned(const std::string& zone) const { return zones_.partitioned(zone); }
  /// Whether no worker can reach this node any more, so that another node should lead.
  bool isolated_from_workers(Seconds now) const;

 private:
  Seconds latest_lease_expiry(const Machine& machine, Seconds now) const;
  void on_partition_healed(const std::string& zone, Seconds now);
  bool boot_failed(const Machine& machine, Seconds now) const;
  bool suspected(const Machine& machine, Seconds now) const;

  ClusterState& state_;
  AttemptTracker& attempts_;
  const FailureAttribution& failures_;
  DelegationTracker delegations_;
  Seconds previous_leader_fenced_at_;
  bool previous_leader_fenced_ = false;  ///< confirmed before `previous_leader_fenced_at_`
  Seconds last_event_at_;
  /// Start of the observation: the time of the failover, plus all pauses of this process since
  /// then. No machine counts as silent for longer.
  Seconds observing_since_;
  Seconds latest_heartbeat_ = 0;  ///< from any machine
  ZonePartitionDetector zones_;
  /// By machine type: the latest `first_seen` of the machines that came up under this leader.
  std::map<std::string, Seconds> newest_first_seen_;
};

}  // namespace sumacquay
