#pragma once
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fleet/worker_heartbeat.h"

namespace sumacquay {

/// Commands for a worker. Refused there if the fencing token or the agent epoch is not the newest.
struct SendCommands {
  std::string machine, addr;
  uint64_t fencing_token = 0, agent_epoch = 0;
  std::vector<Command> commands;
};
/// An order without commands: shows the worker the fencing token and brings its heartbeat. Whenever
/// it is carried out, it does no harm.
struct Probe {
  std::string machine, addr;
  uint64_t fencing_token = 0, agent_epoch = 0;
};
/// A request for machines. Sent again under the same name it rents nothing more.
struct ScaleOut {
  std::string request, type, zone;
  bool spot = false;
  int count = 0;
};
/// What the cloud answered to a request for machines; unknown if no answer came.
enum class ScaleOutOutcome { Granted, Refused, Unknown };

/// Machines for the cloud to take back, with whatever they run.
struct ScaleIn {
  std::vector<std::string> machines;
};
/// What the node is to do. It reports the outcome of each action back to the leader's scheduler.
using Action = std::variant<SendCommands, Probe, ScaleOut, ScaleIn>;

}  // namespace sumacquay
