#pragma once
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fleet/worker_heartbeat.h"

namespace sumacquay {

/// Commands for a worker. The worker rejects them if the fencing token or the agent epoch is stale.
struct SendCommands {
  std::string machine, addr;
  uint64_t fencing_token = 0, agent_epoch = 0;
  std::vector<Command> commands;
};
/// A request without commands. It presents the fencing token to the worker and returns the worker's
/// heartbeat. It is harmless whenever the worker executes it.
struct Probe {
  std::string machine, addr;
  uint64_t fencing_token = 0, agent_epoch = 0;
};
/// A request for machines. It is idempotent: a retry under the same name provisions no further
/// machines.
struct ScaleOut {
  std::string request_name, type, zone;
  bool spot = false;
  int count = 0;
};
/// The cloud's answer to a request for machines; `Unknown` if there was none.
enum class ScaleOutOutcome { Granted, Refused, Unknown };

/// Machines for the cloud to terminate, including any tasks still running on them.
struct ScaleIn {
  std::vector<std::string> machines;
};
/// An operation that the scheduler requests from the node. The node reports the outcome of each one
/// to the leader's scheduler.
using Action = std::variant<SendCommands, Probe, ScaleOut, ScaleIn>;

}  // namespace sumacquay
