#pragma once
#include <prometheus/summary.h>

#include <chrono>

namespace sumacquay::loadtest {

/// Quantiles of times that were measured, as prometheus-cpp's summary keeps them, and the largest.
class Quantiles {
 public:
  void observe(double value);
  /// One of 0.5, 0.9 and 0.99; NaN without observations.
  double quantile(double which) const;
  double largest() const { return largest_; }
  size_t count() const { return count_; }

 private:
  static prometheus::Summary::Quantiles requested();
  /// Longer than any trial: nothing is forgotten.
  static constexpr std::chrono::hours kKept{24};

  prometheus::Summary summary_{requested(), kKept, 1};
  double largest_ = 0;
  size_t count_ = 0;
};

}  // namespace sumacquay::loadtest
