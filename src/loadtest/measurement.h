#pragma once
#include <iosfwd>
#include <string>
#include <vector>

#include "loadtest/load_settings.h"

namespace sumacquay::loadtest {

/// Results of one trial. Rates and CPU usage are means over the measurement interval.
struct Measurement {
  // Size.
  std::string quantity;  ///< setting varied by the sweep, or the phase
  double value = 0;      ///< value of that setting
  double machines = 0, tasks = 0, waiting_jobs = 0, teams = 0;
  // While the fleet is filled.
  double fill_s = 0;  ///< until all tasks ran, or the timeout
  double filled = 0;  ///< fraction of the tasks that ran by then
  double fill_leader_cpu_s = 0;
  // Steady state.
  double leader_cores = 0;    ///< CPU seconds per second
  double follower_cores = 0;  ///< mean of the followers
  double leader_mb = 0, follower_mb = 0;
  double leader_sockets = 0, follower_sockets = 0;
  double heartbeats_per_s = 0, commands_per_s = 0;
  double worker_bytes_per_s = 0;  ///< mean of a worker, both directions
  double state_requests_per_s = 0, state_writes_per_s = 0, state_bytes_per_s = 0;
  double state_keys = 0;
  double cloud_requests_per_s = 0;
  double starts_per_s = 0;
  // Urgent jobs: time from submission to the first running task.
  double urgent_started = 0;  ///< fraction of the submitted jobs
  double urgent_p50_s = 0, urgent_p90_s = 0, urgent_p99_s = 0, urgent_worst_s = 0;
  double accept_p99_s = 0;
  // Faults.
  double takeover_s = 0;  ///< from the leader's kill to the next task start
  double violations = 0;
  double leases_lost = 0;
  double simulator_cores = 0;  ///< of this process: above 0.9 it is the bottleneck
};

/// A numeric column of the CSV table.
struct Column {
  const char* name;
  double Measurement::*field;
};
const std::vector<Column>& columns();

void write_header(std::ostream& out);
void write_row(std::ostream& out, const Measurement& measurement);
/// Reads a CSV table; throws SettingsError if the header is missing or a row has another number of
/// cells. Fields without a column stay 0, and unknown columns are ignored.
std::vector<Measurement> read_table(const std::string& path);

}  // namespace sumacquay::loadtest
