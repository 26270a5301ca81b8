// The load test: its settings, fits and tables, and a small deployment of real controllers under
// the faults that it injects.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "loadtest/fit.h"
#include "loadtest/quantiles.h"
#include "loadtest/sweep.h"

namespace sumacquay::loadtest {
namespace {

struct TemporaryDirectory {
  std::string path = (std::filesystem::temp_directory_path() / "loadtest-XXXXXX").string();
  TemporaryDirectory() { EXPECT_NE(mkdtemp(path.data()), nullptr); }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
};

/// The error with which the settings are rejected; empty if they are accepted.
std::string settings_error(const LoadSettings& settings) {
  try {
    check_host_capacity(settings, "load.conf");
  } catch (const SettingsError& error) {
    return error.what();
  }
  return "";
}

TEST(LoadSettings, ParsesFileAndRejectsInvalidValues) {
  const TemporaryDirectory directory;
  const std::string path = directory.path + "/load.conf";
  std::ofstream(path) << "machines = 12 # few\ngang_size = 3\n";
  const LoadSettings settings = read_load_settings(path);
  EXPECT_EQ(settings.machines, 12);
  EXPECT_EQ(settings.gang_size, 3);
  EXPECT_EQ(settings.tasks(), 48u);
  std::ofstream(path) << "machines = 1.5\n";
  EXPECT_THROW(read_load_settings(path), SettingsError);
  std::ofstream(path) << "maschines = 1\n";
  EXPECT_THROW(read_load_settings(path), SettingsError);
  EXPECT_THROW(read_load_settings(directory.path + "/none"), SettingsError);
}

TEST(LoadSettings, RejectsLoadBeyondThisMachine) {
  LoadSettings settings;
  EXPECT_EQ(settings_error(settings), "");
  settings.machines = 60000;
  settings.tasks_per_machine = 1000;
  EXPECT_NE(settings_error(settings).find("machines"), std::string::npos);
  settings = {};
  settings.controller_sockets = 999999;
  EXPECT_NE(settings_error(settings).find("controller_sockets"), std::string::npos);
  EXPECT_THROW(check_plan({"no_such_thing", {1}}, {}, "sweep"), SettingsError);
  EXPECT_THROW(check_plan({"machines", {10, 1e9}}, {}, "sweep"), SettingsError);
}

TEST(Workload, FillsFleetExactly) {
  LoadSettings settings;
  settings.machines = 37;
  settings.gang_size = 5;
  Workload workload(settings);
  size_t tasks = 0;
  size_t gangs = 0;
  for (const auto& job : workload.initial_jobs()) {
    tasks += job.spec.tasks;
    if (job.spec.kind == JobKind::Gang) ++gangs;
  }
  EXPECT_EQ(tasks, settings.tasks());
  EXPECT_EQ(gangs, 2u);
}

TEST(PowerLawFit, FindsExponentAndResidual) {
  std::vector<double> x;
  std::vector<double> y;
  for (const double point : {1, 2, 4, 8, 16}) {
    x.push_back(point);
    y.push_back(3 * std::pow(point, 1.7));
  }
  const PowerLawFit exact = fit_power_law(x, y);
  EXPECT_NEAR(exact.exponent, 1.7, 1e-9);
  EXPECT_NEAR(exact.factor, 3, 1e-9);
  EXPECT_NEAR(exact.residual, 0, 1e-9);
  EXPECT_NEAR(exact.evaluate(100), 3 * std::pow(100, 1.7), 1e-6);
  y[2] *= 2;
  EXPECT_GT(fit_power_law(x, y).residual, 0.1);
  EXPECT_EQ(fit_power_law({1}, {1}).exponent, 0) << "one point has no slope";
}

TEST(MeasurementTable, RoundTripsAndResumesInterruptedSweep) {
  const TemporaryDirectory directory;
  const std::string path = directory.path + "/table.csv";
  Measurement row;
  row.quantity = "machines";
  row.value = row.machines = 400;
  row.leader_cores = 0.25;
  append_rows(path, {row});
  row.value = row.machines = 1600;
  row.leader_cores = 0.5;
  append_rows(path, {row});
  const auto rows = read_table(path);
  ASSERT_EQ(rows.size(), 2u);
  EXPECT_EQ(rows[1].machines, 1600);
  EXPECT_NE(format_report(rows).find("| leader_cores | 0.5 | 0.5 | "), std::string::npos)
      << format_report(rows);
  // All points are in the table already: nothing is measured, so the program need not exist.
  run_sweep({"machines", {400, 1600}}, {}, {"/no/such/program", directory.path, ""}, path, true);
  EXPECT_EQ(read_table(path).size(), 2u);
}

TEST(Quantiles, MatchObservations) {
  Quantiles quantiles;
  EXPECT_TRUE(std::isnan(quantiles.quantile(0.5)));
  for (int i = 1; i <= 1000; ++i) quantiles.observe(i);
  EXPECT_NEAR(quantiles.quantile(0.5), 500, 20);
  EXPECT_NEAR(quantiles.quantile(0.99), 990, 10);
  EXPECT_EQ(quantiles.max(), 1000);
}

/// A deployment that is tested within seconds: three controllers in three zones.
LoadSettings small_deployment(double machines, double sockets, double first_port) {
  LoadSettings settings;
  settings.machines = machines;
  settings.controllers = 3;
  settings.zones = 3;
  settings.teams = 4;
  settings.heartbeat_period_s = 0.5;
  settings.lease_s = 6;
  settings.cancel_s = 14;
  settings.settle_s = 1;
  settings.measure_s = 2;
  settings.first_port = first_port;
  settings.controller_sockets = sockets;
  return settings;
}

/// Ends the leader, then a follower, then silences a zone. Expects that urgent jobs start through
/// each fault and that no rule is broken.
std::vector<Measurement> measure_faults_without_violations(LoadTest& load_test) {
  auto faults = load_test.measure_faults();
  EXPECT_EQ(faults.size(), 3u);
  for (const auto& fault : faults)
    EXPECT_GT(fault.urgent_started, 0) << "fault: " << fault.quantity;
  EXPECT_EQ(load_test.violations(), std::vector<std::string>{});
  return faults;
}

TEST(LoopbackDeployment, BreaksNoRuleUnderControllerFailuresAndSilentZone) {
  const TemporaryDirectory directory;
  LoadSettings settings = small_deployment(12, 500, 20900);
  settings.gang_size = 2;
  LoadTest load_test(settings, {SUMACQUAY_PROGRAM, directory.path, "prompt_dispatch = 1\n"});
  const Measurement load = load_test.measure_load();
  EXPECT_EQ(load.filled, 1);
  EXPECT_GT(load.leader_sockets, settings.machines);
  measure_faults_without_violations(load_test);
}

/// The sockets left for workers are about half as many as the workers. They share the connections
/// in turn, both in steady state and when all workers reconnect at once, to a new leader or from a
/// zone that was silent.
TEST(LoopbackDeployment, KeepsAllLeasesWithHalfAsManySocketsAsWorkers) {
  const TemporaryDirectory directory;
  const LoadSettings settings = small_deployment(120, 130, 20500);
  LoadTest load_test(settings, {SUMACQUAY_PROGRAM, directory.path, ""});
  const Measurement load = load_test.measure_load();
  EXPECT_EQ(load.filled, 1);
  EXPECT_LT(load.leader_sockets, settings.controller_sockets);
  EXPECT_EQ(load.leases_lost, 0);
  for (const auto& fault : measure_faults_without_violations(load_test)) {
    EXPECT_EQ(fault.leases_lost, 0) << "fault: " << fault.quantity;
    EXPECT_LT(fault.leader_sockets, settings.controller_sockets) << "fault: " << fault.quantity;
  }
}

}  // namespace
}  // namespace sumacquay::loadtest
