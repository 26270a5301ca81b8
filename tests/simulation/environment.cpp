#include "simulation/environment.h"

#include <utility>

namespace sumacquay::simulation {

Environment::Environment(uint64_t seed, SimulationOptions simulation_options)
    : options(std::move(simulation_options)),
      random(seed),
      copy_random(~seed),
      image_random(seed + 1),
      controllers(loop, options),
      network(loop, controllers),
      checker(loop, options, fleet, jobs) {}

}  // namespace sumacquay::simulation
