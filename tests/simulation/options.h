#pragma once
#include <string>
#include <vector>

#include "config/settings.h"
#include "fleet/worker_heartbeat.h"

namespace sumacquay::simulation {

inline constexpr const char* kEast = "east";
inline constexpr const char* kWest = "west";
/// A team with a quota, and a team without one.
inline constexpr const char* kLimitedTeam = "limited";
inline constexpr const char* kOpenTeam = "open";
/// Quota of the limited team.
inline constexpr double kLimitedTeamGpus = 6;

/// Parameters of a simulated deployment.
struct SimulationOptions {
  Seconds lease_s = 10;
  Seconds cancel_s = 22;  ///< barely two leases, so that renewing leases for too long breaks it
  std::vector<std::string> controller_zones = {kEast, kWest, kEast};
  int machines = 4;
  size_t max_machines = 8;
  /// The boot time that the cloud declares: determines how soon silent machines are replaced.
  Seconds declared_boot_s = 5;
  Seconds min_boot_s = 2, max_boot_s = 6;
  Seconds min_task_s = 2, max_task_s = 15;
  Seconds min_fetch_s = 0.1, max_fetch_s = 1;
  /// Fraction of the command batches that arrive a second time after the worker has executed them.
  double command_copy_fraction = 0.3;
  double state_value_kb = 8;  ///< the key-value store's limit on the size of a value
  bool prompt_dispatch = false;
  /// Mean rate at which machines fetch images; the rates differ by up to a third. 0: machines have
  /// every image, and each task starts after a random time.
  double fetch_gb_per_s = 0;
  /// How long a gang's task waits for the others before it exits as incomplete. 0: the tasks of a
  /// gang start independently of one another.
  Seconds gang_wait_s = 0;
  /// How soon the tasks of a running gang notice that one of them is gone.
  Seconds gang_peer_s = 3;
  double open_team_guaranteed_gpus = 0;  ///< guarantee of the team without a quota

  bool models_images() const { return fetch_gb_per_s > 0; }
  bool models_gangs() const { return gang_wait_s > 0; }
};

std::string node_name(size_t controller);
/// The only machine type of the simulated cloud.
MachineType machine_type(const SimulationOptions& options);
Settings controller_settings(const SimulationOptions& options, size_t controller);

}  // namespace sumacquay::simulation
