#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "jobs/spec.h"
#include "wire/peer_heartbeat.h"

namespace sumacquay {

/// Callbacks through which the front end reads the state of the node that owns it. Each may be
/// called at any time.
struct FrontendCallbacks {
  /// Machine types that can be requested; empty until the list has been read from the cloud.
  std::function<const std::vector<MachineType>&()> machine_types;
  /// Progress of a job as last reported by the leader; for display only.
  std::function<wire::JobProgress(const std::string& id)> job_progress;
  /// Wall-clock time in milliseconds since the Unix epoch.
  std::function<uint64_t()> unix_time_ms;
};

}  // namespace sumacquay
