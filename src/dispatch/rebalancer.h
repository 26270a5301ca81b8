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

/// Moves replicas of services together. Replicas stay for as long as their users want them, so what
/// was packed together comes apart as other jobs end: many machines, each a little used. Replicas
/// are moved only to machines that have their image, where it costs next to nothing. Owns when it
/// may move the next ones.
class Rebalancer {
 public:
  Rebalancer(ClusterState& state, const CapacityView& capacity, const Autoscaler& autoscaler,
             AttemptTracker& attempts)
      : state_(state), capacity_(capacity), autoscaler_(autoscaler), attempts_(attempts) {}

  /// `unplaced`: what the round found no room for. Machines are drained for a gang among it, or so
  /// that they can be released.
  void rebalance(const std::vector<PlacementRequest>& unplaced, Seconds now);

 private:
  size_t finish_evictions(Seconds now);
  std::vector<size_t> eviction_candidates(const std::vector<CandidateMachine>& candidates) const;
  bool evictable(const Machine& machine, TentativePlacement& elsewhere, Seconds now) const;
  PlacementRequest request_elsewhere(const Job& job, uint32_t task) const;
  void drain(Machine& machine, std::string_view reason, Seconds now);

  ClusterState& state_;
  const CapacityView& capacity_;
  const Autoscaler& autoscaler_;
  AttemptTracker& attempts_;
  Seconds next_rebalance_ = 0;
};

}  // namespace sumacquay
