#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "placement/candidate_machine.h"
#include "placement/placement_request.h"

/// Bin packing of tasks onto machines, without I/O and without a clock. Each function subtracts the
/// resources of placed tasks from the candidates' `available`.
namespace sumacquay {

/// Places tasks on the fullest machines where they fit, comparing GPUs first. A gang is placed
/// completely or not at all, in which case no resources are taken; of job arrays and services, as
/// many tasks are placed as fit. The scheduler calls this in each round, and the scale-out planner
/// to determine which tasks fit on booting machines.
std::vector<Assignment> bin_pack(const PlacementRequest& placement_request,
                                 std::vector<CandidateMachine>& candidates);

/// Places as many tasks as fit, even if they are only part of a gang.
std::vector<Assignment> pack_partially(const PlacementRequest& placement_request,
                                       std::vector<CandidateMachine>& candidates);

/// Like pack_partially, but only on machines in the given zone.
std::vector<Assignment> pack_partially_in_zone(const std::string& zone,
                                               const PlacementRequest& placement_request,
                                               std::vector<CandidateMachine>& candidates);

/// Number of the tasks that fit in the zone. `candidates` is unchanged on return.
[[nodiscard]] size_t count_fitting_in_zone(const std::string& zone,
                                           const PlacementRequest& placement_request,
                                           std::vector<CandidateMachine>& candidates);

/// Appends the candidates' zones to `zones` without duplicates, in the order of the candidates.
void append_zones(std::vector<std::string>& zones, const std::vector<CandidateMachine>& candidates);

}  // namespace sumacquay
