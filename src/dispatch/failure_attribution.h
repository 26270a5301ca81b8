#pragma once
#include "dispatch/cluster_state.h"

namespace sumacquay {

/// Decides whether a failed task is the job's fault or the machine's. A job that fails on several
/// machines without a success in between is crash looping: it is retried one task at a time with
/// exponential backoff. A machine on which several jobs fail is quarantined. The counts are kept in
/// the jobs and machines of the ClusterState; this class owns no state.
class FailureAttribution {
 public:
  explicit FailureAttribution(ClusterState& state) : state_(state) {}

  /// Whether the job has failed on so many machines since its last success that the job itself must
  /// be faulty, for example because it was submitted with an error.
  bool crash_looping(const Job& job) const;
  /// Records that a task of the job has failed on the machine.
  void record_task_failure(Machine& machine, Job& job, Seconds now);
  /// Records that a task of the job has succeeded or runs steadily, so that the job's failures are
  /// attributed to the machines on which they occurred.
  void record_task_success(Job& job, Seconds now);
  /// Removes the job's failures from the machines on which it failed, as they don't indicate a
  /// fault of the machines.
  void clear_failures(const Job& job);
  /// Whether a task of the job has been running for longer than the worker lease. Counts as a
  /// success, because replicas of a service never exit by themselves.
  bool runs_steadily(const Job& job, Seconds now) const;
  /// Whether a quarantined machine is certainly at fault, so that it may be released. A job that
  /// fails everywhere is found crash looping in the meantime, which clears its failures here.
  bool quarantine_confirmed(const Machine& machine, Seconds now) const;

 private:
  void attribute_to_machine(Machine& machine, const Job& job, Seconds now);

  ClusterState& state_;
};

}  // namespace sumacquay
