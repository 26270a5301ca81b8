#pragma once
#include <cstddef>
#include <optional>
#include <string>

#include "config/settings.h"

/// The allocation of the sockets that the platform grants a node. Every component that opens
/// sockets gets its limit from here, so that none can starve another.
namespace sumacquay {

/// Sockets that a node needs regardless of the size of the fleet.
namespace fixed_sockets {
inline constexpr size_t kUrgentStateConnections = 3;
inline constexpr size_t kStateConnections = 8;
inline constexpr size_t kWatchConnections = 2;
inline constexpr size_t kCloudConnections = 4;
inline constexpr size_t kClientConnectionsPerPeer = 2;
inline constexpr size_t kServerConnectionsPerPeer = 4;
/// For clients that connect to the address for peers by mistake.
inline constexpr size_t kSpareServerConnections = 8;
/// Two listening sockets, the standard streams, and the event loop's descriptors.
inline constexpr size_t kProcessSockets = 8;
}  // namespace fixed_sockets

/// The numbers of sockets for each purpose on one node. `max_kept_alive` and
/// `reserved_refusal_connections` are parts of `served_and_refused`.
struct SocketBudget {
  size_t fixed = 0;               ///< for the key-value store, the cloud, the peers and the process
  size_t served_and_refused = 0;  ///< connections of users and workers
  size_t reserved_refusal_connections = 0;  ///< of these, only for rejecting requests
  size_t max_kept_alive = 0;                ///< of these, kept alive between requests
  size_t max_user_requests = 0;             ///< users' requests being handled at a time
  size_t worker_commands = 0;               ///< connections to workers
};

/// Allocates `settings.max_sockets`.
SocketBudget socket_budget(const Settings& settings);

/// Throws SettingsError if the sockets do not suffice for a handful of workers. `source` is the
/// file name for the error message.
void check_socket_budget(const Settings& settings, const std::string& source);

/// A warning for operators if the sockets suffice, but leave fewer connections for users and
/// workers than Tuning::sockets asks for. Empty if there is nothing to warn about.
std::optional<std::string> low_socket_warning(const Settings& settings);

}  // namespace sumacquay
