#pragma once
#include "jobs/spec.h"

namespace sumacquay {

/// Logs stalls of this process and outages of the state service, so that operators can tell them
/// apart. `PeerHeartbeats` logs silent peers. Called by the node at every tick. A stall is logged
/// once, and an outage once when it begins and once when it ends. Owns the time of the last tick
/// and the last state of the service.
class OutageLog {
 public:
  explicit OutageLog(Seconds worker_lease) : worker_lease_(worker_lease) {}
  /// Handles a tick at `now`. `state_service_available`: whether the state service answers this
  /// node.
  void observe(Seconds now, bool state_service_available);

 private:
  Seconds worker_lease_;
  Seconds last_observed_at_ = 0;
  bool state_service_available_ = true;
};

}  // namespace sumacquay
