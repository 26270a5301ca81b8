#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "config/number_file.h"
#include "jobs/spec.h"

namespace sumacquay::loadtest {

/// Size of a deployment simulated on this machine, and its load. All fields are numbers, so that a
/// sweep can vary any of them. The file format is that of the operators' settings (number_file.h).
struct LoadSettings {
  // The fleet.
  double machines = 100;
  double tasks_per_machine = 4;  ///< GPUs of a machine: each task uses one
  double controllers = 5;
  double zones = 5;
  double teams = 20;
  // The workload.
  double low_share = 0.2;   ///< of all tasks: lowest priority, preemptible by urgent jobs
  double service_size = 8;  ///< replicas of a service; tasks of a lowest-priority job
  double gang_size = 0;     ///< 0: no gangs
  double gang_share = 0.1;  ///< of all tasks, if there are gangs
  double waiting_jobs = 0;  ///< jobs without capacity, pending during the measurement
  double urgent_per_s = 1;  ///< one-task jobs that start only by preemption
  double urgent_run_s = 3;
  double polls_per_s = 20;  ///< users' status requests
  // Protocol intervals and timeouts.
  double heartbeat_period_s = 6;
  double lease_s = 31;
  double cancel_s = 51;
  double fetch_s = 0.5;
  double boot_s = 20;
  // Limits of the platform.
  double state_rps = 7500;
  double state_write_rps = 900;
  double state_value_kb = 8;
  double state_txn_ops = 24;
  double cloud_rps = 90;
  double controller_sockets = 12000;
  double worker_sockets_per_machine = 3;  ///< of the simulators' process, for each machine
  // Phases.
  double fill_s = 120;  ///< timeout for all tasks to run
  double settle_s = 8;  ///< pause before the measurement
  double measure_s = 15;
  double first_port = 21000;

  size_t tasks() const;
};

/// All fields with their names and ranges, in declaration order.
std::vector<NumberField> fields_of(LoadSettings& settings);

/// Reads a settings file; throws SettingsError if it is invalid.
LoadSettings read_load_settings(const std::string& path);

/// Throws SettingsError, which names the field, if the deployment needs more than half of this
/// machine's memory or more sockets than a process may open.
void check_host_capacity(const LoadSettings& settings, const std::string& source);

}  // namespace sumacquay::loadtest
