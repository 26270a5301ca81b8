#include "node/machine_types_poller.h"

#include "node/steady_time.h"
#include "wire/messages.h"

namespace sumacquay {
namespace {

/// Timeout of a request, as a fraction of the worker lease.
constexpr double kTimeoutLeaseFraction = 0.5;
/// Delay between two polls, in worker leases; prices change over time.
constexpr double kPollDelayLeases = 6;
/// Delay between two polls until the first one has succeeded, in heartbeat periods: the minimum and
/// the maximum of the added jitter. Short, because a node cannot accept jobs without machine types.
constexpr double kInitialPollDelayHeartbeatPeriods = 0.3;
constexpr double kInitialPollJitterHeartbeatPeriods = 0.4;

}  // namespace

MachineTypesPoller::MachineTypesPoller(asio::io_context& io, const Settings& settings,
                                       HttpClient& cloud, std::function<double()> random,
                                       std::function<void()> on_polled)
    : settings_(settings),
      cloud_(cloud),
      random_(std::move(random)),
      on_polled_(std::move(on_polled)),
      timer_(io) {}

void MachineTypesPoller::poll() {
  cloud_.request("GET", wire::path::kTypes, "", settings_.lease_s * kTimeoutLeaseFraction,
                 [this](const HttpResult& result) {
                   auto types = result.ok() ? wire::parse_types(result.body) : std::nullopt;
                   if (types) {
                     types_ = std::move(*types);
                     on_polled_();
                   }
                   timer_.expires_after(to_microseconds(poll_delay()));
                   timer_.async_wait([this](auto error) {
                     if (!error) poll();
                   });
                 });
}

Seconds MachineTypesPoller::poll_delay() {
  if (!types_.empty()) return kPollDelayLeases * settings_.lease_s;
  return settings_.heartbeat_period_s *
         (kInitialPollDelayHeartbeatPeriods + kInitialPollJitterHeartbeatPeriods * random_());
}

}  // namespace sumacquay
