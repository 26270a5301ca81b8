#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "autoscaling/scale_out_planner.h"
#include "backlog/dispatch_backlog.h"
#include "config/settings.h"
#include "dispatch/actions.h"
#include "dispatch/arrival_forecast.h"
#include "dispatch/host_record_writes.h"
#include "dispatch/job_state.h"
#include "dispatch/record_write.h"
#include "dispatch/scale_out_requests.h"
#include "dispatch/zone_partition_detector.h"
#include "fleet/machine.h"
#include "jobs/dependency_graph.h"
#include "jobs/fair_share.h"
#include "jobs/record.h"
#include "leadership/fencing_token_allocator.h"
#include "leadership/lease_delegation.h"
#include "placement/placement.h"

namespace sumacquay {

/// All that a leader decides, without I/O: events and the time go in, actions and writes come out.
/// The node that holds the leader's lease owns one for its term. It passes on what it reads, hears
/// and is answered, in any order and with any delay; it carries out actions and writes, and
/// heartbeats back on each of them. A task is never started where an earlier start of it may still
/// be present, nor before the records that tell a later leader of it are durable.
///
/// Times are steady times, which never go back from one call to the next.
class Scheduler {
 public:
  /// `previous_leader_fenced_at`: until when an earlier leader may have answered workers, at the
  /// latest. `wall_offset`: the time of day less the steady time; arrivals alone are judged by it.
  Scheduler(const Settings& settings, uint64_t term, Seconds now, Seconds previous_leader_fenced_at,
            Seconds wall_offset = 0);

  // Records: called as the node follows the state service.

  /// A job's live record as it was read or written. Older versions than are known change nothing.
  void on_job_record(const JobRecord& record, uint64_t version, Seconds now);
  /// The job has left the live records.
  void on_job_finished(const std::string& id);
  /// How a job ended that others depend on, as its record among the finished ones tells.
  void on_dependency_finished(const std::string& id, const FinishedRecord& record);
  /// Jobs that others depend on and that are not live: the node is to tell how they ended.
  const std::set<std::string>& unknown_dependencies() const { return dependencies_.unknown(); }
  /// A machine's record, at the takeover: tasks may be on it until its worker has reported.
  void restore_machine(const HostRecord& host, Seconds now);
  /// What the leader before knew of a machine's images. A hint: placement alone looks at it.
  void on_cached_image(const std::string& machine, const std::string& image, double gb);
  /// The writes for one transaction, the most urgent first. Each is under way until
  /// `on_write_answered`.
  std::vector<RecordWrite> plan_writes(Seconds now, size_t most_changes);
  /// `committed`: certainly carried out. Otherwise it may be carried out at any later time.
  void on_write_answered(const RecordWrite& write, bool committed, uint64_t version, Seconds now);

  // Workers.

  struct HeartbeatAnswer {
    bool fresh = false;  ///< false: a late copy, which nobody waits for
    uint64_t fencing_token = 0;
    std::vector<Command> commands;
  };
  /// A worker's own heartbeat. The answer renews its lease, so it goes out only while the leader
  /// may answer; without `may_act` it carries nothing but stops of jobs that have ended.
  HeartbeatAnswer on_heartbeat(const WorkerHeartbeat& heartbeat, bool may_act, Seconds now);
  /// The outcome of `SendCommands`; `executed` unless the commands may still be carried out later.
  void on_commands_answered(const std::string& id, const std::optional<WorkerHeartbeat>& heartbeat,
                            bool executed, Seconds now);
  /// The outcome of a `Probe`; no heartbeat if there was no answer.
  void on_probe_answered(const std::string& id, const std::optional<WorkerHeartbeat>& heartbeat,
                         Seconds now);
  /// There was no socket for the probe: nothing is known of the machine, and it is asked again.
  void on_probe_not_sent(const std::string& id);
  /// No earlier leader can answer a worker any more.
  void on_previous_leader_fenced(Seconds now);
  /// Nodes that answer workers of their zone in this leader's place while they can't hear it.
  Delegations& delegations() { return delegations_; }

  // Cloud.

