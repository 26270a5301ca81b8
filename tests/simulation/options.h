#pragma once
#include <string>
#include <vector>

#include "config/settings.h"
#include "fleet/worker_heartbeat.h"

namespace sumacquay::simulation {

inline constexpr const char* kEast = "east";
inline constexpr const char* kWest = "west";
/// A team with a quota, and one without.
inline constexpr const char* kLimitedTeam = "limited";
inline constexpr const char* kOpenTeam = "open";
/// What the limited team may use at most.
inline constexpr double kLimitedTeamGpus = 6;

/// What a test chooses about a simulated deployment.
struct SimulationOptions {
  Seconds lease_s = 10;
  Seconds cancel_s = 22;  ///< hardly two leases: whoever answers for too long is found out
  std::vector<std::string> controller_zones = {kEast, kWest, kEast};
  int machines = 4;
  size_t most_machines = 8;
  /// What the cloud says of the time to boot: decides how soon silent machines are given up.
  Seconds nominal_boot_s = 5;
  Seconds boot_least = 2, boot_most = 6;
  Seconds task_least = 2, task_most = 15;
  Seconds fetch_least = 0.1, fetch_most = 1;
  bool prompt_dispatch = false;
  double open_team_gpus = 0;  ///< what the team without a quota is guaranteed
};

std::string node_name(size_t controller);
/// The one type of machine that the simulated cloud rents out.
MachineType machine_type(const SimulationOptions& options);
Settings controller_settings(const SimulationOptions& options, size_t controller);

}  // namespace sumacquay::simulation
