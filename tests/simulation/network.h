#pragma once
#include <map>
#include <string>

#include "simulation/controller_host.h"
#include "simulation/event_loop.h"
#include "simulation/fault.h"
#include "simulation/machine.h"

namespace sumacquay::simulation {

/// Reachability between components: partitions of whole zones combined with those of single
/// controllers and machines. The key-value store and the users are outside of all zones.
class Network {
 public:
  Network(const EventLoop& loop, const ControllerHosts& controllers)
      : loop_(loop), controllers_(controllers) {}

  /// Partitions the zone from everything outside of it.
  void partition_zone(const std::string& zone, Seconds span);
  void heal() { zone_partitions_.clear(); }
  bool zone_partitioned(const std::string& zone) const;

  // When the partition between two components ends; in the past if there is none.
  Seconds store_partition_end(size_t controller) const;
  Seconds peer_partition_end(size_t one, size_t other) const;
  Seconds machine_partition_end(size_t controller, const SimulatedMachine& machine) const;

 private:
  Seconds zones_partition_end(const std::string& one, const std::string& other) const;
  Seconds zone_partition_end(const std::string& zone) const;

  const EventLoop& loop_;
  const ControllerHosts& controllers_;
  std::map<std::string, Fault> zone_partitions_;
};

}  // namespace sumacquay::simulation
