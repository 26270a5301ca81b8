#pragma once
#include <cstddef>
#include <utility>
#include <vector>

#include "placement/candidate_machine.h"
#include "placement/placement_request.h"

/// Tentative placement with rollback. The autoscaler and the rebalancer use it to check whether
/// tasks fit on other machines before they release or drain a machine.
namespace sumacquay {

/// Subtracts the resources of placed tasks from the candidates and returns them on destruction
/// unless commit() was called. The candidates must outlive the object.
class TentativePlacement {
 public:
  explicit TentativePlacement(std::vector<CandidateMachine>& candidates)
      : candidates_(candidates) {}
  TentativePlacement(const TentativePlacement&) = delete;
  TentativePlacement& operator=(const TentativePlacement&) = delete;
  ~TentativePlacement();

  /// Places as many tasks as fit in addition to earlier ones; returns whether all of them fit.
  [[nodiscard]] bool place(const PlacementRequest& placement_request);

  /// Makes all placements so far permanent; returns the candidate of each task.
  std::vector<size_t> commit();

 private:
  std::vector<CandidateMachine>& candidates_;
  std::vector<std::pair<size_t, Resources>> taken_;  ///< candidate index and resources of one task
};

}  // namespace sumacquay
