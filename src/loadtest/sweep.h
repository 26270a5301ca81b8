#pragma once
#include <string>
#include <vector>

#include "loadtest/load_settings.h"
#include "loadtest/load_test.h"
#include "loadtest/measurement.h"

namespace sumacquay::loadtest {

/// One quantity of the settings and the values that it is given in turn.
struct SweepPlan {
  std::string quantity;
  std::vector<double> values;
};

/// Throws SettingsError if there is no such quantity, or a point doesn't fit this machine.
void check_plan(const SweepPlan& plan, const LoadSettings& base, const std::string& source);

/// Measures the points one after the other and appends each to the table as soon as it is there, so
/// that an interrupted sweep keeps what it has. With `resume` points that the table has are passed
/// over.
void run_sweep(const SweepPlan& plan, const LoadSettings& base, const LoadTestOptions& options,
               const std::string& table, bool resume);

/// Appends rows to a table, with a header if it is new.
void append_rows(const std::string& table, const std::vector<Measurement>& rows);

/// Draws a column over a quantity with its fit as an SVG file, by gnuplot.
void draw_plot(const std::vector<Measurement>& rows, const std::string& quantity,
               const std::string& column, const std::string& file);

}  // namespace sumacquay::loadtest
