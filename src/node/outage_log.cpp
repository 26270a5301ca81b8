#include "node/outage_log.h"

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// Minimum gap between two ticks that counts as a stall, as a fraction of the worker lease.
constexpr double kStallLeaseShare = 0.1;

}  // namespace

void OutageLog::observe(Seconds now, bool state_served) {
  const Seconds gap = now - observed_at_;
  if (observed_at_ > 0 && gap > worker_lease_ * kStallLeaseShare)
    log_info("process_stalled", log_field("duration_s", gap));
  observed_at_ = now;
  if (state_served == state_served_) return;
  state_served_ = state_served;
  log_info(state_served ? "state_service_recovered" : "state_service_lost");
}

}  // namespace sumacquay
