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
constexpr double kMemoryShare = 0.5;
constexpr double kSpareSockets = 500;

constexpr double kMostMachines = 60000;

}  // namespace

size_t LoadSettings::tasks() const {
  return static_cast<size_t>(machines * tasks_per_machine);
}

std::vector<NumberField> fields_of(LoadSettings& s) {
  constexpr double kMany = 1e6;
  constexpr double kMostSeconds = 3600;
  return {{"machines", &s.machines, {1, kMostMachines}, true},
          {"tasks_per_machine", &s.tasks_per_machine, {1, 1000}, true},
          {"controllers", &s.controllers, {1, 9}, true},
          {"zones", &s.zones, {1, 50}, true},
          {"teams", &s.teams, {1, 10000}, true},
          {"low_share", &s.low_share, {0, 1}},
          {"service_size", &s.service_size, {1, kMany}, true},
          {"gang_size", &s.gang_size, {0, 10000}, true},
          {"gang_share", &s.gang_share, {0, 1}},
          {"waiting_jobs", &s.waiting_jobs, {0, kMany}, true},
          {"urgent_per_s", &s.urgent_per_s, {0, 1000}},
          {"urgent_run_s", &s.urgent_run_s, {0.1, kMostSeconds}},
          {"polls_per_s", &s.polls_per_s, {0, kMany}},
          {"report_s", &s.heartbeat_period_s, {0.1, kMostSeconds}},
          {"lease_s", &s.lease_s, {1, kMostSeconds}},
          {"cancel_s", &s.cancel_s, {1, kMostSeconds}},
          {"fetch_s", &s.fetch_s, {0, kMostSeconds}},
          {"boot_s", &s.boot_s, {0, kMostSeconds}},
          {"state_rps", &s.state_rps, {1, kMany}},
          {"state_write_rps", &s.state_write_rps, {1, kMany}},
          {"state_value_kb", &s.state_value_kb, {1, 1000}},
          {"state_txn_ops", &s.state_txn_ops, {2, 1000}, true},
          {"cloud_rps", &s.cloud_rps, {0.1, kMany}},
          {"controller_sockets", &s.controller_sockets, {32, kMany}, true},
          {"worker_sockets_per_machine", &s.worker_sockets_per_machine, {2, 10}},
          {"fill_s", &s.fill_s, {1, kMostSeconds}},
          {"settle_s", &s.settle_s, {0, kMostSeconds}},
          {"measure_s", &s.measure_s, {1, kMostSeconds}},
          {"first_port", &s.first_port, {1024, 60000}, true}};
}

LoadSettings load_settings_file(const std::string& path) {
  LoadSettings settings;
  read_numbers(read_settings_file(path), path, fields_of(settings));
  return settings;
}

void check_fits_this_machine(const LoadSettings& settings, const std::string& source) {
  const double memory =
      static_cast<double>(sysconf(_SC_PHYS_PAGES)) * static_cast<double>(sysconf(_SC_PAGE_SIZE));
  const double needed = settings.machines * kBytesPerMachine +
                        static_cast<double>(settings.tasks()) * kBytesPerTask +
                        settings.controllers * kBytesPerController;
  if (needed > kMemoryShare * memory)
    refuse_setting(source, "machines", "takes more than half of this machine's memory");
  rlimit sockets{};
  getrlimit(RLIMIT_NOFILE, &sockets);
  const auto most = static_cast<double>(sockets.rlim_cur);
  if (settings.machines * settings.worker_sockets_per_machine + kSpareSockets > most)
    refuse_setting(source, "machines", "needs more sockets than a process may open here");
  if (settings.controller_sockets + kSpareSockets > most)
    refuse_setting(source, "controller_sockets", "is more than a process may open here");
}

}  // namespace sumacquay::loadtest
