#include "node/machine_list_poller.h"

#include "node/steady_time.h"
#include "wire/messages.h"

namespace sumacquay {
namespace {

constexpr int kMachinesPerPage = 500;
/// Timeout of a request, as a fraction of the worker lease.
constexpr double kTimeoutLeaseFraction = 0.5;
/// Delay between two polls, as a fraction of the lag of the cloud's list.
constexpr double kPollDelayLagFraction = 0.5;

}  // namespace

MachineListPoller::MachineListPoller(asio::io_context& io, const Settings& settings,
                                     HttpClient& cloud, ActiveScheduler& scheduler)
    : settings_(settings), cloud_(cloud), scheduler_(scheduler), timer_(io) {}

void MachineListPoller::start() {
  read_page(scheduler_.generation(), "", std::make_shared<Machines>());
}

void MachineListPoller::read_page(uint64_t generation, const std::string& after,
                                  const std::shared_ptr<Machines>& machines) {
  cloud_.request("GET", wire::machines_path(after, kMachinesPerPage), "",
                 settings_.lease_s * kTimeoutLeaseFraction,
                 [this, generation, machines](const HttpResult& result) {
                   Scheduler* scheduler = scheduler_.get(generation);
                   if (!scheduler) return;
                   const auto page = result.ok() ? wire::parse_machines(result.body) : std::nullopt;
                   if (page) {
                     machines->insert(machines->end(), page->machines.begin(),
                                      page->machines.end());
                     if (page->more && !page->machines.empty())
                       return read_page(generation, page->machines.back().id, machines);
                     scheduler->on_machines_listed(*machines, steady_now());
                   }
                   schedule_next_read(generation);
                 });
}

void MachineListPoller::schedule_next_read(uint64_t generation) {
  timer_.expires_after(to_microseconds(settings_.list_lag_s * kPollDelayLagFraction));
  timer_.async_wait([this, generation](auto error) {
    if (!error && generation == scheduler_.generation()) start();
  });
}

}  // namespace sumacquay
