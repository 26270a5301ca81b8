#include "node/outage_log.h"

#include <spdlog/spdlog.h>

namespace sumacquay {
namespace {

/// The pause between two ticks that shows this process to have stood still / the workers' lease.
constexpr double kStallLeaseShare = 0.1;

}  // namespace

void OutageLog::observe(Seconds now, bool state_served) {
  const Seconds gap = now - observed_at_;
  if (observed_at_ > 0 && gap > worker_lease_ * kStallLeaseShare)
    spdlog::info("this process stood still for {:.1f} s", gap);
  observed_at_ = now;
  if (state_served == state_served_) return;
  state_served_ = state_served;
  spdlog::info("state service: {}", state_served ? "answers again" : "does not answer this node");
}

}  // namespace sumacquay
