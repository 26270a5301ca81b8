#pragma once
#include <limits>

#include "jobs/spec.h"

namespace sumacquay::simulation {

/// The end of a fault that never began.
inline constexpr Seconds kNoFault = -std::numeric_limits<Seconds>::infinity();

/// A fault that lasts until a point in virtual time.
class Fault {
 public:
  void last_until(Seconds end) { end_ = end; }
  void clear() { end_ = kNoFault; }
  bool active(Seconds now) const { return now < end_; }
  Seconds end() const { return end_; }

 private:
  Seconds end_ = kNoFault;
};

}  // namespace sumacquay::simulation
