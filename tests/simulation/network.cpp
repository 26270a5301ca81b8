#include "simulation/network.h"

#include <algorithm>

namespace sumacquay::simulation {

void Network::cut_zone(const std::string& zone, Seconds span) {
  zone_cuts_[zone].last_until(loop_.now() + span);
}

bool Network::zone_cut(const std::string& zone) const {
  return loop_.now() < cut_until(zone);
}

Seconds Network::state_apart_until(size_t controller) const {
  const ControllerHost& host = controllers_[controller];
  return std::max(host.faults.no_state.end(), cut_until(host.settings.zone));
}

Seconds Network::peers_apart_until(size_t one, size_t other) const {
  const ControllerHost& first = controllers_[one];
  const ControllerHost& second = controllers_[other];
  return std::max({first.faults.no_peers.end(), second.faults.no_peers.end(),
                   zones_apart_until(first.settings.zone, second.settings.zone)});
}

Seconds Network::machine_apart_until(size_t controller, const SimulatedMachine& machine) const {
  const ControllerHost& host = controllers_[controller];
  return std::max({host.faults.no_machines.end(), machine.faults.cut.end(),
                   zones_apart_until(host.settings.zone, machine.zone)});
}

Seconds Network::zones_apart_until(const std::string& one, const std::string& other) const {
  if (one == other) return kNoFault;
  return std::max(cut_until(one), cut_until(other));
}

Seconds Network::cut_until(const std::string& zone) const {
  const auto cut = zone_cuts_.find(zone);
  return cut == zone_cuts_.end() ? kNoFault : cut->second.end();
}

}  // namespace sumacquay::simulation
