#pragma once
#include "dispatch/scheduler.h"
#include "wire/messages.h"

/// Builds the parts of the leader's peer heartbeats that go beyond its status, without I/O. Called
/// by PeerHeartbeatExchange when it builds a heartbeat. Correctness does not depend on these parts.
namespace sumacquay {

/// Adds the progress that users see, of the jobs that still have a live record.
void add_job_progress(const Scheduler& scheduler, wire::PeerHeartbeat& heartbeat);

/// Adds hints for a successor: the images that machines have cached, and the machines that were
/// requested and have not sent a heartbeat yet, with their ages.
void add_hints(const Scheduler& scheduler, Seconds now, wire::PeerHeartbeat& heartbeat);

}  // namespace sumacquay
