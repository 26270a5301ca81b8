#pragma once
#include <asio.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http.h"
#include "simulators/rate_limit.h"
#include "simulators/simulated_fleet.h"

namespace sumacquay::simulators {

/// What the simulator of the cloud rents out and allows.
struct CloudOptions {
  std::vector<MachineType> types;
  double requests_per_s = 12;
  Seconds list_lag_s = 8;
  Seconds latency_s = 0.1;   ///< before each answer
  size_t most_machines = 0;  ///< of all types and zones together
};

struct CloudCounts {
  uint64_t requests = 0;
  uint64_t refused = 0;  ///< answered 429
  uint64_t rented = 0;   ///< machines
  uint64_t released = 0;
};

/// A simulator of the cloud on loopback: it boots simulated workers and takes them back, and its
/// list of machines lags as the protocol says.
class CloudServer {
 public:
  CloudServer(asio::io_context& io, const Endpoint& at, CloudOptions options,
              SimulatedFleet& fleet);

  /// A machine that is there from the start.
  std::string add_running(const MachineKind& kind);
  /// A machine that stops by itself, with all that is on it.
  void fail(const std::string& id);
  const CloudCounts& counts() const { return counts_; }

 private:
  struct Rented {
    MachineKind kind;
    Seconds rented_at = 0, up_at = 0;
    bool failed = false;
    std::optional<Seconds> released_at;
  };

  void handle(const HttpRequest& request, const Respond& respond);
  HttpReply answer(const HttpRequest& request);
  HttpReply rent(const HttpRequest& request);
  HttpReply release(const HttpRequest& request);
  HttpReply list(const HttpRequest& request) const;
  void boot(const std::string& id, Seconds boot_s);
  const MachineType* type(const std::string& name) const;
  size_t in_use() const;

  asio::io_context& io_;
  CloudOptions options_;
  SimulatedFleet& fleet_;
  RateLimit limit_;
  CloudCounts counts_;
  std::map<std::string, Rented> machines_;
  std::map<std::string, std::vector<std::string>> answered_rents_;
  HttpServer server_;
};

}  // namespace sumacquay::simulators
