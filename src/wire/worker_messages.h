#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/worker_heartbeat.h"

/// Messages between workers and controllers. A worker sends heartbeats with its status to a
/// controller, whose answer carries commands. The leader also sends commands of its own accord,
/// which a worker answers with a heartbeat. The node calls it; what to command is not decided here.
namespace sumacquay::wire {

namespace path {
inline constexpr const char* kWorkerHeartbeat = "/hello";  ///< on a controller
inline constexpr const char* kWorkerCommands = "/orders";  ///< on a worker
}  // namespace path

/// Reads a heartbeat, or a worker's answer to commands; none if any part of it is invalid.
std::optional<WorkerHeartbeat> parse_worker_heartbeat(std::string_view body);

/// Answers a heartbeat, which renews the worker's lease. `fencing_token` is the one in force for
/// the worker: it refuses commands that come with a lower one.
std::string heartbeat_answer(uint64_t fencing_token, const std::vector<Command>& commands);

/// Answers a heartbeat that came to a controller which doesn't lead; `node` is the leader's name,
/// empty where it isn't known.
std::string redirect_body(const std::string& node);

/// Commands for one agent epoch of a worker. Without commands they only probe it and show the
/// fencing token.
std::string worker_commands_body(uint64_t fencing_token, uint64_t agent_epoch,
                                 const std::vector<Command>& commands);

}  // namespace sumacquay::wire
