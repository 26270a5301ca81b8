#pragma once
#include <string>
#include <vector>

#include "loadtest/load_settings.h"
#include "simulators/submitted_jobs.h"

namespace sumacquay::loadtest {

/// Generates the jobs of a trial with unique ids, assigned to the teams in round-robin order.
class Workload {
 public:
  explicit Workload(const LoadSettings& settings) : settings_(settings) {}

  /// Jobs that occupy the whole fleet: services, gangs and preemptible low-priority jobs.
  std::vector<simulators::SubmittedJob> initial_jobs();
  /// A one-task job that stays pending on a full fleet: its priority is the lowest, so that it
  /// can't preempt any task.
  simulators::SubmittedJob waiting_job();
  /// A one-task job that may preempt the low-priority jobs.
  simulators::SubmittedJob urgent_job();

 private:
  simulators::SubmittedJob job(JobKind kind, Priority priority, size_t tasks, Seconds run_s);

  const LoadSettings& settings_;
  size_t next_job_number_ = 0;
};

/// The only machine type of a trial's cloud.
MachineType machine_type(const LoadSettings& settings);

}  // namespace sumacquay::loadtest
