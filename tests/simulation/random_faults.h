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
  bool random_bool(double probability) { return env_.random.chance(probability); }
  Seconds random_between(Seconds min, Seconds max) { return env_.random.between(min, max); }

  /// Picks the leader with a high probability, otherwise any controller.
  size_t pick_controller();
  void inject_controller_faults(size_t controller);
  void partition_controller(size_t controller);
  void restart_all_controllers();
  void inject_store_faults();
  void inject_network_and_cloud_faults();
  void inject_machine_faults();

  Environment& env_;
  Faults& faults_;
  const Controllers& controllers_;
  Cloud& cloud_;
};

}  // namespace sumacquay::simulation
