#pragma once
#include <cstddef>
#include <utility>
#include <vector>

#include "placement/candidate_machine.h"
#include "placement/placement_request.h"

/// Placement on trial. The autoscaler and the rebalancer ask with it whether tasks would fit
/// elsewhere before they empty a machine.
namespace sumacquay {

/// What is placed through this object is taken from the candidates for as long as it lives, and
/// released when it ends unless keep() was called. The candidates outlive it.
class TentativePlacement {
 public:
  explicit TentativePlacement(std::vector<CandidateMachine>& candidates)
      : candidates_(candidates) {}
  TentativePlacement(const TentativePlacement&) = delete;
  TentativePlacement& operator=(const TentativePlacement&) = delete;
  ~TentativePlacement();

  /// Places what fits beside everything placed before; returns whether all tasks did.
  [[nodiscard]] bool fits(const PlacementRequest& placement_request);

  /// Leaves everything placed so far in place; returns the candidate of each task.
  std::vector<size_t> keep();

 private:
  std::vector<CandidateMachine>& candidates_;
  std::vector<std::pair<size_t, Resources>> taken_;  ///< candidate, and what one task takes there
};

}  // namespace sumacquay
