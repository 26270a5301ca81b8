#pragma once
#include <sys/types.h>

#include <cstdint>
#include <string>

#include "jobs/spec.h"

namespace sumacquay::loadtest {

/// What a process has used, as the system counts it.
struct ProcessUsage {
  double cpu_s = 0;
  double memory_mb = 0;  ///< resident at its highest
  size_t sockets = 0;    ///< open files, nearly all of which are sockets
};

/// The usage of a process; zeros if it is gone.
ProcessUsage usage_of(pid_t process);

/// A controller that runs as a process of its own, from start to kill and start again.
class ControllerProcess {
 public:
  struct Files {
    std::string program;   ///< the controller
    std::string settings;  ///< its TOML file
    std::string tuning;    ///< the operators' file
    std::string log;       ///< where its standard error goes
  };
  explicit ControllerProcess(std::string name, Files files);
  ControllerProcess(const ControllerProcess&) = delete;
  ControllerProcess(ControllerProcess&& other) noexcept;
  ~ControllerProcess();

  /// Throws std::system_error if it can't be started.
  void start();
  /// Ends it with no warning, as a crash would.
  void kill();
  bool running() const { return process_ > 0; }
  /// Whether it has ended by itself since the start.
  bool ended_by_itself();
  const std::string& name() const { return name_; }
  ProcessUsage usage() const { return usage_of(process_); }

 private:
  std::string name_;
  Files files_;
  pid_t process_ = 0;
};

}  // namespace sumacquay::loadtest
