#pragma once
#include "simulation/checker.h"
#include "simulation/controller_host.h"
#include "simulation/decision_digest.h"
#include "simulation/event_loop.h"
#include "simulation/machine.h"
#include "simulation/network.h"
#include "simulation/observed_job.h"
#include "simulation/options.h"
#include "simulation/random.h"

namespace sumacquay::simulation {

/// State shared by all components of a simulated deployment: virtual time, randomness, machines,
/// jobs, controllers, the network, the checker and the decision digest.
struct Environment {
  Environment(uint64_t seed, SimulationOptions simulation_options);
  Environment(const Environment&) = delete;
  Environment& operator=(const Environment&) = delete;

  Seconds now() const { return loop.now(); }

  const SimulationOptions options;
  EventLoop loop;
  Random random;
  /// For copies of commands alone. Copies must have no effect, so they must not change other draws.
  Random copy_random;
  Random image_random;  ///< for the machines' fetch rates alone
  Fleet fleet;
  ObservedJobs jobs;
  ControllerHosts controllers;
  Network network;
  Checker checker;
  DecisionDigest digest;
};

}  // namespace sumacquay::simulation
