#pragma once
#include "simulation/cloud.h"
#include "simulation/controllers.h"
#include "simulation/environment.h"
#include "simulation/faults.h"

namespace sumacquay::simulation {

/// Injects random faults of all kinds, and adds a machine when too few are left.
class RandomFaults {
 public:
  RandomFaults(Environment& environment, Faults& faults, const Controllers& controllers,
               Cloud& cloud)
      : env_(environment), faults_(faults), controllers_(controllers), cloud_(cloud) {}

  /// Called once per step of the simulation.
  void step();

 private:
  bool chance(double probability) { return env_.random.chance(probability); }
  Seconds between(Seconds least, Seconds most) { return env_.random.between(least, most); }

  /// Picks the leader with a high probability, otherwise any controller.
  size_t pick_controller();
  void disturb_controller(size_t controller);
  void cut_some_ways(size_t controller);
  void end_all_controllers();
  void disturb_state_service();
  void disturb_network_and_cloud();
  void disturb_machine();

  Environment& env_;
  Faults& faults_;
  const Controllers& controllers_;
  Cloud& cloud_;
};

}  // namespace sumacquay::simulation
