#include "node/machine_types_poller.h"

#include "node/steady_time.h"
#include "wire/messages.h"

namespace sumacquay {
namespace {

/// Timeout of a request, as a fraction of the worker lease.
constexpr double kDeadlineLeaseShare = 0.5;
/// Delay between two polls, in worker leases; prices change over time.
constexpr double kPauseLeases = 6;
/// Delay between two polls until the first one has succeeded, in heartbeat periods: the minimum and
/// the maximum of the added jitter. Short, because a node cannot accept jobs without machine types.
constexpr double kFirstPauseHeartbeats = 0.3;
constexpr double kFirstPauseJitterHeartbeats = 0.4;

}  // namespace

MachineTypesPoller::MachineTypesPoller(asio::io_context& io, const Settings& settings,
                                       HttpClient& cloud, std::function<double()> random,
                                       std::function<void()> changed)
    : settings_(settings),
      cloud_(cloud),
      random_(std::move(random)),
      changed_(std::move(changed)),
      timer_(io) {}

void MachineTypesPoller::read() {
  cloud_.request("GET", wire::path::kTypes, "", settings_.lease_s * kDeadlineLeaseShare,
                 [this](const HttpResult& result) {
                   auto types = result.ok() ? wire::parse_types(result.body) : std::nullopt;
                   if (types) {
                     types_ = std::move(*types);
                     changed_();
                   }
                   timer_.expires_after(to_microseconds(pause()));
                   timer_.async_wait([this](auto error) {
                     if (!error) read();
                   });
                 });
}

Seconds MachineTypesPoller::pause() {
  if (!types_.empty()) return kPauseLeases * settings_.lease_s;
  return settings_.heartbeat_period_s *
         (kFirstPauseHeartbeats + kFirstPauseJitterHeartbeats * random_());
}

}  // namespace sumacquay
