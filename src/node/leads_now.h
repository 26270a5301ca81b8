#pragma once
#include "leadership/leader_election.h"
#include "node/active_scheduler.h"
#include "node/steady_time.h"

namespace sumacquay {

/// Whether this node may start tasks and write records now: it has a scheduler, and the leader's
/// lease is valid by this node's clock. Checked before each action, because either condition may
/// cease to hold between two calls.
[[nodiscard]] inline bool leads_now(const ActiveScheduler& scheduler,
                                    const LeaderElection& election) {
  return scheduler && election.may_act(steady_now());
}

}  // namespace sumacquay
