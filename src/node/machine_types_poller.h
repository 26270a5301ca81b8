#pragma once
#include <asio.hpp>
#include <functional>
#include <vector>

#include "config/settings.h"
#include "jobs/spec.h"
#include "net/http.h"

namespace sumacquay {

/// Polls the cloud's machine types and their prices. Runs on every node, whether or not it leads,
/// because the frontend checks submissions against the types. Started by the node. Owns the latest
/// types and the poll timer.
class MachineTypesPoller {
 public:
  /// `random` returns a number from 0 to 1; keeps the nodes from polling at the same time.
  /// `on_polled` is called after each successful poll.
  MachineTypesPoller(asio::io_context& io, const Settings& settings, HttpClient& cloud,
                     std::function<double()> random, std::function<void()> on_polled);
  void start() { poll(); }
  /// The types of the last successful poll; empty until there was one.
  const std::vector<MachineType>& types() const { return types_; }

 private:
  void poll();
  Seconds poll_delay();

  const Settings& settings_;
  HttpClient& cloud_;
  std::function<double()> random_;
  std::function<void()> on_polled_;
  asio::steady_timer timer_;
  std::vector<MachineType> types_;
};

}  // namespace sumacquay
