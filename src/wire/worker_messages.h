#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/worker_heartbeat.h"

/// Messages between workers and controllers. Workers send heartbeats with their status, and the
/// responses carry commands. The leader also sends commands on its own initiative, and the worker
/// responds with a heartbeat. Called by the node. Which commands to send is decided elsewhere.
namespace sumacquay::wire {

namespace path {
inline constexpr const char* kWorkerHeartbeat = "/hello";  ///< served by controllers
inline constexpr const char* kWorkerCommands = "/orders";  ///< served by workers
}  // namespace path

/// Parses a heartbeat, or a worker's response to commands; none if any part of it is invalid.
std::optional<WorkerHeartbeat> parse_worker_heartbeat(std::string_view body);

/// Response to a heartbeat, which renews the worker's lease. `fencing_token` is the token in force
/// for the worker, which rejects commands with a lower one.
std::string heartbeat_response_body(uint64_t fencing_token, const std::vector<Command>& commands);

/// Response to a heartbeat that reached a controller other than the leader. `node` is the leader's
/// name; empty if it is unknown.
std::string redirect_body(const std::string& node);

/// Commands for one agent epoch of a worker. An empty list only probes the worker and conveys the
/// fencing token.
std::string worker_commands_body(uint64_t fencing_token, uint64_t agent_epoch,
                                 const std::vector<Command>& commands);

}  // namespace sumacquay::wire
