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
  Fault paused;            ///< the process is paused
  Fault store_partition;   ///< partitioned from the key-value store
  Fault peer_partition;    ///< partitioned from the other controllers
  Fault worker_partition;  ///< partitioned from all machines
  Fault store_rejection;   ///< the key-value store rejects this controller's requests
};

/// The host of a controller. Its settings and faults persist across restarts of the process.
struct ControllerHost {
  Settings settings;
  std::shared_ptr<ControllerProcess> process;  ///< null while no process runs
  uint64_t restarts = 0;
  ControllerFaults faults;
};

/// The controllers of a deployment, and the delivery of events to them. Events for a paused
/// controller are delivered when it resumes.
class ControllerHosts {
 public:
  using Event = std::function<void(ControllerProcess&)>;

  ControllerHosts(EventLoop& loop, const SimulationOptions& options);

  size_t size() const { return hosts_.size(); }
  ControllerHost& operator[](size_t controller) { return hosts_[controller]; }
  const ControllerHost& operator[](size_t controller) const { return hosts_[controller]; }
  std::optional<size_t> index_of(const std::string& node) const;

  /// Schedules an event for one process; dropped if that process has ended by then.
  void schedule_in(size_t controller, const std::weak_ptr<ControllerProcess>& process,
                   Seconds delay, Event event);
  /// Schedules an event for the process that runs on the host after the delay, if any.
  void schedule_at(size_t controller, Seconds delay, Event event);

 private:
  EventLoop& loop_;
  std::vector<ControllerHost> hosts_;
};

}  // namespace sumacquay::simulation
