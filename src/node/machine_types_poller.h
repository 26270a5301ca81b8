#pragma once
#include <asio.hpp>
#include <functional>
#include <vector>

#include "config/settings.h"
#include "jobs/spec.h"
#include "net/http.h"

namespace sumacquay {

/// Keeps the cloud's machine types and their prices up to date on every node, leading or not: the
/// frontend judges submissions by them. Started by the node; `changed` is called after each read.
class MachineTypesPoller {
 public:
  /// `random`: from 0 to 1, so that the nodes don't ask all at once.
  MachineTypesPoller(asio::io_context& io, const Settings& settings, HttpClient& cloud,
                     std::function<double()> random, std::function<void()> changed);
  void start() { read(); }
  /// Empty until the first read has succeeded; those of the last one after a failure.
  const std::vector<MachineType>& types() const { return types_; }

 private:
  void read();
  Seconds pause();

  const Settings& settings_;
  HttpClient& cloud_;
  std::function<double()> random_;
  std::function<void()> changed_;
  asio::steady_timer timer_;
  std::vector<MachineType> types_;
};

}  // namespace sumacquay
