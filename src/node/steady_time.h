#pragma once
#include <chrono>

#include "jobs/spec.h"

/// Conversions between the steady clock and `Seconds`, which the code without I/O uses for times.
namespace sumacquay {

inline Seconds to_seconds(std::chrono::steady_clock::time_point time) {
  return std::chrono::duration<double>(time.time_since_epoch()).count();
}

inline Seconds steady_now() {
  return to_seconds(std::chrono::steady_clock::now());
}

inline std::chrono::microseconds to_microseconds(Seconds duration) {
  return std::chrono::microseconds(static_cast<long long>(duration * 1e6));
}

}  // namespace sumacquay
