#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <cstdlib>
#include <iostream>

#include "config/settings.h"
#include "node/node.h"

namespace {

/// Exit status if the settings, or files or addresses in them, can't be used.
constexpr int kExitInvalidSettings = 2;

bool configure_logging() {
  auto logger = std::make_shared<spdlog::logger>("sumacquay",
                                                 std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_default_logger(logger);
  const char* level = std::getenv("LOG_LEVEL");
  const std::string text = level && *level ? level : "info";
  if (text != "error" && text != "info" && text != "debug") {
    std::cerr << "LOG_LEVEL: must be error, info or debug\n";
    return false;
  }
  spdlog::set_level(spdlog::level::from_str(text));
  spdlog::flush_on(spdlog::level::debug);
  return true;
}

int run(int argc, char** argv) {
  CLI::App app{"Scheduler for fleets that serve language models: one controller node."};
  app.set_version_flag("--version", std::string("sumacquay ") + SUMACQUAY_VERSION);
  std::string settings_path;
  std::string tuning_path;
  bool check_only = false;
  app.add_option("--config", settings_path, "the platform's settings (TOML)")->required();
  app.add_option("--tuning", tuning_path, "the operators' settings (HCL)");
  app.add_flag("--check", check_only, "check the settings and exit");
  CLI11_PARSE(app, argc, argv);
  if (!configure_logging()) return kExitInvalidSettings;
  sumacquay::Settings settings = sumacquay::load_settings(settings_path);
  if (!tuning_path.empty()) settings.tuning = sumacquay::load_tuning(tuning_path);
  if (check_only) {
    std::cout << "settings are valid\n";
    return 0;
  }
  asio::io_context io(1);
  sumacquay::Node node(io, settings);
  node.start();
  spdlog::info("{} listens on {}", settings.node, settings.listen.to_string());
  io.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return kExitInvalidSettings;
  }
}
