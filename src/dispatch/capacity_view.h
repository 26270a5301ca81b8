#pragma once
#include <vector>

#include "dispatch/cluster_state.h"
#include "placement/placement.h"

namespace sumacquay {

/// Computes the input of bin packing, the capacity of each machine, from the ClusterState. Owns no
/// state.
class CapacityView {
 public:
  explicit CapacityView(const ClusterState& state) : state_(state) {}

  /// The machines that are up, with the resources available on each.
  std::vector<CandidateMachine> up(Seconds now) const;
  /// The machines that are booting, whose capacity becomes available once they are up.
  std::vector<CandidateMachine> booting(Seconds now) const;
  /// Whether the state of the fleet is complete enough to scale or rebalance it: all machines are
  /// reconciled, or the heartbeat timeout has passed since the failover. The wait is limited
  /// because a machine that is silent for so long may remain silent, and a large fleet always has
  /// such a machine.
  bool reconciled_or_timed_out(Seconds now) const;

 private:
  std::vector<CandidateMachine> machines_in(MachineState machine_state, Seconds now) const;
  bool schedulable(const Machine& machine, Seconds now) const;
  Seconds heartbeat_timeout() const;

  const ClusterState& state_;
};

}  // namespace sumacquay
