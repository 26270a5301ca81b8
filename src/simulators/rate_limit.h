#pragma once
#include <algorithm>

#include "jobs/spec.h"

namespace sumacquay::simulators {

/// Token-bucket rate limit, as the key-value store and the cloud apply to requests.
class RateLimit {
 public:
  /// The capacity of the bucket is the number of tokens added in `burst_s`.
  RateLimit(double per_s, Seconds burst_s)
      : per_s_(per_s), most_(per_s * burst_s), level_(per_s * burst_s) {}

  /// Takes `count` tokens; returns false and takes none if fewer are available.
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
