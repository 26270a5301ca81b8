#include "node/state_service_health.h"

#include <chrono>

namespace sumacquay {
namespace {

/// Maximum age of the state service's last answer while the service counts as available, as a
/// fraction of the worker lease.
constexpr double kMaxAnswerAgeLeaseFraction = 0.3;

}  // namespace

bool StateServiceHealth::available() const {
  const std::chrono::duration<double> age =
      std::chrono::steady_clock::now() - store_.last_available_at();
  return age.count() < settings_.lease_s * kMaxAnswerAgeLeaseFraction;
}

}  // namespace sumacquay
