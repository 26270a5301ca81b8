#pragma once
#include <cstddef>
#include <optional>
#include <string>

#include "config/settings.h"

/// How the sockets that the platform grants a node are shared out. Every part of the node that
/// opens sockets gets its limit from here, so that none can starve another.
namespace sumacquay {

/// Sockets that a node needs whatever the size of the fleet.
namespace fixed_sockets {
inline constexpr size_t kUrgentStateConnections = 3;
inline constexpr size_t kStateConnections = 8;
inline constexpr size_t kWatchConnections = 2;
inline constexpr size_t kCloudConnections = 4;
inline constexpr size_t kClientConnectionsPerPeer = 2;
inline constexpr size_t kServerConnectionsPerPeer = 4;
/// For whoever mistakes the address that peers use.
inline constexpr size_t kServerConnectionsSpare = 8;
/// Two listening sockets, the standard streams, and what the event loop needs.
inline constexpr size_t kOfTheProcess = 8;
}  // namespace fixed_sockets

/// The shares of one node. `kept_open` and `refusals` are parts of `served_and_refused`.
struct SocketBudget {
  size_t fixed = 0;               ///< for the key-value store, the cloud, the peers and the process
  size_t served_and_refused = 0;  ///< connections of users and workers
  size_t refusals = 0;            ///< of these, for those that are only refused
  size_t kept_open = 0;           ///< of these, between requests
  size_t users_in_progress = 0;   ///< users' requests that are being handled
  size_t worker_commands = 0;     ///< connections to workers
};

/// Shares out `settings.max_sockets`.
SocketBudget socket_budget(const Settings& settings);

/// Throws SettingsError, with `source` as the file, if the sockets can't serve a handful of
/// workers.
void check_sockets(const Settings& settings, const std::string& source);

/// A warning for operators about a budget that works, but not as well as the platform's other
/// settings let one expect. None if there is nothing to warn of.
std::optional<std::string> cost_of_few_sockets(const Settings& settings);

}  // namespace sumacquay
