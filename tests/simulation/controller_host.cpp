#include "simulation/controller_host.h"

#include <utility>

namespace sumacquay::simulation {

ControllerHosts::ControllerHosts(EventLoop& loop, const SimulationOptions& options)
    : loop_(loop), hosts_(options.controller_zones.size()) {
  for (size_t controller = 0; controller < hosts_.size(); ++controller)
    hosts_[controller].settings = controller_settings(options, controller);
}

std::optional<size_t> ControllerHosts::index_of(const std::string& node) const {
  for (size_t controller = 0; controller < hosts_.size(); ++controller)
    if (hosts_[controller].settings.node == node) return controller;
  return std::nullopt;
}

void ControllerHosts::schedule_in(size_t controller,
                                  const std::weak_ptr<ControllerProcess>& process, Seconds delay,
                                  Event event) {
  loop_.schedule(delay, [this, controller, process, event = std::move(event)] {
    const auto running = process.lock();
    if (!running) return;
    const Fault& pause = hosts_[controller].faults.paused;
    if (pause.active(loop_.now()))
      return schedule_in(controller, process, pause.end() - loop_.now(), event);
    event(*running);
  });
}

void ControllerHosts::schedule_at(size_t controller, Seconds delay, Event event) {
  loop_.schedule(delay, [this, controller, event = std::move(event)] {
    const auto& process = hosts_[controller].process;
    if (process) schedule_in(controller, process, 0, event);
  });
}

}  // namespace sumacquay::simulation
