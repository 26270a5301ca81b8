#pragma once
#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "loadtest/controller_process.h"
#include "loadtest/controller_settings.h"
#include "loadtest/load_settings.h"
#include "loadtest/measurement.h"
#include "loadtest/quantiles.h"
#include "loadtest/workload.h"
#include "simulators/cloud_server.h"
#include "simulators/key_value_store_server.h"
#include "simulators/users.h"

namespace sumacquay::loadtest {

/// Paths and extra settings of the controllers under test.
struct LoadTestOptions {
  std::string program;    ///< the controller's executable
  std::string directory;  ///< settings and logs of the controllers
  std::string tuning;     ///< additional lines of the operators' settings
};

/// One trial of a deployment on loopback: real controllers in child processes, and in this process
/// the simulated key-value store, cloud, workers and users.
class LoadTest {
 public:
  LoadTest(const LoadSettings& settings, LoadTestOptions options);
  ~LoadTest();

  /// Starts the controllers, fills the fleet with tasks and measures the steady state.
  Measurement measure_load();
  /// Requires `measure_load`. Kills the leader, then a follower, then partitions a zone, and
  /// measures the effect of each fault on urgent jobs.
  std::vector<Measurement> measure_faults();
  const std::vector<std::string>& violations() const { return checker_.violations(); }

 private:
  /// Counters and resource usage at one time; rates are computed from two of them.
  struct Snapshot {
    Seconds taken_at = 0;
    std::vector<ProcessUsage> controllers;
    ProcessUsage this_process;
    simulators::WorkerCounts workers;
    simulators::KeyValueStoreServerCounts state;
    simulators::CloudCounts cloud;
    size_t starts = 0;
  };

  void start_controllers();
  void fill_fleet(Measurement& measurement);
  void submit_waiting_jobs();
  void schedule_urgent_job();
  void set_urgent_load(bool enabled);
  Measurement measure(const std::string& phase, Seconds duration);
  void add_rates(Measurement& measurement, const Snapshot& before, const Snapshot& after) const;
  void add_urgent_results(Measurement& measurement);
  Snapshot snapshot() const;
  Measurement measure_leader_killed();
  Measurement measure_follower_killed();
  Measurement measure_zone_silent();
  void run_for(Seconds duration);
  bool run_until(const std::function<bool()>& condition, Seconds timeout);
  /// The index of the running controller that the leader record in the key-value store names.
  std::optional<size_t> find_leader() const;
  void on_task_running(const std::string& id);
  void check_controllers_running();

  LoadSettings settings_;
  LoadTestOptions options_;
  Addresses addresses_;
  asio::io_context io_{1};
  simulators::SubmittedJobs jobs_;
  simulators::RuleChecker checker_;
  simulators::WorkerContext context_;
  simulators::SimulatedFleet fleet_;
  std::unique_ptr<simulators::KeyValueStoreServer> state_;
  std::unique_ptr<simulators::CloudServer> cloud_;
  std::unique_ptr<simulators::Users> users_;
  std::vector<ControllerProcess> controllers_;
  Workload workload_;
  asio::steady_timer urgent_timer_;
  bool urgent_enabled_ = false;
  Quantiles accept_times_;
  std::unique_ptr<Quantiles> urgent_start_times_;
  size_t urgent_submitted_ = 0;
};

}  // namespace sumacquay::loadtest
