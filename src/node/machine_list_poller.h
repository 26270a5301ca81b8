#pragma once
#include <asio.hpp>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "net/http.h"
#include "node/active_scheduler.h"

namespace sumacquay {

/// Reads the cloud's list of machines, page by page and again and again, while this node leads.
/// Called by the node as it begins and ceases to lead. Guarantees that the scheduler sees whole
/// lists only, and nothing of a list that was begun in an earlier period of leading.
class MachineListPoller {
 public:
  MachineListPoller(asio::io_context& io, const Settings& settings, HttpClient& cloud,
                    ActiveScheduler& scheduler);
  void start();
  void stop() { timer_.cancel(); }

 private:
  using Machines = std::vector<ListedMachine>;
  void read_page(uint64_t generation, const std::string& after,
                 const std::shared_ptr<Machines>& so_far);
  void read_again_later(uint64_t generation);

  const Settings& settings_;
  HttpClient& cloud_;
  ActiveScheduler& scheduler_;
  asio::steady_timer timer_;
};

}  // namespace sumacquay
