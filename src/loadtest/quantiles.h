#pragma once
#include <prometheus/summary.h>

#include <chrono>

namespace sumacquay::loadtest {

/// Streaming quantile estimates of observed values by prometheus-cpp's summary, and the maximum.
class Quantiles {
 public:
  void observe(double value);
  /// The estimate for 0.5, 0.9 or 0.99; NaN without observations or for other quantiles.
  double quantile(double target) const;
  double max() const { return max_; }
  size_t count() const { return count_; }

 private:
  static prometheus::Summary::Quantiles targets();
  /// Longer than any trial, so that no observation ages out of the summary.
  static constexpr std::chrono::hours kMaxAge{24};

  prometheus::Summary summary_{targets(), kMaxAge, 1};
  double max_ = 0;
  size_t count_ = 0;
};

}  // namespace sumacquay::loadtest
