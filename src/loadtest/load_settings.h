#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "config/number_file.h"
#include "jobs/spec.h"

namespace sumacquay::loadtest {

/// The size of a deployment that is played on this machine, and the load on it. Numbers, so that a
/// sweep can vary any of them. The operators' format (number_file.h) holds them.
struct LoadSettings {
  // The fleet.
  double machines = 100;
  double tasks_per_machine = 4;  ///< each takes one GPU; machines have that many
  double controllers = 5;
  double zones = 5;
  double teams = 20;
  // The work.
  double low_share = 0.2;   ///< of all tasks: lowest priority, gives way to urgent work
  double service_size = 8;  ///< replicas of a service, and tasks of a lowest-priority job
  double gang_size = 0;     ///< 0: no gangs
  double gang_share = 0.1;  ///< of all tasks, if there are gangs
  double waiting_jobs = 0;  ///< jobs that find no room while the load is measured
  double urgent_per_s = 1;  ///< jobs of one task that find no room unless others give way
  double urgent_run_s = 3;
  double polls_per_s = 20;  ///< users' questions
  // Times of the protocol.
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
  double worker_sockets_per_machine = 3;  ///< of the simulators, for each machine
  // Phases.
  double fill_s = 120;  ///< for the load to run
  double settle_s = 8;  ///< before it is measured
  double measure_s = 15;
  double first_port = 21000;

  size_t tasks() const;
};

/// Every field with its name and range, in the order of the declaration.
std::vector<NumberField> fields_of(LoadSettings& settings);

/// Reads a file; throws SettingsError.
LoadSettings load_settings_file(const std::string& path);

/// Throws SettingsError, which names the field, if this machine has no room for the deployment:
/// half of its memory, and the sockets that a process may open.
void check_fits_this_machine(const LoadSettings& settings, const std::string& source);

}  // namespace sumacquay::loadtest
