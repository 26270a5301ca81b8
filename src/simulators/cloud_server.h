#pragma once
#include <asio.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http.h"
#include "simulators/simulated_fleet.h"
#include "simulators/token_bucket.h"

namespace sumacquay::simulators {

/// Machine types and limits of the simulated cloud.
struct CloudOptions {
  std::vector<MachineType> types;
  double requests_per_s = 12;
  Seconds list_lag_s = 8;
  Seconds latency_s = 0.1;  ///< delay of each response
  size_t max_machines = 0;  ///< over all types and zones
};

/// Counters of the simulated cloud since its start.
struct CloudCounts {
  uint64_t requests = 0;
  uint64_t refused = 0;      ///< rate limited: answered 429
  uint64_t provisioned = 0;  ///< machines provisioned by scale-out requests
  uint64_t released = 0;     ///< machines
};

/// HTTP server on loopback that simulates the cloud: it provisions machines with simulated workers
/// and releases them. Its list of machines is eventually consistent: it shows the state of
/// `list_lag_s` ago.
class CloudServer {
 public:
  CloudServer(asio::io_context& io, const Endpoint& endpoint, CloudOptions options,
              SimulatedFleet& fleet);

  /// Adds a machine that is already running and listed; returns its id.
  std::string add_running_machine(const MachineOffering& offering);
  /// Fails a machine: its worker and tasks are lost, and the cloud lists it as failed.
  void fail(const std::string& id);
  const CloudCounts& counts() const { return counts_; }

 private:
  /// A provisioned machine; released ones are kept, since the list lags.
  struct ProvisionedMachine {
    MachineOffering offering;
    Seconds created_at = 0, boot_ends_at = 0;
    bool failed = false;
    std::optional<Seconds> released_at;
  };

  void handle(const HttpRequest& request, const Respond& respond);
  HttpReply route(const HttpRequest& request);
  HttpReply scale_out(const HttpRequest& request);
  HttpReply release(const HttpRequest& request);
  HttpReply list(const HttpRequest& request) const;
  void boot(const std::string& id, Seconds boot_s);
  const MachineType* find_type(const std::string& name) const;
  size_t active_machines() const;

  asio::io_context& io_;
  CloudOptions options_;
  SimulatedFleet& fleet_;
  TokenBucket rate_limit_;
  CloudCounts counts_;
  std::map<std::string, ProvisionedMachine> machines_;
  std::map<std::string, std::vector<std::string>> scale_out_answers_;
  HttpServer server_;
};

}  // namespace sumacquay::simulators
