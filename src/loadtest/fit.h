#pragma once
#include <string>
#include <vector>

#include "loadtest/measurement.h"

namespace sumacquay::loadtest {

/// Power-law fit y = factor * x^exponent by least squares on the logarithms.
struct PowerLawFit {
  double factor = 0;
  double exponent = 0;
  double residual = 0;  ///< root mean square of the residuals of the logarithms
  /// Of the last two points, the largest in a sweep: least affected by fixed costs.
  double tail_exponent = 0;
  size_t points = 0;

  double evaluate(double x) const;
};

/// Fits the points with positive coordinates, in ascending order of x. With fewer than two of them
/// only `points` is set.
PowerLawFit fit_power_law(const std::vector<double>& x, const std::vector<double>& y);

/// The fit of one column to the rows of one quantity.
PowerLawFit fit_column(const std::vector<Measurement>& rows, const std::string& quantity,
                       const Column& column);

/// Markdown tables for each quantity: the measurements, and the fits of the reported columns.
std::string format_report(const std::vector<Measurement>& rows);

}  // namespace sumacquay::loadtest
