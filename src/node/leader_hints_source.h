#pragma once
#include "dispatch/scheduler.h"
#include "wire/messages.h"

/// What the leader's heartbeats carry beside its status, without I/O. Called by the node as it
/// builds a heartbeat. Safety rests on none of it.
namespace sumacquay {

/// The counts that users are shown, and nothing of jobs whose records are gone.
void add_counts(const Scheduler& scheduler, wire::PeerHeartbeat& heartbeat);

/// Hints for a successor: the images that machines hold, and the machines that were rented and not
/// heard yet, with their ages.
void add_hints(const Scheduler& scheduler, Seconds now, wire::PeerHeartbeat& heartbeat);

}  // namespace sumacquay
