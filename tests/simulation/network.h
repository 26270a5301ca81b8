#pragma once
#include <map>
#include <string>

#include "simulation/controller_host.h"
#include "simulation/event_loop.h"
#include "simulation/fault.h"
#include "simulation/machine.h"

namespace sumacquay::simulation {

/// Who can reach whom: the cuts of whole zones together with those of single controllers and
/// machines. The state service and the users are in no zone.
class Network {
 public:
  Network(const EventLoop& loop, const ControllerHosts& controllers)
      : loop_(loop), controllers_(controllers) {}

  /// The zone reaches nothing outside of it.
  void cut_zone(const std::string& zone, Seconds span);
  void heal() { zone_cuts_.clear(); }
  bool zone_cut(const std::string& zone) const;

  // Until when two sides are cut off from each other; in the past if they are not.
  Seconds state_apart_until(size_t controller) const;
  Seconds peers_apart_until(size_t one, size_t other) const;
  Seconds machine_apart_until(size_t controller, const SimulatedMachine& machine) const;

 private:
  Seconds zones_apart_until(const std::string& one, const std::string& other) const;
  Seconds cut_until(const std::string& zone) const;

  const EventLoop& loop_;
  const ControllerHosts& controllers_;
  std::map<std::string, Fault> zone_cuts_;
};

}  // namespace sumacquay::simulation
