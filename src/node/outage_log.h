#pragma once
#include "jobs/spec.h"

namespace sumacquay {

/// Tells operators from the log which trouble it was: this process that stood still, or the state
/// service that was lost. Lost peers are logged by `PeerHeartbeats`. Called by the node at every
/// tick; each trouble is logged once as it begins, the state service's also as it ends.
class OutageLog {
 public:
  explicit OutageLog(Seconds worker_lease) : worker_lease_(worker_lease) {}
  void observe(Seconds now, bool state_served);

 private:
  Seconds worker_lease_;
  Seconds observed_at_ = 0;
  bool state_served_ = true;
};

}  // namespace sumacquay