  /// The catalog. Without one nothing is rented or placed.
  void set_machine_types(std::vector<MachineType> types) { types_ = std::move(types); }
  /// The cloud's list of machines, which may lag behind rents and releases.
  void on_machines_listed(const std::vector<ListedMachine>& machines, Seconds now);
  using ScaleOutOutcome = sumacquay::ScaleOutOutcome;
  /// The outcome of a `ScaleOut`, which is sent again while it is unknown.
  void on_scale_out_answered(const ScaleOut& rent, ScaleOutOutcome outcome,
                             const std::vector<std::string>& machines, Seconds now);
  /// The outcome of a `ScaleIn`; `ok`: the cloud has taken all its machines back.
  void on_scale_in_answered(const ScaleIn& release, bool ok, Seconds now);

  /// Expired leases, a placement round, provisioning and orders. Only while the leader may act.
  std::vector<Action> tick(Seconds now);

  /// Commands that can go out between two ticks, once what they waited for has been written. Costs
  /// what it sends. Empty without prompt dispatch: then orders go out with ticks alone.
  std::vector<Action> dispatch(Seconds now);

  /// Whether no worker gets through to this node any more, so that another should lead.
  bool isolated_from_workers(Seconds now) const;

  /// Whether this term has few numbers left for attempts or for a machine's fencing tokens. They
  /// are never used twice, and those past the end are a later leader's: the node is to get a new
  /// term.
  bool term_nearly_exhausted() const { return token_allocator_.nearly_exhausted(); }

  /// What rounds cost, in things done: grows with what happens, not with who waits.
  struct Work {
    size_t rounds = 0, victim_lists = 0;
    size_t dispatch_checks = 0;  ///< machines and jobs looked at for orders and writes
    size_t adoption_checks = 0;  ///< attempts compared with a task that was found running
  };
  const Work& work() const { return work_; }

  /// Something has changed that a round should see: the next tick has one.
  void request_round() { next_round_ = 0; }
  /// Tasks that run, by job; for display.
  std::unordered_map<std::string, uint32_t> running_counts() const;
  /// Whether every machine known at the takeover has told what it has, or has lost its lease.
  bool all_reconciled() const { return unreconciled_machines_ == 0; }
  const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  uint64_t term() const { return term_; }

 private:
  // leader_core.cpp
  uint64_t fencing_token(const Machine& machine) const {
    return token_allocator_.with_term(machine.counter);
  }
  const Job* find_job(const std::string& id) const;
  Job* find_job(const std::string& id);
  const MachineType* type(const std::string& name) const;
  void record_progress(Seconds now);
  void advance_fencing_token(Machine& machine);

  // record_writes.cpp
  enum class WritePriority { Start, Done, Progress, Finished, None };  ///< the most urgent first
  class WriteBatch;
  void add_host_writes(WriteBatch& batch);
  bool add_job_writes(WriteBatch& batch, Seconds now);
  bool add_pending_job_writes(WriteBatch& batch, Seconds now);
  void add_host_write(WriteBatch& batch, const std::string& id, const Machine& machine);
  void add_job_write(WriteBatch& batch, Job& job, Seconds now);
  void add_host_deletions(WriteBatch& batch);
  WritePriority write_priority(const Job& job, Seconds now) const;
  RecordWrite write_for(const Job& job, Seconds now) const;
  /// Cancelled because a job that it depends on is; its record doesn't say so yet.
  bool cancelled_by_dependency(const Job& job) const;
  static Ranges done_for_record(const Job& job);
  std::optional<std::vector<std::string>> possible_hosts(const Job& job) const;
  bool absent_everywhere(const Job& job) const {
    return job.possible_placements.empty() && !placement_unknown(job);
  }

  // dependents.cpp
  void track_dependencies(const JobRecord& record);
  bool ready(const Job& job) const { return dependencies_.ready(job.spec().id); }
  uint64_t arrival_ms(const Job& job) const;
  Seconds arrival(const Job& job) const;
  void inherit_priority(Job& job);
  void raise_priority(const std::string& id, Priority priority);
  void count_arrival(Job& job);

  // reports.cpp
  Machine& find_or_add_machine(const WorkerHeartbeat& heartbeat, Seconds now);
  void reconcile(Machine& machine, const WorkerHeartbeat& r, bool absence_counts, Seconds now);
  void begin_agent_epoch(Machine& machine, Seconds now);
  void mark_up(Machine& machine, Seconds now);
  void remove_unlisted(Machine& machine, const WorkerHeartbeat& r, Seconds now);
  void accept_worker(Machine& machine, Seconds now);
  void reconcile_task(Machine& machine, const TaskStatus& t, Seconds now);
  void mark_reconciled(Machine& machine);

