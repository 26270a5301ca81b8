#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <stdexcept>

#include "loadtest/fit.h"
#include "loadtest/sweep.h"

namespace {

using namespace sumacquay::loadtest;

/// Exit status if the settings, or files in them, can't be used.
constexpr int kExitInvalidSettings = 2;
/// Exit status if the rule checker found a violation.
constexpr int kExitRuleViolation = 3;

struct Arguments {
  std::string settings, program = "target/sumacquay", tuning, table;
  std::string quantity, column = "leader_cores", plot;
  std::vector<double> values;
  std::vector<std::string> tables;
  bool resume = false;
};

LoadSettings settings_of(const Arguments& arguments) {
  LoadSettings settings;
  if (!arguments.settings.empty()) settings = read_load_settings(arguments.settings);
  return settings;
}

/// Options with a new directory for the controllers' settings and logs. The directory is not
/// removed, so that the logs are available for diagnosis.
LoadTestOptions options_of(const Arguments& arguments) {
  std::string directory = (std::filesystem::temp_directory_path() / "loadtest-XXXXXX").string();
  if (!mkdtemp(directory.data()))
    throw std::runtime_error("can't create a directory for settings and logs");
  spdlog::info("controller settings and logs: {}", directory);
  LoadTestOptions options;
  options.program = std::filesystem::absolute(arguments.program).string();
  options.directory = directory;
  if (!arguments.tuning.empty()) options.tuning = sumacquay::read_settings_file(arguments.tuning);
  return options;
}

int sweep(const Arguments& arguments) {
  const LoadSettings settings = settings_of(arguments);
  const SweepPlan plan{arguments.quantity, arguments.values};
  check_plan(plan, settings, arguments.settings.empty() ? "settings" : arguments.settings);
  run_sweep(plan, settings, options_of(arguments), arguments.table, arguments.resume);
  return 0;
}

int faults(const Arguments& arguments) {
  const LoadSettings settings = settings_of(arguments);
  check_host_capacity(settings, arguments.settings.empty() ? "settings" : arguments.settings);
  LoadTest load_test(settings, options_of(arguments));
  append_rows(arguments.table, {load_test.measure_load()});
  append_rows(arguments.table, load_test.measure_faults());
  for (const auto& violation : load_test.violations()) spdlog::error("broken rule: {}", violation);
  return load_test.violations().empty() ? 0 : kExitRuleViolation;
}

int tables(const Arguments& arguments) {
  std::vector<Measurement> rows;
  for (const auto& table : arguments.tables)
    for (auto& row : read_table(table)) rows.push_back(std::move(row));
  std::cout << format_report(rows);
  return 0;
}

int plot(const Arguments& arguments) {
  draw_plot(read_table(arguments.table), arguments.quantity, arguments.column, arguments.plot);
  return 0;
}

void add_load_options(CLI::App& command, Arguments& arguments) {
  command.add_option("--settings", arguments.settings, "size and load (operators' format)");
  command.add_option("--controller", arguments.program, "path of the controller program");
  command.add_option("--tuning", arguments.tuning,
                     "the operators' settings for the controllers (HCL)");
  command.add_option("--out", arguments.table, "CSV file to append rows to")->required();
}

int run(int argc, char** argv) {
  CLI::App app{
      "Load test: measures controllers on this machine against simulated workers, users, a state "
      "service and a cloud."};
  app.require_subcommand(1);
  Arguments arguments;
  auto& sweep_command = *app.add_subcommand("sweep", "measure one quantity at several sizes");
  add_load_options(sweep_command, arguments);
  sweep_command.add_option("quantity", arguments.quantity, "the settings field to vary")
      ->required();
  sweep_command.add_option("values", arguments.values, "the values of the field to measure")
      ->required();
  sweep_command.add_flag("--resume", arguments.resume, "skip values already in the CSV file");
  auto& faults_command = *app.add_subcommand(
      "faults", "kill the leader and a follower, silence the workers of a zone, check rules");
  add_load_options(faults_command, arguments);
  auto& tables_command = *app.add_subcommand("tables", "print measurements and fits as Markdown");
  tables_command.add_option("tables", arguments.tables, "CSV files")->required();
  auto& plot_command = *app.add_subcommand("plot", "draw a fit as SVG (needs gnuplot)");
  plot_command.add_option("table", arguments.table, "CSV file")->required();
  plot_command.add_option("quantity", arguments.quantity)->required();
  plot_command.add_option("column", arguments.column)->required();
  plot_command.add_option("file", arguments.plot, "SVG file")->required();
  CLI11_PARSE(app, argc, argv);
  if (sweep_command.parsed()) return sweep(arguments);
  if (faults_command.parsed()) return faults(arguments);
  if (tables_command.parsed()) return tables(arguments);
  return plot(arguments);
}

}  // namespace

int main(int argc, char** argv) {
  spdlog::set_default_logger(spdlog::stderr_logger_mt("loadtest"));
  spdlog::set_pattern("%H:%M:%S %l %v");
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kExitInvalidSettings;
  }
}
