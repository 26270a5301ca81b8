#pragma once
#include <iosfwd>
#include <string>
#include <vector>

#include "loadtest/load_settings.h"

namespace sumacquay::loadtest {

/// What one trial showed. Rates and shares are means over the time that was measured.
struct Measurement {
  // The size.
  std::string quantity;  ///< what the sweep varies
  double value = 0;      ///< of that quantity
  double machines = 0, tasks = 0, waiting_jobs = 0, teams = 0;
  // While the load is put on.
  double fill_s = 0;  ///< until all of it ran
  double filled = 0;  ///< the share of it that ran by then
  double fill_leader_cpu_s = 0;
  // While it runs.
  double leader_cores = 0;    ///< seconds of processor time a second
  double follower_cores = 0;  ///< the mean of the others
  double leader_mb = 0, follower_mb = 0;
  double leader_sockets = 0, follower_sockets = 0;
  double reports_per_s = 0, orders_per_s = 0;
  double worker_bytes_per_s = 0;  ///< of one worker, both directions
  double state_requests_per_s = 0, state_writes_per_s = 0, state_bytes_per_s = 0;
  double state_keys = 0;
  double cloud_requests_per_s = 0;
  double starts_per_s = 0;
  // Urgent work, from its submission to its first task running.
  double urgent_started = 0;  ///< the share of those submitted
  double urgent_p50_s = 0, urgent_p90_s = 0, urgent_p99_s = 0, urgent_worst_s = 0;
  double accept_p99_s = 0;
  // With faults.
  double takeover_s = 0;  ///< from a leader's end to the next start
  double violations = 0;
  double leases_lost = 0;
  double standin_cores = 0;  ///< of this process: above 0.9 the trial measures itself
};

/// A column of the table of measurements.
struct Column {
  const char* name;
  double Measurement::*field;
};
const std::vector<Column>& columns();

void write_header(std::ostream& out);
void write_row(std::ostream& out, const Measurement& measurement);
/// Reads a table back; throws SettingsError if a line is not one of a table. Columns that are
/// missing stay 0.
std::vector<Measurement> read_table(const std::string& path);

}  // namespace sumacquay::loadtest
