#pragma once
#include <cstddef>
#include <cstdint>

#include "fleet/worker_heartbeat.h"

namespace sumacquay {

/// Allocates the numbers that carry a leader's term in their upper part: attempts and workers'
/// fencing tokens. None is ever allocated twice, by this leader or a later one, so the numbers of a
/// term can be exhausted: a large fleet starts a million tasks in days.
///
/// It owns the next attempt's number; each machine's counter is the scheduler's, which owns this.
/// It must not know how a node gets a new term.
class FencingTokenAllocator {
 public:
  explicit FencingTokenAllocator(uint64_t term) : term_(term) {}

  /// A new attempt's number with the term. Only while `attempts_left`.
  [[nodiscard]] uint64_t new_attempt() {
    const uint64_t number = next_attempt_++;
    record_use(number);
    return with_term(number);
  }
  /// How many attempts of this term are left.
  size_t attempts_left() const { return kFencingTokenCounterEnd - next_attempt_; }

  /// A number within the term, of an attempt or a fencing token, with the term in its upper part.
  uint64_t with_term(uint64_t number) const { return (term_ << kFencingTokenCounterBits) | number; }
  /// A number is in use, of an attempt or of a worker's fencing token.
  void record_use(uint64_t number) {
    if (static_cast<double>(number) >
        kNearlyExhaustedShare * static_cast<double>(kFencingTokenCounterEnd))
      nearly_exhausted_ = true;
  }

  /// Few numbers are left: the node should get a new term.
  bool nearly_exhausted() const { return nearly_exhausted_; }

 private:
  /// The part of the numbers after which few are left. The rest is for what is started until the
  /// node has a new term.
  static constexpr double kNearlyExhaustedShare = 0.9;

  uint64_t term_;
  uint64_t next_attempt_ = 1;
  bool nearly_exhausted_ = false;
};

}  // namespace sumacquay
