#include "simulation/controllers.h"

namespace sumacquay::simulation {

void Controllers::start(size_t controller) {
  ControllerProcess::start(env_, connections_, controller, ++last_nonce_);
}

void Controllers::start_all() {
  for (size_t controller = 0; controller < env_.controllers.size(); ++controller)
    if (!env_.controllers[controller].process) start(controller);
}

void Controllers::restart(size_t controller, Seconds restart_delay) {
  ControllerHost& host = env_.controllers[controller];
  host.process.reset();
  const uint64_t restart = ++host.restarts;
  env_.loop.schedule(restart_delay, [this, controller, restart] {
    const ControllerHost& current_host = env_.controllers[controller];
    if (current_host.restarts == restart && !current_host.process) start(controller);
  });
}

void Controllers::step() {
  for (size_t controller = 0; controller < env_.controllers.size(); ++controller) {
    const ControllerHost& host = env_.controllers[controller];
    if (host.process && !host.faults.paused.active(env_.now())) host.process->step();
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
