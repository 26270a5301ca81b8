#pragma once
#include "dispatch/cluster_state.h"

namespace sumacquay {

/// Decides whether a failed task is the job's fault or the machine's. A job that fails on several
/// machines without a success in between is crash looping: it is retried with one task at a time
/// and growing backoff. A machine on which several jobs fail is quarantined. The counts are kept
/// with the jobs and machines of the ClusterState; this class owns no state.
class FailureAttribution {
 public:
  explicit FailureAttribution(ClusterState& state) : state_(state) {}

  /// Whether the job fails wherever it is started, as one that was submitted with a mistake does.
  bool crash_looping(const Job& job) const;
  /// A task of the job has failed on the machine.
  void record_task_failure(Machine& machine, Job& job, Seconds now);
  /// A task of the job has succeeded or runs steadily, so where it failed the machine is at fault.
  void record_task_success(Job& job, Seconds now);
  /// Takes the job's failures back from the machines on which it failed: they show nothing.
  void clear_failures(const Job& job);
  /// Whether a task of the job has run for a worker's lease: replicas never end by themselves.
  bool runs_steadily(const Job& job, Seconds now) const;
  /// Whether a quarantined machine is certainly at fault, so that it may be released. Jobs that
  /// fail everywhere show it on other machines after a while, and their failures are cleared.
  bool quarantine_confirmed(const Machine& machine, Seconds now) const;

 private:
  void attribute_to_machine(Machine& machine, const Job& job, Seconds now);

  ClusterState& state_;
};

}  // namespace sumacquay
