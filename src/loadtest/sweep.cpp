#include "loadtest/sweep.h"

#include <spawn.h>
#include <spdlog/spdlog.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "loadtest/fit.h"

namespace sumacquay::loadtest {
namespace {

LoadSettings settings_at(const LoadSettings& base, const std::string& quantity, double value,
                         const std::string& source) {
  LoadSettings settings = base;
  for (const auto& field : fields_of(settings)) {
    if (quantity != field.name) continue;
    check_range(source, quantity, value, field.range);
    *field.value = value;
    return settings;
  }
  throw_setting_error(source, quantity, "is not a setting of the load");
}

bool already_measured(const std::vector<Measurement>& rows, const std::string& quantity,
                      double value) {
  return std::any_of(rows.begin(), rows.end(), [&](const Measurement& row) {
    return row.quantity == quantity && row.value == value;
  });
}

const Column& require_column(const std::string& name) {
  for (const auto& column : columns())
    if (name == column.name) return column;
  throw_setting_error("plot", name, "is not a column of the table");
}

/// Runs gnuplot on a script; throws if gnuplot can't be started or fails.
void run_gnuplot(const std::string& script) {
  std::array<std::string, 2> argument_strings{"gnuplot", script};
  std::array<char*, 3> arguments{argument_strings[0].data(), argument_strings[1].data(), nullptr};
  pid_t process = 0;
  int status = 0;
  const bool started =
      posix_spawnp(&process, "gnuplot", nullptr, nullptr, arguments.data(), environ) == 0;
  if (!started || waitpid(process, &status, 0) != process || status != 0)
    throw std::runtime_error("gnuplot failed to run script " + script);
}

}  // namespace

void check_plan(const SweepPlan& plan, const LoadSettings& base, const std::string& source) {
  for (const double value : plan.values)
    check_host_capacity(settings_at(base, plan.quantity, value, source), source);
}

void append_rows(const std::string& table, const std::vector<Measurement>& rows) {
  const bool is_new = !std::filesystem::exists(table) || std::filesystem::is_empty(table);
  std::ofstream out(table, std::ios::app);
  if (!out) throw_setting_error(table, "table", "can't be opened for writing");
  if (is_new) write_header(out);
  for (const auto& row : rows) write_row(out, row);
}

void run_sweep(const SweepPlan& plan, const LoadSettings& base, const LoadTestOptions& options,
               const std::string& table, bool resume) {
  const bool resuming = resume && std::filesystem::exists(table);
  const auto rows = resuming ? read_table(table) : std::vector<Measurement>{};
  size_t point_number = 0;
  for (const double value : plan.values) {
    ++point_number;
    if (already_measured(rows, plan.quantity, value)) continue;
    spdlog::info("{} = {} ({} of {})", plan.quantity, value, point_number, plan.values.size());
    LoadTest load_test(settings_at(base, plan.quantity, value, "sweep"), options);
    Measurement row = load_test.measure_load();
    row.quantity = plan.quantity;
    row.value = value;
    for (const auto& violation : load_test.violations())
      spdlog::error("broken rule: {}", violation);
    append_rows(table, {row});
  }
}

void draw_plot(const std::vector<Measurement>& rows, const std::string& quantity,
               const std::string& column, const std::string& file) {
  const Column& plotted = require_column(column);
  const PowerLawFit fit = fit_column(rows, quantity, plotted);
  std::ostringstream title;
  constexpr int kDigits = 3;
  title.precision(kDigits);
  title << "exponent " << fit.exponent << ", residual " << fit.residual;
  const std::string script = file + ".gp";
  std::ofstream out(script);
  out << "set terminal svg size 640,420\nset output '" << file << "'\nset logscale xy\n"
      << "set xlabel '" << quantity << "' noenhanced\nset ylabel '" << column
      << "' noenhanced\nset key left top\n$points << END\n";
  for (const auto& row : rows)
    if (row.quantity == quantity) out << row.value << ' ' << row.*plotted.field << '\n';
  out << "END\nplot $points with points pt 7 title 'measured', " << fit.factor << "*x**"
      << fit.exponent << " with lines title '" << title.str() << "'\n";
  out.close();
  run_gnuplot(script);
  std::filesystem::remove(script);
}

}  // namespace sumacquay::loadtest
