#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.h"
#include "dispatch/job_state.h"
#include "fleet/machine.h"
#include "jobs/dependency_graph.h"
#include "jobs/record.h"
#include "leadership/fencing_token_allocator.h"

namespace sumacquay {

/// The leader's state of its cluster: jobs and the dependencies between them, machines, task
/// attempts, and the machines on which each task may be present. Owned by the Scheduler for one
/// term; the other modules of this package read it and change it through the functions below. It
/// makes no decisions and does no I/O.
class ClusterState {
 public:
  /// `wall_offset`: the wall-clock time minus the steady time, in seconds. Only the arrival and
  /// completion times of jobs depend on it.
  ClusterState(const Settings& settings, uint64_t term, Seconds now, Seconds wall_offset)
      : settings_(settings),
        term_(term),
        failover_at_(now),
        wall_offset_(wall_offset),
        token_allocator_(term) {}

  const Settings& settings() const { return settings_; }
  uint64_t term() const { return term_; }
  /// When this leader began its term.
  Seconds failover_at() const { return failover_at_; }
  /// Converts a steady time to Unix time in milliseconds.
  uint64_t unix_time_ms(Seconds steady) const;

  // Jobs.

  std::unordered_map<std::string, Job>& jobs() { return jobs_; }
  const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }
  /// Null if the job has no live record.
  Job* find_job(const std::string& id);
  const Job* find_job(const std::string& id) const;
  /// Whether the job is cancelled or finished according to the records that this leader has read.
  /// True for a job without a live record.
  bool job_ended(const std::string& id) const;

  // Dependencies between jobs.

  DependencyGraph& dependencies() { return dependencies_; }
  const DependencyGraph& dependencies() const { return dependencies_; }
  /// Adds a job's dependencies to the graph, together with their recorded states. The graph drops a
  /// finished job that has no known dependents, while its live record remains until none of its
  /// tasks can be present on any machine, so a new dependent may refer to a job that the graph
  /// lacks.
  void track_dependencies(const JobRecord& record);
  /// Whether all dependencies of the job are done.
  bool ready(const Job& job) const { return dependencies_.ready(job.spec().id); }
  /// When the job started to wait for placement: a job with dependencies arrives when the last of
  /// them is done. `arrival_ms` is a Unix time in milliseconds, `arrival` the same as a steady
  /// time.
  uint64_t arrival_ms(const Job& job) const;
  Seconds arrival(const Job& job) const;
  /// Sets the priority of a new job to the highest of its own and its dependents' priorities, and
  /// raises the priority of its dependencies to at least that.
  void inherit_priority(Job& job);
  /// Whether a pending job that has not started depends on a cancelled job, which its own record
  /// does not show yet.
  bool cancelled_by_dependency(const Job& job) const;

  // Machines.

  std::map<std::string, Machine>& machines() { return machines_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  /// Null if there is no such machine.
  Machine* find_machine(const std::string& id);
  const Machine* find_machine(const std::string& id) const;
  /// Machines that the cloud has released, with the time of the release. Nothing runs on them.
  std::map<std::string, Seconds>& released_machines() { return released_machines_; }
  const std::map<std::string, Seconds>& released_machines() const { return released_machines_; }
  /// The cloud's catalog of machine types; empty until it has been read. Adds to each capacity the
  /// space that a worker's heartbeat has for tasks.
  void set_machine_types(std::vector<MachineType> types);
  const std::vector<MachineType>& machine_types() const { return machine_types_; }
  /// Null if the catalog has no such type.
  const MachineType* find_machine_type(const std::string& name) const;
  /// Every change of a machine's state goes through this function.
  void set_machine_state(Machine& machine, MachineState next);
  /// Records the image as cached on the machine and as its most recently used one.
  void record_image_use(Machine& machine, const std::string& image, double size_gb) const;

  // Reconciliation after a failover.

  /// Counts a machine that was restored from an earlier leader's records. Tasks may be present on
  /// it until it is reconciled.
  void add_unreconciled_machine() { ++unreconciled_machines_; }
  /// Marks the machine as reconciled: its worker has reported its tasks, or certainly runs none.
  void mark_reconciled(Machine& machine);
  bool all_reconciled() const { return unreconciled_machines_ == 0; }

  // Task attempts and the machines on which they may be present.

  void add_possible_placement(Machine& machine, const TaskAttemptId& id);
  void remove_possible_placement(Machine& machine, const TaskAttemptId& id);
  void remove_attempt(Machine& machine, const TaskAttemptId& id);
  /// Null if the leader has no such attempt.
  TaskAttempt* find_attempt(const TaskKey& task, const TaskPlacement& placement);
  const TaskAttempt* find_attempt(const TaskKey& task, const TaskPlacement& placement) const;
  /// The number of the job's tasks whose image fetches are to go on.
  size_t image_fetches_left(const Job& job) const;
  /// Whether tasks of the job may be on machines that have not been reconciled since the failover.
  bool placement_unknown(const Job& job) const;
  /// Whether no task of the job can be present on any machine.
  bool absent_everywhere(const Job& job) const {
    return job.possible_placements.empty() && !placement_unknown(job);
  }

  /// Upper bound on the bytes that a task of the job takes in the heartbeat of its worker.
  double heartbeat_bytes_per_task(const JobSpec& spec) const;
  /// Whether the worker may forget this attempt, which has exited. It keeps a completed one until
  /// the job's record lists the task as done.
  bool may_discard(const TaskAttemptId& id, const TaskAttempt& attempt) const;

  // Fencing tokens and attempt numbers.

  FencingTokenAllocator& token_allocator() { return token_allocator_; }
  const FencingTokenAllocator& token_allocator() const { return token_allocator_; }
  /// The fencing token in force for the machine's worker.
  uint64_t fencing_token(const Machine& machine) const {
    return token_allocator_.with_term(machine.fencing_token_counter);
  }
  /// The lowest fencing token of this leader's term.
  uint64_t first_fencing_token() const { return token_allocator_.with_term(0); }
  /// The lowest fencing token whose acknowledgement shows that the worker rejects all commands
  /// without an answer.
  uint64_t required_fencing_token(const Machine& machine) const {
    return token_allocator_.with_term(machine.required_token_counter);
  }
  /// Invalidates commands that were not answered and may still arrive. The machine counts as not
  /// acknowledged until its worker has shown the new token.
  void fence_unanswered_commands(Machine& machine);
  /// Invalidates copies of requests that the worker has carried out. Nothing waits for the new
  /// token: until the worker has seen it, the worker still knows the attempts that these requests
  /// started, and then copies have no effect.
  void fence_copies_of_starts(Machine& machine);

 private:
  void raise_priority(const std::string& id, Priority priority);
  void advance_fencing_token(Machine& machine);

  const Settings& settings_;
  uint64_t term_;
  Seconds failover_at_;
  Seconds wall_offset_;
  FencingTokenAllocator token_allocator_;
  std::unordered_map<std::string, Job> jobs_;
  DependencyGraph dependencies_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Seconds> released_machines_;
  std::vector<MachineType> machine_types_;
  size_t unreconciled_machines_ = 0;
};

/// Calls `visit(task, placement)` for each possible placement of the job's tasks, in the order of
/// tasks, machines and attempts.
template <class Visit>
void for_each_possible_placement(const Job& job, Visit&& visit) {
  for (const auto& [task, placements] : job.possible_placements)
    for (const TaskPlacement& placement : placements) visit(task, placement);
}

}  // namespace sumacquay
