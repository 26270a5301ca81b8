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

/// All that a leader decides, without I/O: events and the time go in, actions and record writes
/// come out. The node that holds the leader's lease owns one for its term. It passes on what it
/// reads and is answered, in any order and with any delay; it carries out actions and writes, and
/// reports the outcome of each. This class owns the modules, passes each event to the module it
/// concerns, and fixes the order of a tick.
///
/// A task is never started where an earlier attempt of it may still be present, nor before the
/// records that tell a later leader of it are durable.
///
/// Times are steady times in seconds, which never go back from one call to the next.
class Scheduler {
 public:
  /// `previous_leader_fenced_at`: until when an earlier leader may have answered workers, at the
  /// latest. `wall_offset`: the time of day less the steady time; arrivals alone are judged by it.
  Scheduler(const Settings& settings, uint64_t term, Seconds now, Seconds previous_leader_fenced_at,
            Seconds wall_offset = 0);
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Records, as the node follows the key-value store.

  /// A job's live record as it was read or written. Older versions than are known change nothing.
  void on_job_record(const JobRecord& record, uint64_t version, Seconds now) {
    ingestion_.on_job_record(record, version, now);
  }
  /// The job has left the live records.
  void on_job_finished(const std::string& id) { ingestion_.on_job_finished(id); }
  /// How a job ended that others depend on, from its record among the finished ones.
  void on_dependency_finished(const std::string& id, const FinishedRecord& record) {
    ingestion_.on_dependency_finished(id, record);
  }
  /// Jobs that others depend on and that are not live: the node is to find out how they ended.
  const std::set<std::string>& unknown_dependencies() const {
    return state_.dependencies().unknown();
  }
  /// A machine's record, at the failover: tasks may be on it until its worker has sent a heartbeat.
  void restore_machine(const HostRecord& host, Seconds now) {
    ingestion_.restore_machine(host, now);
  }
  /// An image that the leader before believed on a machine. A hint: placement alone uses it.
  void on_cached_image(const std::string& machine_id, const std::string& image, double size_gb);
  /// The writes for one transaction, the most urgent first. Each is in flight until
  /// `on_write_answered`.
  std::vector<RecordWrite> plan_writes(Seconds now, size_t max_changes) {
    return record_planner_.plan_writes(now, max_changes);
  }
  /// `committed`: certainly carried out. Otherwise it may be carried out at any later time.
  void on_write_answered(const RecordWrite& write, bool committed, uint64_t version, Seconds now) {
    record_planner_.on_write_answered(write, committed, version, now);
  }

  // Workers.

  using HeartbeatAnswer = sumacquay::HeartbeatAnswer;
  /// A worker's own heartbeat. The answer renews its lease, so it goes out only while the leader
  /// may answer; without `may_act` it has nothing but stops of jobs that have ended.
  HeartbeatAnswer on_heartbeat(const WorkerHeartbeat& heartbeat, bool may_act, Seconds now) {
    return reconciler_.on_heartbeat(heartbeat, may_act, now);
  }
  /// The outcome of `SendCommands`; `executed` unless the commands may still be carried out later.
  void on_commands_answered(const std::string& machine_id,
                            const std::optional<WorkerHeartbeat>& heartbeat, bool executed,
                            Seconds now) {
    reconciler_.on_commands_answered(machine_id, heartbeat, executed, now);
  }
  /// The outcome of a `Probe`; no heartbeat if there was no answer.
  void on_probe_answered(const std::string& machine_id,
                         const std::optional<WorkerHeartbeat>& heartbeat, Seconds now) {
    reconciler_.on_probe_answered(machine_id, heartbeat, now);
  }
  /// There was no socket for the probe: nothing is known of the machine, and it is probed again.
  void on_probe_not_sent(const std::string& machine_id) {
    reconciler_.on_probe_not_sent(machine_id);
  }
  /// No earlier leader can answer a worker any more.
  void on_previous_leader_fenced(Seconds now) { failure_detector_.on_previous_leader_fenced(now); }
  /// Nodes that answer workers of their zone in this leader's place while they can't reach it.
  Delegations& delegations() { return failure_detector_.delegations(); }

  // Cloud.

  /// The catalog. Without one nothing is requested or placed.
  void set_machine_types(std::vector<MachineType> types) {
    state_.set_machine_types(std::move(types));
  }
  /// The cloud's list of machines, which may lag behind requests and releases.
  void on_machines_listed(const std::vector<ListedMachine>& machines, Seconds now) {
    autoscaler_.on_machines_listed(machines, now);
  }
  using ScaleOutOutcome = sumacquay::ScaleOutOutcome;
  /// The outcome of a `ScaleOut`, which is sent again while it is unknown.
  void on_scale_out_answered(const ScaleOut& request, ScaleOutOutcome outcome,
                             const std::vector<std::string>& machines, Seconds now) {
    autoscaler_.on_scale_out_answered(request, outcome, machines, now);
  }
  /// The outcome of a `ScaleIn`; `ok`: the cloud has taken all its machines back.
  void on_scale_in_answered(const ScaleIn& release, bool ok, Seconds now) {
    autoscaler_.on_scale_in_answered(release, ok, now);
  }

  // Time.

  /// Lease expiry, a placement round, scaling and commands. Only while the leader may act.
  std::vector<Action> tick(Seconds now);
  /// Commands that can go out between two ticks, once what they waited for has been written. Empty
  /// without prompt dispatch: then commands go out with ticks alone.
  std::vector<Action> dispatch(Seconds now);
  /// Something has changed that a round should see: the next tick has one.
  void request_round() { next_round_ = 0; }

  // What the node asks.

  /// Whether no worker reaches this node any more, so that another should lead.
  bool isolated_from_workers(Seconds now) const {
    return failure_detector_.isolated_from_workers(now);
  }
  /// Whether this term has few numbers left for attempts or fencing tokens. They are never used
  /// twice, and those past the end are a later leader's: the node is to get a new term.
  bool term_nearly_exhausted() const { return state_.token_allocator().nearly_exhausted(); }
  /// Tasks that run, by job; for display.
  std::unordered_map<std::string, uint32_t> running_counts() const;
  /// Whether every machine known at the failover has told what it has, or has lost its lease.
  bool all_reconciled() const { return state_.all_reconciled(); }
  const std::unordered_map<std::string, Job>& jobs() const { return state_.jobs(); }
  const std::map<std::string, Machine>& machines() const { return state_.machines(); }
  uint64_t term() const { return state_.term(); }
  const WorkCounters& work() const { return work_; }

 private:
  // In the order in which they depend on one another.
  WorkCounters work_;
  ArrivalForecast arrivals_;
  ClusterState state_;
  FailureAttribution failures_;
  CommandDispatcher commands_;
  RecordQueue record_queue_;
  AttemptTracker attempts_;
  FailureDetector failure_detector_;
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
