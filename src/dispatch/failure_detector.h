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

/// Finds machines that have failed and zones that are partitioned, expires workers' leases, probes
/// machines whose heartbeats are late, and notices when no worker reaches this leader. Owns what
/// that takes: since when the leader has been listening, the partitioned zones, until when earlier
/// leaders and delegated responders may have answered workers.
///
/// Doubt counts as presence: a task is gone only once its worker's lease has certainly expired.
class FailureDetector {
 public:
  /// `previous_leader_fenced_at`: until when an earlier leader may have answered workers.
  FailureDetector(ClusterState& state, AttemptTracker& attempts, const FailureAttribution& failures,
                  Seconds now, Seconds previous_leader_fenced_at);

  // Events.

  /// Called with every event, before it is acted on. A process that was paused, or busy for long,
  /// has received nothing meanwhile and must not take that for the machines' silence. No more than
  /// the pause itself is taken off, or a leader with slow rounds would never suspect a machine.
  void record_event(Seconds now);
  /// A worker's own heartbeat has arrived.
  void record_heartbeat(Machine& machine, Seconds now);
  /// The machine has been heard: it is up, if it was booting or its lease had expired.
  void mark_up(Machine& machine, Seconds now);
  /// No earlier leader can answer a worker any more.
  void on_previous_leader_fenced(Seconds now);
  /// Nodes that answer workers of their zone in this leader's place while they can't reach it.
  Delegations& delegations() { return delegations_; }

  // What a tick does.

  /// Removes what ran on machines whose workers' leases have certainly expired.
  void expire_leases(Seconds now);
  /// Counts the zones' machines anew and finds out which zones are partitioned.
  void update_partitioned_zones(Seconds now);
  /// Appends a `Probe` for each machine that this leader has not met yet or that is late with a
  /// heartbeat.
  void probe(Seconds now, std::vector<Action>& actions);

  // Judgements.

  /// Seconds since the machine was last heard, without the time in which it could not be.
  Seconds time_since_heartbeat(const Machine& machine, Seconds now) const;
  bool heartbeat_overdue(const Machine& machine, Seconds now) const;
  /// Whether the machine is to be given back although it isn't idle.
  bool should_release(const Machine& machine, Seconds now) const;
  bool zone_partitioned(const std::string& zone) const { return zones_.partitioned(zone); }
  /// Whether no worker reaches this node any more, so that another node should lead.
  bool isolated_from_workers(Seconds now) const;

 private:
  Seconds latest_lease_expiry(const Machine& machine, Seconds now) const;
  void on_partition_healed(const std::string& zone, Seconds now);
  bool boot_failed(const Machine& machine, Seconds now) const;
  bool suspected(const Machine& machine, Seconds now) const;

  ClusterState& state_;
  AttemptTracker& attempts_;
  const FailureAttribution& failures_;
  Delegations delegations_;
  Seconds previous_leader_fenced_at_;
  bool previous_leader_fenced_ = false;  ///< known before the time above
  Seconds last_event_at_;
  /// The failover, later by all pauses since: no machine has been silent for longer.
  Seconds listening_since_;
  Seconds latest_heartbeat_ = 0;  ///< of any machine
  ZonePartitionDetector zones_;
  /// By machine type: when the last requested machine of those that this leader saw boot was first
  /// seen.
  std::map<std::string, Seconds> newest_booted_;
};

}  // namespace sumacquay