  // task_runs.cpp
  void adopt_attempt(Machine& machine, const TaskAttemptId& key, TaskAttempt& attempt, Job& job,
                     Seconds now);
  void mark_image_used(Machine& machine, const std::string& image, double gb);
  void handle_exit(Machine& machine, const TaskAttemptId& key, TaskAttempt& attempt, Seconds now);
  /// The only place that changes a run's phase.
  void set_attempt_state(Machine& machine, const TaskAttemptId& key, TaskAttempt& attempt,
                         TaskAttemptState next, Seconds now);
  void add_possible_placement(Machine& machine, const TaskAttemptId& key);
  void remove_possible_placement(Machine& machine, const TaskAttemptId& key);
  void remove_attempt(Machine& machine, const TaskAttemptId& key);
  void remove_all_attempts(Machine& machine);
  void request_stop(TaskAttempt& attempt, bool graceful, Seconds now);
  void request_stop_on(const std::string& machine, const TaskAttemptId& key, Seconds now);
  void stop_job(Job& job, bool graceful, Seconds now);
  void stop_gang_of(const TaskKey& key, Seconds now);

  // commands.cpp
  std::vector<Command> commands_for(Machine& machine, bool forget);
  /// Cancelled or finished, as far as this leader knows.
  bool ended(const std::string& id) const;
  bool startable(const Machine& machine, const TaskAttemptId& key,
                 const TaskAttempt& attempt) const;
  void dispatch_starts(Seconds now, std::vector<Action>& out);
  void dispatch_starts_to(const std::string& id, Machine& machine, Seconds now,
                          std::vector<Action>& out);
  bool has_commands(const Machine& machine) const;

  // backlog.cpp
  bool prompt() const { return settings_.tuning.prompt_dispatch; }
  void enqueue_commands(const Machine& machine);
  void enqueue_commands_of(const Job& job);
  void enqueue_machine_record(const Machine& machine);
  void enqueue_job_record(const Job& job, Seconds now);
  void fill_backlog(Seconds now);

  // failures.cpp
  /// Whether the job fails wherever it is started, as one that was submitted with a mistake does.
  /// It is tried with one task at a time, less and less often, and stops nobody.
  bool crash_looping(const Job& job) const;
  void record_task_failure(Machine& machine, Job& job, Seconds now);
  void record_task_success(Job& job, Seconds now);
  void attribute_failure(Machine& machine, const Job& job, Seconds now);
  void clear_failures(const Job& job);
  bool runs_steadily(const Job& job, Seconds now) const;
  bool quarantine_confirmed(const Machine& machine, Seconds now) const;

  // waiting_jobs.cpp
  std::vector<Job*> scheduling_queue(Seconds now);
  bool may_be_placed(Job& job, Seconds now);
  bool placement_unknown(const Job& job) const;
  size_t remaining_quota(const Job& job) const;
  void count_quota_usage();
  void find_jobs_within_fair_share(const std::vector<Job*>& waiting);

  // rounds.cpp
  void run_placement_round(Seconds now);
  std::vector<CandidateMachine> capacity_snapshot(Seconds now, bool booting) const;
  bool capacity_settled(Seconds now) const;
  /// The most tasks of an array or a service that a round looks at.
  size_t max_tasks_per_round() const;
  std::optional<PlacementRequest> create_placement_request(Job& job, size_t max_tasks);
  bool image_fetch_misses_objective(const Job& job) const;
  void place_where_image_cached(Job& job, PlacementRequest& placement_request,
                                std::vector<CandidateMachine>& candidates, Seconds now);
  void place_what_fits(Job& job, PlacementRequest& placement_request,
                       std::vector<CandidateMachine>& candidates, Seconds now);
  void start_assignments(Job& job, const std::vector<Assignment>& assignments,
                         const std::vector<CandidateMachine>& candidates, Seconds now);
  bool schedulable(const Machine& machine, Seconds now) const;

