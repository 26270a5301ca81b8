#pragma once
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "dispatch/attempt_tracker.h"
#include "dispatch/autoscaler.h"
#include "dispatch/capacity_view.h"
#include "dispatch/cluster_state.h"
#include "placement/placement.h"

namespace sumacquay {

/// Consolidates service replicas on fewer machines. Replicas are long-lived, so as other jobs end
/// they are left spread over many machines with low utilization. Replicas are moved only to
/// machines that have their image cached, which keeps their downtime short. Owns the time of the
/// next moves.
class Rebalancer {
 public:
  Rebalancer(ClusterState& state, const CapacityView& capacity, const Autoscaler& autoscaler,
             AttemptTracker& attempts)
      : state_(state), capacity_(capacity), autoscaler_(autoscaler), attempts_(attempts) {}

  /// Drains machines for the first gang among `unplaced`, the requests that the round could not
  /// place, or, without one, so that the machines can be released.
  void rebalance(const std::vector<PlacementRequest>& unplaced, Seconds now);

 private:
  size_t complete_drains(Seconds now);
  std::vector<size_t> drain_candidates(const std::vector<CandidateMachine>& candidates) const;
  bool drainable(const Machine& machine, TentativePlacement& relocation, Seconds now) const;
  PlacementRequest relocation_request(const Job& job, uint32_t task) const;
  void drain(Machine& machine, std::string_view reason, Seconds now);

  ClusterState& state_;
  const CapacityView& capacity_;
  const Autoscaler& autoscaler_;
  AttemptTracker& attempts_;
  Seconds next_rebalance_ = 0;
};

}  // namespace sumacquay
