#pragma once
#include <algorithm>

#include "jobs/spec.h"

namespace sumacquay::simulators {

/// A limit on requests a second that allows bursts, as the state service and the cloud have.
class RateLimit {
 public:
  /// `burst_s`: a burst takes as many requests at once as are allowed in this time.
  RateLimit(double per_s, Seconds burst_s)
      : per_s_(per_s), most_(per_s * burst_s), level_(per_s * burst_s) {}

  /// Takes so many at once; false, and none is taken, if they are not there.
  bool take(double count, Seconds now) {
    if (last_ > 0) level_ = std::min(most_, level_ + per_s_ * (now - last_));
    last_ = now;
    if (level_ < count) return false;
    level_ -= count;
    return true;
  }

 private:
  double per_s_;
  double most_;
  double level_;
  Seconds last_ = 0;
};

}  // namespace sumacquay::simulators
