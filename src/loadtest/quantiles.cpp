#include "loadtest/quantiles.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sumacquay::loadtest {

prometheus::Summary::Quantiles Quantiles::targets() {
  return {{0.5, 0.01}, {0.9, 0.005}, {0.99, 0.001}};
}

void Quantiles::observe(double value) {
  summary_.Observe(value);
  max_ = std::max(max_, value);
  ++count_;
}

double Quantiles::quantile(double target) const {
  const auto metric = summary_.Collect();
  for (const auto& quantile : metric.summary.quantile)
    if (std::abs(quantile.quantile - target) < 1e-9) return quantile.value;
  return std::numeric_limits<double>::quiet_NaN();
}

}  // namespace sumacquay::loadtest
