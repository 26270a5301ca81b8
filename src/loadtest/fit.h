#pragma once
#include <string>
#include <vector>

#include "loadtest/measurement.h"

namespace sumacquay::loadtest {

/// A power law y = factor * x^exponent through measured points, by least squares of the logarithms.
struct PowerFit {
  double factor = 0;
  double exponent = 0;
  double residual = 0;       ///< root mean square of the logarithms' deviations
  double last_exponent = 0;  ///< between the two largest points, where fixed costs matter least
  size_t points = 0;

  double at(double x) const;
};

/// None with fewer than two points above zero.
PowerFit fit_power(const std::vector<double>& x, const std::vector<double>& y);

/// The fit of one column over the rows of one quantity.
PowerFit fit_column(const std::vector<Measurement>& rows, const std::string& quantity,
                    const Column& column);

/// A Markdown table of the fits of all columns that follow a quantity, and one of the measurements.
std::string fit_table(const std::vector<Measurement>& rows);

}  // namespace sumacquay::loadtest
