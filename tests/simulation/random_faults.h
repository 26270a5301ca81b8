#pragma once
#include "simulation/cloud.h"
#include "simulation/controllers.h"
#include "simulation/environment.h"
#include "simulation/faults.h"

namespace sumacquay::simulation {

/// Causes faults of all kinds at random, and rents machines where too few are left.
class RandomFaults {
 public:
  RandomFaults(Environment& environment, Faults& faults, const Controllers& controllers,
               Cloud& cloud)
      : env_(environment), faults_(faults), controllers_(controllers), cloud_(cloud) {}

  /// Called once per step.
  void step();

 private:
  bool chance(double probability) { return env_.random.chance(probability); }
  Seconds between(Seconds least, Seconds most) { return env_.random.between(least, most); }

  /// Most often the leader.
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
