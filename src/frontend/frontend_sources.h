#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "jobs/spec.h"
#include "wire/peer_heartbeat.h"

namespace sumacquay {

/// What the front end asks of the node that it belongs to. All of it may be called at any time.
struct FrontendSources {
  /// The machine types that can be rented; empty while they are not known yet.
  std::function<const std::vector<MachineType>&()> types;
  /// Tasks of a job that run, as the leader last said; for display only.
  std::function<wire::JobProgress(const std::string& id)> counts;
  /// Milliseconds since 1970.
  std::function<uint64_t()> time_of_day_ms;
};

}  // namespace sumacquay
