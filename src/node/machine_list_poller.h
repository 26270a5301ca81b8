#pragma once
#include <asio.hpp>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "net/http.h"
#include "node/active_scheduler.h"

namespace sumacquay {

/// Polls the cloud's paginated list of machines while this node leads and passes each complete list
/// to the scheduler. Started and stopped by the node when it begins and stops leading. Owns the
/// poll timer.
///
/// The scheduler never receives a partial list, nor a list whose first page was requested in an
/// earlier term.
class MachineListPoller {
 public:
  MachineListPoller(asio::io_context& io, const Settings& settings, HttpClient& cloud,
                    ActiveScheduler& scheduler);
  void start();
  void stop() { timer_.cancel(); }

 private:
  using Machines = std::vector<ListedMachine>;
  void read_page(uint64_t generation, const std::string& after,
                 const std::shared_ptr<Machines>& machines);
  void schedule_next_read(uint64_t generation);

  const Settings& settings_;
  HttpClient& cloud_;
  ActiveScheduler& scheduler_;
  asio::steady_timer timer_;
};

}  // namespace sumacquay
