#pragma once
#include <cstddef>
#include <cstdint>

#include "fleet/worker_heartbeat.h"

namespace sumacquay {

/// Builds attempt numbers and fencing tokens, which carry the leader's term in their upper bits and
/// a counter in the lower ones. No number is ever reused, by this leader or a later one, so a term
/// can run out of numbers: a large fleet starts a million tasks within days.
///
/// Owned by the scheduler of the term. Owns the attempt counter; the per-machine counters of
/// fencing tokens belong to the scheduler. Obtaining a new term is the node's responsibility.
class FencingTokenAllocator {
 public:
  explicit FencingTokenAllocator(uint64_t term) : term_(term) {}

  /// Allocates an attempt number. Requires `attempts_left() > 0`.
  [[nodiscard]] uint64_t new_attempt() {
    const uint64_t counter = next_attempt_++;
    record_use(counter);
    return with_term(counter);
  }
  /// Number of attempts that can still be allocated in this term.
  size_t attempts_left() const { return kFencingTokenCounterEnd - next_attempt_; }

  /// Adds the term to the counter of an attempt or a fencing token, as the upper bits.
  uint64_t with_term(uint64_t counter) const {
    return (term_ << kFencingTokenCounterBits) | counter;
  }
  /// Records that the counter value is in use by an attempt or a worker's fencing token.
  void record_use(uint64_t counter) {
    if (static_cast<double>(counter) >
        kNearlyExhaustedFraction * static_cast<double>(kFencingTokenCounterEnd))
      nearly_exhausted_ = true;
  }

  /// Whether few numbers are left, so that the node should obtain a new term.
  bool nearly_exhausted() const { return nearly_exhausted_; }

 private:
  /// Fraction of the counter range after which a new term is needed. The remainder covers the tasks
  /// that are started before the node has obtained it.
  static constexpr double kNearlyExhaustedFraction = 0.9;

  uint64_t term_;
  uint64_t next_attempt_ = 1;
  bool nearly_exhausted_ = false;
};

}  // namespace sumacquay
