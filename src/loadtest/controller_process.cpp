#include "loadtest/controller_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

namespace sumacquay::loadtest {
namespace {

std::string proc_path(pid_t pid, const char* file) {
  return "/proc/" + std::to_string(pid) + "/" + file;
}

/// User and system time: the 14th and 15th fields of /proc/PID/stat.
double cpu_seconds(pid_t pid) {
  std::ifstream file(proc_path(pid, "stat"));
  std::string line;
  std::getline(file, line);
  const auto name_end = line.rfind(')');  // the name may contain spaces
  if (name_end == std::string::npos) return 0;
  std::istringstream fields(line.substr(name_end + 1));
  constexpr int kSkippedFields = 11;
  std::string skipped;
  for (int i = 0; i < kSkippedFields; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double peak_memory_mb(pid_t pid) {
  constexpr double kKilobytesPerMegabyte = 1024;
  const std::string name = "VmHWM:";
  std::ifstream file(proc_path(pid, "status"));
  for (std::string line; std::getline(file, line);)
    if (line.starts_with(name)) return std::stod(line.substr(name.size())) / kKilobytesPerMegabyte;
  return 0;
}

size_t open_files(pid_t pid) {
  std::error_code error;
  size_t count = 0;
  for (std::filesystem::directory_iterator it(proc_path(pid, "fd"), error), end;
       !error && it != end; it.increment(error))
    ++count;
  return count;
}

}  // namespace

ProcessUsage read_usage(pid_t pid) {
  if (pid <= 0) return {};
  return {cpu_seconds(pid), peak_memory_mb(pid), open_files(pid)};
}

ControllerProcess::ControllerProcess(std::string name, Files files)
    : name_(std::move(name)), files_(std::move(files)) {}

ControllerProcess::ControllerProcess(ControllerProcess&& other) noexcept
    : name_(std::move(other.name_)),
      files_(std::move(other.files_)),
      pid_(std::exchange(other.pid_, 0)) {}

ControllerProcess::~ControllerProcess() {
  kill();
}

void ControllerProcess::start() {
  std::array<std::string, 5> argument_strings{files_.program, "--tuning", files_.tuning, "--config",
                                              files_.settings};
  std::array<char*, argument_strings.size() + 1> arguments{};
  for (size_t i = 0; i < argument_strings.size(); ++i) arguments[i] = argument_strings[i].data();
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kOwnerOnly = 0600;
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, files_.log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kOwnerOnly);
  // The controller must not inherit the thousands of sockets of this process.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error =
      posix_spawn(&pid_, files_.program.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error == 0) return;
  pid_ = 0;
  throw std::system_error(error, std::generic_category(), files_.program);
}

void ControllerProcess::kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool ControllerProcess::exited_unexpectedly() {
  if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = 0;
  return true;
}

}  // namespace sumacquay::loadtest
