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

/// What the leader knows of its cluster: jobs, machines, attempts, where each task may be, and how
/// jobs depend on one another. Owned by the Scheduler for one term; the other modules of this
/// package read it and change it through the functions below. It decides nothing and does no I/O.
class ClusterState {
 public:
  /// `wall_offset`: the time of day less the steady time, in seconds; arrivals alone use it.
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
  /// The time of day in milliseconds that a steady time stands for.
  uint64_t time_of_day_ms(Seconds steady) const;

  // Jobs.

  std::unordered_map<std::string, Job>& jobs() { return jobs_; }
  const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }
  /// Null if the job is not among the live ones.
  Job* find_job(const std::string& id);
  const Job* find_job(const std::string& id) const;
  /// Whether the job is cancelled or finished, as far as this leader knows.
  bool ended(const std::string& id) const;

  // Dependencies between jobs.

  DependencyGraph& dependencies() { return dependencies_; }
  const DependencyGraph& dependencies() const { return dependencies_; }
  /// Takes in a job's dependencies. A job that is over stays among the live ones until nothing of
  /// it is left anywhere, and the graph keeps it only for those that it knows to depend on it.
  void track_dependencies(const JobRecord& record);
  /// Whether all jobs that it depends on are done.
  bool ready(const Job& job) const { return dependencies_.ready(job.spec().id); }
  /// When the job began to count as waiting: a job with dependencies arrives when the last of them
  /// is done. In milliseconds of the time of day, and in steady time.
  uint64_t arrival_ms(const Job& job) const;
  Seconds arrival(const Job& job) const;
  /// Sets the priority of a new job, and raises that of the jobs it depends on.
  void inherit_priority(Job& job);
  /// Whether a job that it depends on was cancelled, which its own record doesn't say yet.
  bool cancelled_by_dependency(const Job& job) const;

  // Machines.

  std::map<std::string, Machine>& machines() { return machines_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  /// Null if there is no such machine.
  Machine* find_machine(const std::string& id);
  const Machine* find_machine(const std::string& id) const;
  /// Machines that the cloud has taken back, and when: nothing runs on them.
  std::map<std::string, Seconds>& released_machines() { return released_machines_; }
  const std::map<std::string, Seconds>& released_machines() const { return released_machines_; }
  /// The cloud's catalog; empty until it has been read.
  void set_machine_types(std::vector<MachineType> types) { machine_types_ = std::move(types); }
  const std::vector<MachineType>& machine_types() const { return machine_types_; }
  /// Null if the catalog has no such type.
  const MachineType* find_machine_type(const std::string& name) const;
  /// The only place that changes a machine's state.
  void set_machine_state(Machine& machine, MachineState next);
  /// Records that the machine holds the image, as its most recently used one.
  void record_image_use(Machine& machine, const std::string& image, double size_gb) const;

  // Reconciliation after a failover.

  /// A machine of an earlier leader's records: tasks may be on it until it is reconciled.
  void add_unreconciled_machine() { ++unreconciled_machines_; }
  /// The machine has told what it has, or certainly has nothing.
  void mark_reconciled(Machine& machine);
  bool all_reconciled() const { return unreconciled_machines_ == 0; }

  // Attempts: where tasks are, or may be.

  void add_possible_placement(Machine& machine, const TaskAttemptId& id);
  void remove_possible_placement(Machine& machine, const TaskAttemptId& id);
  void remove_attempt(Machine& machine, const TaskAttemptId& id);
  /// Whether tasks of the job may be on machines that nobody has reconciled since the failover.
  bool placement_unknown(const Job& job) const;
  /// Whether no task of the job can be anywhere.
  bool absent_everywhere(const Job& job) const {
    return job.possible_placements.empty() && !placement_unknown(job);
  }

  // Fencing tokens and attempt numbers.

  FencingTokenAllocator& token_allocator() { return token_allocator_; }
  const FencingTokenAllocator& token_allocator() const { return token_allocator_; }
  /// The token in force at the machine's worker.
  uint64_t fencing_token(const Machine& machine) const {
    return token_allocator_.with_term(machine.counter);
  }
  /// Ends whatever was commanded under the token before, however late it arrives.
  void advance_fencing_token(Machine& machine);

 private:
  void raise_priority(const std::string& id, Priority priority);

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

/// Where a task's attempts may be, flattened: calls `visit(task, placement)` for each of them, in
/// the order of tasks, machines and attempts.
template <class Visit>
void for_each_possible_placement(const Job& job, Visit&& visit) {
  for (const auto& [task, placements] : job.possible_placements)
    for (const TaskPlacement& placement : placements) visit(task, placement);
}

}  // namespace sumacquay
