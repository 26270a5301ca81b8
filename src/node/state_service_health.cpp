#include "node/state_service_health.h"

#include <chrono>

namespace sumacquay {
namespace {

/// For how long an answer of the state service shows that it serves this node / the workers' lease.
constexpr double kServedLeaseShare = 0.3;

}  // namespace

bool StateServiceHealth::served() const {
  const std::chrono::duration<double> age = std::chrono::steady_clock::now() - store_.last_served();
  return age.count() < settings_.lease_s * kServedLeaseShare;
}

}  // namespace sumacquay
