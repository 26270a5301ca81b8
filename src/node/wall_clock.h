#pragma once
#include <chrono>
#include <cstdint>

/// Wall-clock time, for users and for arrival times that are compared across processes. Leases,
/// deadlines and delays use only the steady clock (node/steady_time.h).
namespace sumacquay {

/// Milliseconds since the Unix epoch.
inline uint64_t unix_time_ms() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

}  // namespace sumacquay
