#pragma once
#include <cstdint>
#include <vector>

#include "fleet/worker_heartbeat.h"

/// The protocol's limit on request bodies and on responses to workers: 64 KiB, counted in JSON
/// form. The receivers of the simulation refuse messages beyond it.
namespace sumacquay::simulation {

/// Whether a worker's heartbeat is too large for a controller.
bool exceeds_body_limit(const WorkerHeartbeat& heartbeat);
/// Whether a controller's answer to a heartbeat is too large for a worker.
bool answer_exceeds_body_limit(uint64_t fencing_token, const std::vector<Command>& commands);
/// Whether a request with commands is too large for a worker.
bool request_exceeds_body_limit(uint64_t fencing_token, uint64_t agent_epoch,
                                const std::vector<Command>& commands);

}  // namespace sumacquay::simulation
