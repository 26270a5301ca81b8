#include "node/outage_log.h"

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// Minimum gap between two ticks that counts as a stall, as a fraction of the worker lease.
constexpr double kStallLeaseFraction = 0.1;

}  // namespace

void OutageLog::observe(Seconds now, bool state_service_available) {
  const Seconds gap = now - last_observed_at_;
  if (last_observed_at_ > 0 && gap > worker_lease_ * kStallLeaseFraction)
    log_info("process_stalled", log_field("duration_s", gap));
  last_observed_at_ = now;
  if (state_service_available == state_service_available_) return;
  state_service_available_ = state_service_available;
  log_info(state_service_available ? "state_service_recovered" : "state_service_lost");
}

}  // namespace sumacquay
