#pragma once
#include <optional>

#include "simulation/controller_process.h"
#include "simulation/environment.h"

namespace sumacquay::simulation {

/// Starts, steps and ends the controllers' processes.
class Controllers {
 public:
  Controllers(Environment& environment, const ControllerConnections& connections)
      : env_(environment), connections_(connections) {}

  /// Starts a process on every host without one.
  void start_all();
  /// Ends a controller's process and starts a new one after `restart_delay`.
  void restart(size_t controller, Seconds restart_delay);
  void step();
  /// The controller that may act as the leader, if any.
  std::optional<size_t> leader() const;

 private:
  void start(size_t controller);

  Environment& env_;
  ControllerConnections connections_;
  uint64_t last_nonce_ = 0;
};

}  // namespace sumacquay::simulation
