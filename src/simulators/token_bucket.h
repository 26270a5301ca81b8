#pragma once
#include <algorithm>

#include "jobs/spec.h"

namespace sumacquay::simulators {

/// Token-bucket rate limit, as the key-value store and the cloud apply to requests.
class TokenBucket {
 public:
  /// The capacity of the bucket is the number of tokens added in `burst_s`.
  TokenBucket(double rate_per_s, Seconds burst_s)
      : rate_per_s_(rate_per_s), capacity_(rate_per_s * burst_s), tokens_(rate_per_s * burst_s) {}

  /// Takes `count` tokens; returns false and takes none if fewer are available.
  bool try_acquire(double count, Seconds now) {
    if (refilled_at_ > 0)
      tokens_ = std::min(capacity_, tokens_ + rate_per_s_ * (now - refilled_at_));
    refilled_at_ = now;
    if (tokens_ < count) return false;
    tokens_ -= count;
    return true;
  }

 private:
  double rate_per_s_;
  double capacity_;
  double tokens_;
  Seconds refilled_at_ = 0;
};

}  // namespace sumacquay::simulators