  // preemption.cpp
  void preempt_for(Job& job, PlacementRequest& placement_request,
                   std::vector<CandidateMachine>& candidates, Seconds now);
  void reserve_partial_gang(Job& job, PlacementRequest& placement_request,
                            std::vector<CandidateMachine>& candidates, Seconds now);
  void preempt_for(Job& job, PlacementRequest& placement_request,
                   std::vector<CandidateMachine>& candidates, const std::vector<Victim>& victims,
                   Seconds now);
  std::optional<Seconds> earliest_on_new_machine(const JobSpec& spec, Seconds now) const;
  bool late(const Job& job, Seconds takes, Seconds now) const;
  bool preemptible(PlacementRequest placement_request, std::vector<CandidateMachine> candidates,
                   const std::vector<Victim>& victims) const;
  Seconds loss_of(const Job& job, const TaskAttempt& attempt, Seconds now) const;
  std::vector<Victim> list_victims(const std::vector<CandidateMachine>& candidates,
                                   Seconds now) const;
  const std::vector<Victim>& victims_in_round(const std::vector<CandidateMachine>& candidates,
                                              Seconds now);
  void mark_preempted(const Victim& gone);

  // moves.cpp
  void rebalance(Seconds now);
  size_t finish_evictions(Seconds now);
  std::vector<size_t> eviction_candidates(const std::vector<CandidateMachine>& candidates) const;
  bool evictable(const Machine& machine, TentativePlacement& elsewhere, Seconds now);
  void drain(Machine& machine, const char* why, Seconds now);

  // machine_lifecycle.cpp
  /// The only place that changes a machine's stage.
  void set_machine_state(Machine& machine, MachineState next);
  void expire_leases(Seconds now);
  Seconds latest_lease_expiry(const Machine& machine, Seconds now) const;
  void update_partitioned_zones(Seconds now);
  void on_partition_healed(const std::string& zone, Seconds now);
  bool boot_failed(const Machine& machine, Seconds now) const;
  bool suspected(const Machine& machine, Seconds now) const;
  bool should_release(const Machine& machine, Seconds now) const;
  void probe(Seconds now, std::vector<Action>& out);
  Seconds time_since_heartbeat(const Machine& machine, Seconds now) const;
  bool heartbeat_overdue(const Machine& machine, Seconds now) const;

  // renting.cpp
  void scale_out(Seconds now, std::vector<Action>& out);
  void request_instances(const ScaleOutRequest& scale_out_request, std::vector<Action>& out);
  std::vector<InstanceOffering> offerings(Seconds now) const;
  Seconds longest_boot_time() const;

  // releases.cpp
  void scale_in_idle(Seconds now);
  bool has_headroom(TentativePlacement& trial, Seconds now) const;
  void scale_in(Seconds now, std::vector<Action>& out);

  // fleet_summary.cpp
  void log_fleet_summary(Seconds now);

  const Settings& settings_;
  uint64_t term_;
  Seconds failover_at_;                ///< when this leader took over
  Seconds previous_leader_fenced_at_;  ///< until then earlier leaders may have answered workers
  bool previous_leader_fenced_ =
      false;             ///< none of them answers any more, which was learnt before the fence
  Seconds wall_offset_;  ///< the time of day less the steady time
  Seconds last_event_;   ///< when this leader was last told anything, or had a tick
  Seconds
      listening_since_;  ///< the takeover, later by all pauses since: nobody is silent for longer
  Delegations delegations_;
  FencingTokenAllocator token_allocator_;
  size_t unreconciled_machines_ =
      0;  ///< machines of the takeover that have not told what they have
  std::unordered_map<std::string, Job> jobs_;
  DependencyGraph dependencies_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Seconds> released_;  ///< machines the cloud took back: they are gone
  /// By type: when the last rented of those that this leader saw boot was rented.
  std::map<std::string, Seconds> newest_booted_;
  ZonePartitionDetector zone_partition_detector_;
  HostRecordWrites host_record_writes_;
  DispatchBacklog backlog_;  ///< records with prompt dispatch alone
  std::vector<MachineType> types_;
  ScaleOutRequests scale_out_requests_;
  std::unordered_map<std::string, Resources> quota_usage_;  ///< by team
  ArrivalForecast arrivals_;
  std::optional<std::vector<Victim>> victims_;  ///< of this round, once anybody has asked
  JobIds within_fair_share_;                ///< in this round: jobs within their team's guarantee
  RunningResources running_resources_;      ///< of this round, once the victims are listed
  std::vector<PlacementRequest> unplaced_;  ///< of the last round; used in the same tick only
  Seconds next_round_ = 0, next_scale_out_ = 0, next_scale_in_ = 0, next_rebalance_ = 0,
          next_summary_ = 0;
  bool scale_in_in_flight_ = false;
  Seconds latest_heartbeat_ = 0;  ///< of any machine
  Work work_;
};

}  // namespace sumacquay
