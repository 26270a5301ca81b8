#include "simulation/network.h"

#include <algorithm>

namespace sumacquay::simulation {

void Network::partition_zone(const std::string& zone, Seconds span) {
  zone_partitions_[zone].activate_until(loop_.now() + span);
}

bool Network::zone_partitioned(const std::string& zone) const {
  return loop_.now() < zone_partition_end(zone);
}

Seconds Network::store_partition_end(size_t controller) const {
  const ControllerHost& host = controllers_[controller];
  return std::max(host.faults.store_partition.end(), zone_partition_end(host.settings.zone));
}

Seconds Network::peer_partition_end(size_t one, size_t other) const {
  const ControllerHost& first = controllers_[one];
  const ControllerHost& second = controllers_[other];
  return std::max({first.faults.peer_partition.end(), second.faults.peer_partition.end(),
                   zones_partition_end(first.settings.zone, second.settings.zone)});
}

Seconds Network::machine_partition_end(size_t controller, const SimulatedMachine& machine) const {
  const ControllerHost& host = controllers_[controller];
  return std::max({host.faults.worker_partition.end(), machine.faults.partition.end(),
                   zones_partition_end(host.settings.zone, machine.zone)});
}

Seconds Network::zones_partition_end(const std::string& one, const std::string& other) const {
  if (one == other) return kNoFault;
  return std::max(zone_partition_end(one), zone_partition_end(other));
}

Seconds Network::zone_partition_end(const std::string& zone) const {
  const auto partition = zone_partitions_.find(zone);
  return partition == zone_partitions_.end() ? kNoFault : partition->second.end();
}

}  // namespace sumacquay::simulation
