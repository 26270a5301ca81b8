#include "config/socket_budget.h"

#include <algorithm>

#include "config/settings_error.h"

namespace sumacquay {
namespace {

/// Sockets for commands to workers, as a fraction of all sockets.
constexpr double kCommandShare = 0.2;
/// Served connections that are not kept open between requests, as a fraction of all served ones:
/// the reserve for peers that connect for a single request.
constexpr double kTurnoverShare = 0.1;
/// Connections reserved for rejecting requests with Retry-After, as a fraction of those of users
/// and workers.
constexpr double kRefusalShare = 0.05;
/// Served connections that users' requests may occupy while being handled, as a fraction of all
/// served ones. In an outage of the key-value store these requests take long, and the rest must
/// suffice for the heartbeats of workers, which would otherwise lose their leases.
constexpr double kUserShare = 0.75;

/// Minimums that suffice for a handful of workers and for commands to several of them at a time.
constexpr size_t kMinServed = 16;
constexpr size_t kMinCommandConnections = 4;
constexpr size_t kMinTurnover = 4;
constexpr size_t kMinRefusals = 2;

constexpr const char* kSocketLimitField = "params.quota.fd_limit";

size_t share_of(size_t whole, double share, size_t minimum) {
  return std::max(minimum, static_cast<size_t>(share * static_cast<double>(whole)));
}

size_t remaining(size_t whole, size_t part) {
  return whole > part ? whole - part : 0;
}

size_t fixed_socket_count(size_t peers) {
  using namespace fixed_sockets;
  const size_t state = kUrgentStateConnections + kStateConnections + kWatchConnections;
  const size_t per_peer = kClientConnectionsPerPeer + kServerConnectionsPerPeer;
  return state + kCloudConnections + peers * per_peer + kSpareServerConnections + kProcessSockets;
}

size_t all_sockets(const Settings& settings) {
  return static_cast<size_t>(settings.max_sockets);
}

/// Sockets for users and workers: those not taken by fixed sockets and worker commands, up to the
/// operators' limit (Tuning::sockets).
size_t user_and_worker_sockets(const Settings& settings, const SocketBudget& budget) {
  const size_t sockets = all_sockets(settings);
  const size_t unallocated = remaining(sockets, budget.fixed + budget.worker_commands);
  return std::min(unallocated, share_of(sockets, settings.tuning.sockets, kMinServed));
}

}  // namespace

SocketBudget socket_budget(const Settings& settings) {
  SocketBudget budget;
  budget.fixed = fixed_socket_count(settings.peers.size());
  budget.worker_commands = share_of(all_sockets(settings), kCommandShare, kMinCommandConnections);
  budget.served_and_refused = user_and_worker_sockets(settings, budget);
  budget.reserved_refusal_connections =
      share_of(budget.served_and_refused, kRefusalShare, kMinRefusals);
  const size_t served = remaining(budget.served_and_refused, budget.reserved_refusal_connections);
  budget.max_kept_alive = remaining(served, share_of(served, kTurnoverShare, kMinTurnover));
  budget.max_user_requests = share_of(served, kUserShare, 1);
  return budget;
}

void check_socket_budget(const Settings& settings, const std::string& source) {
  const SocketBudget budget = socket_budget(settings);
  if (budget.served_and_refused >= kMinServed) return;
  throw_setting_error(source, kSocketLimitField,
                      "too few: " + std::to_string(settings.peers.size()) +
                          " peers, the state service and the cloud need " +
                          std::to_string(budget.fixed) + " and worker commands " +
                          std::to_string(budget.worker_commands) + ", which leaves fewer than " +
                          std::to_string(kMinServed) + " for users and workers");
}

std::optional<std::string> low_socket_warning(const Settings& settings) {
  const SocketBudget budget = socket_budget(settings);
  const size_t configured = share_of(all_sockets(settings), settings.tuning.sockets, kMinServed);
  if (budget.served_and_refused >= configured) return std::nullopt;
  return std::string(kSocketLimitField) + ": " + std::to_string(all_sockets(settings)) +
         " sockets are few for " + std::to_string(settings.peers.size()) + " peers: beyond " +
         std::to_string(budget.max_kept_alive) +
         " open connections, users and workers must reconnect for each request";
}

}  // namespace sumacquay
