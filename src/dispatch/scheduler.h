#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.h"
#include "dispatch/actions.h"
#include "dispatch/arrival_forecast.h"
#include "dispatch/attempt_tracker.h"
#include "dispatch/autoscaler.h"
#include "dispatch/capacity_view.h"
#include "dispatch/cluster_state.h"
#include "dispatch/command_dispatcher.h"
#include "dispatch/failure_attribution.h"
#include "dispatch/failure_detector.h"
#include "dispatch/fleet_summary_log.h"
#include "dispatch/gang_start_barrier.h"
#include "dispatch/heartbeat_size_guard.h"
#include "dispatch/placement_round.h"
#include "dispatch/preemptor.h"
#include "dispatch/quota_tracker.h"
#include "dispatch/rebalancer.h"
#include "dispatch/reconciler.h"
#include "dispatch/record_ingestion.h"
#include "dispatch/record_planner.h"
#include "dispatch/record_queue.h"
#include "dispatch/record_write.h"
#include "dispatch/scheduling_queue.h"
#include "dispatch/work_counters.h"

namespace sumacquay {

/// Makes all decisions of the leader, without I/O. Its inputs are events and the time, its outputs
/// actions and record writes. The node that holds the leader lease owns one Scheduler for its term:
/// it passes on records and responses, in any order and with any delay, carries out the actions and
/// writes, and reports the outcome of each. This class owns the modules, dispatches each event to
/// its module, and defines the order of steps in a tick.
///
/// A task is never started while an earlier attempt of it may still be present, nor before the
/// records that a later leader needs to find it are durable.
///
/// Times are in seconds of a steady clock and never decrease from one call to the next.
class Scheduler {
 public:
  /// `previous_leader_fenced_at`: the latest time at which an earlier leader may have responded to
  /// workers. `wall_offset`: the wall-clock time minus the steady time, used only for the arrival
  /// and completion times of jobs.
  Scheduler(const Settings& settings, uint64_t term, Seconds now, Seconds previous_leader_fenced_at,
            Seconds wall_offset = 0);
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Records from the key-value store.

  /// Applies a job's live record after it was read or written. Versions that are not newer than the
  /// stored one are ignored.
  void on_job_record(const JobRecord& record, uint64_t version, Seconds now) {
    ingestion_.on_job_record(record, version, now);
  }
  /// Removes a job that is no longer among the live records.
  void on_job_finished(const std::string& id) { ingestion_.on_job_finished(id); }
  /// Applies the final state of a job that other jobs depend on, from its finished record.
  void on_dependency_finished(const std::string& id, const FinishedRecord& record) {
    ingestion_.on_dependency_finished(id, record);
  }
  /// Dependencies that are not among the live jobs. The node reads their finished records.
  const std::set<std::string>& unknown_dependencies() const {
    return state_.dependencies().unknown_jobs();
  }
  /// Adds a machine from its record, read at the failover. Tasks may be on the machine until it is
  /// reconciled.
  void restore_machine(const HostRecord& host, Seconds now) {
    ingestion_.restore_machine(host, now);
  }
  /// Adds an image that the previous leader listed as cached on a machine. The information may be
  /// wrong and is used only for placement.
  void on_cached_image(const std::string& machine_id, const std::string& image, double size_gb);
  /// Returns the writes of one transaction with at most `max_mutations` mutations, the most urgent
  /// first. Each write is in flight until `on_write_answered`.
  std::vector<RecordWrite> plan_writes(Seconds now, size_t max_mutations) {
    return record_planner_.plan_writes(now, max_mutations);
  }
  /// Applies the outcome of a write. Unless `committed`, the write may still be applied at any
  /// later time.
  void on_write_answered(const RecordWrite& write, bool committed, uint64_t version, Seconds now) {
    record_planner_.on_write_answered(write, committed, version, now);
  }

  // Workers.

