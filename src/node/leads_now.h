#pragma once
#include "leadership/leader_election.h"
#include "node/active_scheduler.h"
#include "node/steady_time.h"

namespace sumacquay {

/// Whether this node may start tasks and write records at this moment: it has a scheduler, and the
/// leader's lease is valid by its own clock. Asked anew before each action, since either may end
/// between two calls.
[[nodiscard]] inline bool leads_now(const ActiveScheduler& scheduler,
                                    const LeaderElection& election) {
  return scheduler && election.may_act(steady_now());
}

}  // namespace sumacquay
