#include "placement/tentative_placement.h"

#include "placement/bin_packing.h"

namespace sumacquay {

TentativePlacement::~TentativePlacement() {
  for (const auto& [candidate, request] : taken_) candidates_[candidate].available += request;
}

bool TentativePlacement::place(const PlacementRequest& placement_request) {
  const auto assignments = bin_pack(placement_request, candidates_);
  for (const auto& assignment : assignments)
    taken_.emplace_back(assignment.candidate, placement_request.request());
  return assignments.size() == placement_request.tasks.size();
}

std::vector<size_t> TentativePlacement::commit() {
  std::vector<size_t> candidates;
  for (const auto& [candidate, request] : std::exchange(taken_, {}))
    candidates.push_back(candidate);
  return candidates;
}

}  // namespace sumacquay
