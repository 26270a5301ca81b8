#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "simulation/event_loop.h"
#include "simulation/fault.h"
#include "simulation/options.h"

namespace sumacquay::simulation {

class ControllerProcess;

struct ControllerFaults {
  Fault frozen;       ///< its process stands still
  Fault no_state;     ///< cut off from the state service
  Fault no_peers;     ///< cut off from the other controllers
  Fault no_machines;  ///< cut off from all machines
  Fault refused;      ///< the state service refuses its requests
};

/// Where a controller runs: its settings and faults outlast its processes.
struct ControllerHost {
  Settings settings;
  std::shared_ptr<ControllerProcess> process;  ///< none: it has ended
  uint64_t restarts = 0;
  ControllerFaults faults;
};

/// The controllers of a deployment, and the delivery of events to them. An event for a controller
/// that stands still comes once it goes on.
class ControllerHosts {
 public:
  using Event = std::function<void(ControllerProcess&)>;

  ControllerHosts(EventLoop& loop, const SimulationOptions& options);

  size_t size() const { return hosts_.size(); }
  ControllerHost& operator[](size_t controller) { return hosts_[controller]; }
  const ControllerHost& operator[](size_t controller) const { return hosts_[controller]; }
  std::optional<size_t> index_of(const std::string& node) const;

  /// An event of one process: dropped if that process has ended meanwhile.
  void schedule_in(size_t controller, const std::weak_ptr<ControllerProcess>& process,
                   Seconds delay, Event event);
  /// An event for whichever process runs there once the delay is over.
  void schedule_at(size_t controller, Seconds delay, Event event);

 private:
  EventLoop& loop_;
  std::vector<ControllerHost> hosts_;
};

}  // namespace sumacquay::simulation
