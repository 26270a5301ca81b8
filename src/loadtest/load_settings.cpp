#include "loadtest/load_settings.h"

#include <sys/resource.h>
#include <unistd.h>

#include <cmath>

namespace sumacquay::loadtest {
namespace {

/// Measured memory usage over all processes, per machine, task and controller.
constexpr double kBytesPerMachine = 160e3;
constexpr double kBytesPerTask = 6e3;
constexpr double kBytesPerController = 60e6;
constexpr double kMaxMemoryFraction = 0.5;
constexpr double kSpareSockets = 500;

constexpr double kMaxMachines = 60000;

}  // namespace

size_t LoadSettings::tasks() const {
  return static_cast<size_t>(machines * tasks_per_machine);
}

std::vector<NumberField> fields_of(LoadSettings& settings) {
  constexpr double kMaxCount = 1e6;
  constexpr double kMaxSeconds = 3600;
  return {{"machines", &settings.machines, {1, kMaxMachines}, true},
          {"tasks_per_machine", &settings.tasks_per_machine, {1, 1000}, true},
          {"controllers", &settings.controllers, {1, 9}, true},
          {"zones", &settings.zones, {1, 50}, true},
          {"teams", &settings.teams, {1, 10000}, true},
          {"low_share", &settings.low_share, {0, 1}},
          {"service_size", &settings.service_size, {1, kMaxCount}, true},
          {"gang_size", &settings.gang_size, {0, 10000}, true},
          {"gang_share", &settings.gang_share, {0, 1}},
          {"waiting_jobs", &settings.waiting_jobs, {0, kMaxCount}, true},
          {"urgent_per_s", &settings.urgent_per_s, {0, 1000}},
          {"urgent_run_s", &settings.urgent_run_s, {0.1, kMaxSeconds}},
          {"polls_per_s", &settings.polls_per_s, {0, kMaxCount}},
          {"report_s", &settings.heartbeat_period_s, {0.1, kMaxSeconds}},
          {"lease_s", &settings.lease_s, {1, kMaxSeconds}},
          {"cancel_s", &settings.cancel_s, {1, kMaxSeconds}},
          {"fetch_s", &settings.fetch_s, {0, kMaxSeconds}},
          {"boot_s", &settings.boot_s, {0, kMaxSeconds}},
          {"state_rps", &settings.state_rps, {1, kMaxCount}},
          {"state_write_rps", &settings.state_write_rps, {1, kMaxCount}},
          {"state_value_kb", &settings.state_value_kb, {1, 1000}},
          {"state_txn_ops", &settings.state_txn_ops, {2, 1000}, true},
          {"cloud_rps", &settings.cloud_rps, {0.1, kMaxCount}},
          {"controller_sockets", &settings.controller_sockets, {32, kMaxCount}, true},
          {"worker_sockets_per_machine", &settings.worker_sockets_per_machine, {2, 10}},
          {"fill_s", &settings.fill_s, {1, kMaxSeconds}},
          {"settle_s", &settings.settle_s, {0, kMaxSeconds}},
          {"measure_s", &settings.measure_s, {1, kMaxSeconds}},
          {"first_port", &settings.first_port, {1024, 60000}, true}};
}

LoadSettings read_load_settings(const std::string& path) {
  LoadSettings settings;
  read_numbers(read_settings_file(path), path, fields_of(settings));
  return settings;
}

void check_host_capacity(const LoadSettings& settings, const std::string& source) {
  const double memory_bytes =
      static_cast<double>(sysconf(_SC_PHYS_PAGES)) * static_cast<double>(sysconf(_SC_PAGE_SIZE));
  const double needed_bytes = settings.machines * kBytesPerMachine +
                              static_cast<double>(settings.tasks()) * kBytesPerTask +
                              settings.controllers * kBytesPerController;
  if (needed_bytes > kMaxMemoryFraction * memory_bytes)
    throw_setting_error(source, "machines", "needs more than half of this machine's memory");
  rlimit socket_limit{};
  getrlimit(RLIMIT_NOFILE, &socket_limit);
  const auto max_sockets = static_cast<double>(socket_limit.rlim_cur);
  if (settings.machines * settings.worker_sockets_per_machine + kSpareSockets > max_sockets)
    throw_setting_error(source, "machines",
                        "needs more sockets than this process's open-file limit allows");
  if (settings.controller_sockets + kSpareSockets > max_sockets)
    throw_setting_error(source, "controller_sockets",
                        "is more than this process's open-file limit allows");
}

}  // namespace sumacquay::loadtest
