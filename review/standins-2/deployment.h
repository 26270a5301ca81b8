#pragma once
#include <asio.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "net/http.h"
#include "node/steady_time.h"
#include "simulators/cloud_server.h"
#include "simulators/key_value_store_server.h"
#include "simulators/messages.h"
#include "simulators/rule_checker.h"
#include "simulators/simulated_fleet.h"
#include "simulators/users.h"

/// What the stand-in programs of the review share: arguments, the record file, the loop.
namespace review {

using sumacquay::Endpoint;
using sumacquay::Seconds;
using sumacquay::steady_now;

/// Arguments of the form name=value.
class Arguments {
 public:
  Arguments(int argc, char** argv) {
    for (int i = 1; i < argc; ++i) {
      const std::string argument = argv[i];
      const auto equals = argument.find('=');
      if (equals != std::string::npos)
        values_[argument.substr(0, equals)] = argument.substr(equals + 1);
    }
  }
  std::string text(const std::string& name, const std::string& fallback = "") const {
    const auto found = values_.find(name);
    return found == values_.end() ? fallback : found->second;
  }
  double number(const std::string& name, double fallback) const {
    const std::string value = text(name);
    return value.empty() ? fallback : std::stod(value);
  }
  std::vector<std::string> list(const std::string& name) const {
    std::vector<std::string> out;
    std::istringstream in(text(name));
    for (std::string part; std::getline(in, part, ',');) out.push_back(part);
    return out;
  }

 private:
  std::map<std::string, std::string> values_;
};

inline Endpoint loopback(unsigned short port) {
  return {"127.0.0.1", port};
}

/// The file with what was sent, answered and run. Each line begins with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path, std::ios::app), started_at_(steady_now()) {}
  void line(const std::string& text) {
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", steady_now() - started_at_);
    out_ << time << text << std::endl;
  }
  Seconds elapsed() const { return steady_now() - started_at_; }

 private:
  std::ofstream out_;
  Seconds started_at_;
};

/// Runs the loop until the condition holds or the time is over; returns whether the condition
/// holds.
inline bool run_until(asio::io_context& io, Seconds timeout,
                      const std::function<bool()>& condition) {
  const Seconds end = steady_now() + timeout;
  while (steady_now() < end && !condition()) io.run_for(std::chrono::milliseconds(20));
  return condition();
}

inline void run_for(asio::io_context& io, Seconds duration) {
  run_until(io, duration, [] { return false; });
}

}  // namespace review
