#pragma once
#include <optional>

#include "simulation/controller_process.h"
#include "simulation/environment.h"

namespace sumacquay::simulation {

/// Starts, steps and ends the controllers' processes.
class Controllers {
 public:
  Controllers(Environment& environment, const ControllerLinks& links)
      : env_(environment), links_(links) {}

  /// Starts a process on every host without one.
  void start_all();
  /// Ends a controller's process and starts a new one after `back_in`.
  void restart(size_t controller, Seconds back_in);
  void step();
  /// The controller that may act as the leader, if any.
  std::optional<size_t> leader() const;

 private:
  void start(size_t controller);

  Environment& env_;
  ControllerLinks links_;
  uint64_t last_nonce_ = 0;
};

}  // namespace sumacquay::simulation
