#include "simulation/options.h"

namespace sumacquay::simulation {

namespace {
/// Larger than all images of a simulation together: the simulated workers keep every image.
constexpr double kImageCacheGb = 100000;
}  // namespace

std::string node_name(size_t controller) {
  return "n" + std::to_string(controller);
}

MachineType machine_type(const SimulationOptions& options) {
  MachineType type;
  type.name = "g";
  type.capacity = {16, 4, 64};
  type.zones = {kEast, kWest};
  type.boot_s = options.declared_boot_s;
  type.price = 10;
  type.spot_price = 3;
  if (options.models_images()) {
    type.fetch_gb_per_s = options.fetch_gb_per_s;
    type.cache_gb = kImageCacheGb;
  }
  return type;
}

Settings controller_settings(const SimulationOptions& options, size_t controller) {
  Settings settings;
  settings.heartbeat_period_s = 1;
  settings.lease_s = options.lease_s;
  settings.cancel_s = options.cancel_s;
  settings.list_lag_s = 2;
  if (options.models_gangs()) {
    settings.gang_wait_s = options.gang_wait_s;
    settings.gang_peer_s = options.gang_peer_s;
  }
  settings.state_txn_ops = 12;
  settings.state_value_kb = options.state_value_kb;
  settings.tuning.prompt_dispatch = options.prompt_dispatch;
  settings.zones = machine_type(options).zones;
  TeamSettings limited;
  limited.name = kLimitedTeam;
  limited.gpus = 4;
  limited.gpus_max = kLimitedTeamGpus;
  TeamSettings open;
  open.name = kOpenTeam;
  open.gpus = options.open_team_guaranteed_gpus;
  settings.teams = {limited, open};
  settings.node = node_name(controller);
  settings.zone = options.controller_zones[controller];
  for (size_t other = 0; other < options.controller_zones.size(); ++other)
    if (other != controller)
      settings.peers.push_back({node_name(other), options.controller_zones[other], {}});
  return settings;
}

}  // namespace sumacquay::simulation
