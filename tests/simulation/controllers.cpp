#include "simulation/controllers.h"

namespace sumacquay::simulation {

void Controllers::start(size_t controller) {
  ControllerProcess::start(env_, links_, controller, ++last_nonce_);
}

void Controllers::start_all() {
  for (size_t controller = 0; controller < env_.controllers.size(); ++controller)
    if (!env_.controllers[controller].process) start(controller);
}

void Controllers::restart(size_t controller, Seconds back_in) {
  ControllerHost& host = env_.controllers[controller];
  host.process.reset();
  const uint64_t restart = ++host.restarts;
  env_.loop.schedule(back_in, [this, controller, restart] {
    const ControllerHost& again = env_.controllers[controller];
    if (again.restarts == restart && !again.process) start(controller);
  });
}

void Controllers::step() {
  for (size_t controller = 0; controller < env_.controllers.size(); ++controller) {
    const ControllerHost& host = env_.controllers[controller];
    if (host.process && !host.faults.frozen.active(env_.now())) host.process->step();
  }
}

std::optional<size_t> Controllers::leader() const {
  for (size_t controller = 0; controller < env_.controllers.size(); ++controller) {
    const auto& process = env_.controllers[controller].process;
    if (process && process->leads()) return controller;
  }
  return std::nullopt;
}

}  // namespace sumacquay::simulation
