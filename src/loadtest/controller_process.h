#pragma once
#include <sys/types.h>

#include <cstdint>
#include <string>

#include "jobs/spec.h"

namespace sumacquay::loadtest {

/// Resource usage of a process as reported by /proc.
struct ProcessUsage {
  double cpu_s = 0;
  double memory_mb = 0;  ///< peak resident set size
  size_t sockets = 0;    ///< open file descriptors, nearly all of them sockets
};

/// The usage of a process; zeros if the process does not exist.
ProcessUsage read_usage(pid_t pid);

/// A controller in a child process, which can be killed and restarted.
class ControllerProcess {
 public:
  /// Paths of the program and its files.
  struct Files {
    std::string program;   ///< the controller's executable
    std::string settings;  ///< platform's settings (TOML)
    std::string tuning;    ///< operators' settings
    std::string log;       ///< receives standard error
  };
  explicit ControllerProcess(std::string name, Files files);
  ControllerProcess(const ControllerProcess&) = delete;
  ControllerProcess(ControllerProcess&& other) noexcept;
  ~ControllerProcess();

  /// Starts the process; throws std::system_error on failure.
  void start();
  /// Sends SIGKILL, which simulates a crash, and reaps the process.
  void kill();
  bool running() const { return pid_ > 0; }
  /// Whether the process has exited without `kill`; reaps it.
  bool exited_unexpectedly();
  const std::string& name() const { return name_; }
  ProcessUsage usage() const { return read_usage(pid_); }

 private:
  std::string name_;
  Files files_;
  pid_t pid_ = 0;
};

}  // namespace sumacquay::loadtest