  using HeartbeatResponse = sumacquay::HeartbeatResponse;
  /// Applies a worker's periodic heartbeat. The response renews the worker's lease, so it is sent
  /// only while the leader may respond. Without `may_act` it contains only stop commands for tasks
  /// of jobs that have ended.
  HeartbeatResponse on_heartbeat(const WorkerHeartbeat& heartbeat, bool may_act, Seconds now) {
    return reconciler_.on_heartbeat(heartbeat, may_act, now);
  }
  /// Handles the outcome of `SendCommands`. `executed` is false if the commands may still be
  /// carried out later.
  void on_commands_answered(const std::string& machine_id,
                            const std::optional<WorkerHeartbeat>& heartbeat, bool executed,
                            Seconds now) {
    reconciler_.on_commands_answered(machine_id, heartbeat, executed, now);
  }
  /// Handles the outcome of a `Probe`; `heartbeat` is none if the worker did not respond.
  void on_probe_answered(const std::string& machine_id,
                         const std::optional<WorkerHeartbeat>& heartbeat, Seconds now) {
    reconciler_.on_probe_answered(machine_id, heartbeat, now);
  }
  /// Handles a probe that was not sent for lack of a socket. It says nothing about the machine,
  /// which is probed again.
  void on_probe_not_sent(const std::string& machine_id) {
    reconciler_.on_probe_not_sent(machine_id);
  }
  /// Earlier leaders are fenced and can no longer respond to workers.
  void on_previous_leader_fenced(Seconds now) { failure_detector_.on_previous_leader_fenced(now); }
  /// Nodes that respond to workers of their zone on behalf of this leader while the workers cannot
  /// reach it.
  DelegationTracker& delegations() { return failure_detector_.delegations(); }

  // Cloud.

  /// Sets the machine types in the cloud's catalog. Without them, no machine is requested and no
  /// task is placed.
  void set_machine_types(std::vector<MachineType> types) {
    state_.set_machine_types(std::move(types));
  }
  /// Applies the cloud's list of machines, which may lag behind requests and releases.
  void on_machines_listed(const std::vector<ListedMachine>& machines, Seconds now) {
    autoscaler_.on_machines_listed(machines, now);
  }
  using ScaleOutOutcome = sumacquay::ScaleOutOutcome;
  /// Handles the outcome of a `ScaleOut`, which is retried while its outcome is unknown.
  void on_scale_out_answered(const ScaleOut& request, ScaleOutOutcome outcome,
                             const std::vector<std::string>& machines, Seconds now) {
    autoscaler_.on_scale_out_answered(request, outcome, machines, now);
  }
  /// Handles the outcome of a `ScaleIn`. `ok`: the cloud has terminated all of its machines.
  void on_scale_in_answered(const ScaleIn& release, bool ok, Seconds now) {
    autoscaler_.on_scale_in_answered(release, ok, now);
  }

  // Periodic work.

  /// Expires leases, runs a placement round if one is due, scales the fleet, and sends commands and
  /// probes. Called only while the leader may act.
  std::vector<Action> tick(Seconds now);
  /// Returns the commands that can be sent before the next tick because the record writes that they
  /// waited for are committed. Empty without prompt dispatch, where only ticks send commands.
  std::vector<Action> dispatch(Seconds now);
  /// Makes the next tick run a placement round, after a change that affects placement.
  void request_round() { next_round_ = 0; }

  // Queries.

  /// Whether workers can no longer reach this node, so that another node should lead.
  bool isolated_from_workers(Seconds now) const {
    return failure_detector_.isolated_from_workers(now);
  }
  /// Whether few attempt numbers or fencing tokens of this term are left. Numbers are never reused,
  /// and those past the end of the term's range belong to later terms, so the node must obtain a
  /// new term.
  bool term_nearly_exhausted() const { return state_.token_allocator().nearly_exhausted(); }
  /// The number of running tasks by job, for display.
  std::unordered_map<std::string, uint32_t> running_counts() const;
  /// Whether every machine known at the failover has reported its tasks or has lost its lease.
  bool all_reconciled() const { return state_.all_reconciled(); }
  const std::unordered_map<std::string, Job>& jobs() const { return state_.jobs(); }
  const std::map<std::string, Machine>& machines() const { return state_.machines(); }
  uint64_t term() const { return state_.term(); }
  const WorkCounters& work_counters() const { return work_counters_; }

 private:
  // Declared in order of their dependencies on one another.
  WorkCounters work_counters_;
  ArrivalForecast arrivals_;
  ClusterState state_;
  FailureAttribution failures_;
  CommandDispatcher commands_;
  GangStartBarrier gang_starts_;
  RecordQueue record_queue_;
  AttemptTracker attempts_;
  FailureDetector failure_detector_;
  HeartbeatSizeGuard heartbeat_sizes_;
  Reconciler reconciler_;
  RecordIngestion ingestion_;
  RecordPlanner record_planner_;
  CapacityView capacity_;
  Autoscaler autoscaler_;
  SchedulingQueue queue_;
  QuotaTracker quota_;
  Preemptor preemptor_;
  PlacementRound round_;
  Rebalancer rebalancer_;
  FleetSummaryLog summary_log_;
  Seconds next_round_ = 0;
};

}  // namespace sumacquay
