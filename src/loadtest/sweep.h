#pragma once
#include <string>
#include <vector>

#include "loadtest/load_settings.h"
#include "loadtest/load_test.h"
#include "loadtest/measurement.h"

namespace sumacquay::loadtest {

/// A setting to vary and its values, one trial each.
struct SweepPlan {
  std::string quantity;
  std::vector<double> values;
};

/// Throws SettingsError if there is no such setting, a value is out of range, or a point needs more
/// resources than this machine has.
void check_plan(const SweepPlan& plan, const LoadSettings& base, const std::string& source);

/// Measures the points one after another and appends each row as soon as it is measured, so that an
/// interrupted sweep keeps its results. With `resume` points already in the table are skipped.
void run_sweep(const SweepPlan& plan, const LoadSettings& base, const LoadTestOptions& options,
               const std::string& table, bool resume);

/// Appends rows to a CSV table; writes the header first if the file is new or empty.
void append_rows(const std::string& table, const std::vector<Measurement>& rows);

/// Plots a column and its power-law fit against a quantity as an SVG file, using gnuplot.
void draw_plot(const std::vector<Measurement>& rows, const std::string& quantity,
               const std::string& column, const std::string& file);

}  // namespace sumacquay::loadtest
