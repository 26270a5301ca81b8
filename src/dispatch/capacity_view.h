#pragma once
#include <vector>

#include "dispatch/cluster_state.h"
#include "placement/placement.h"

namespace sumacquay {

/// The cluster's capacity as bin packing sees it. Reads the ClusterState and owns nothing.
class CapacityView {
 public:
  explicit CapacityView(const ClusterState& state) : state_(state) {}

  /// The machines that are up, with what is available on each.
  std::vector<CandidateMachine> up(Seconds now) const;
  /// The machines that are booting: all of their capacity is available once they are up.
  std::vector<CandidateMachine> booting(Seconds now) const;
  /// Whether the fleet may be changed by what is known of it: every machine is reconciled, or has
  /// had time to be. A machine that is silent some heartbeats after the failover may stay so, and
  /// in a large fleet some machine always is.
  bool settled(Seconds now) const;

 private:
  std::vector<CandidateMachine> machines_in(MachineState machine_state, Seconds now) const;
  bool schedulable(const Machine& machine, Seconds now) const;
  Seconds heartbeat_timeout() const;

  const ClusterState& state_;
};

}  // namespace sumacquay
