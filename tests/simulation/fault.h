#pragma once
#include <limits>

#include "jobs/spec.h"

namespace sumacquay::simulation {

/// End time of a fault that was never injected.
inline constexpr Seconds kNoFault = -std::numeric_limits<Seconds>::infinity();

/// A fault that is active until a point in virtual time.
class Fault {
 public:
  void activate_until(Seconds end) { end_ = end; }
  void clear() { end_ = kNoFault; }
  bool active(Seconds now) const { return now < end_; }
  Seconds end() const { return end_; }

 private:
  Seconds end_ = kNoFault;
};

}  // namespace sumacquay::simulation
