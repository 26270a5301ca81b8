#pragma once
#include <chrono>
#include <cstdint>

/// The time of day, for what users are shown and for arrivals that are compared across processes.
/// Leases, deadlines and pauses are measured by the steady clock alone (node/steady_time.h).
namespace sumacquay {

/// Milliseconds since the Unix epoch.
inline uint64_t time_of_day_ms() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

}  // namespace sumacquay
