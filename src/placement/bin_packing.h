#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "placement/candidate_machine.h"
#include "placement/placement_request.h"

/// Bin packing of tasks onto machines. Decisions only: nothing here does I/O or knows of a clock.
/// Each function takes what it places out of the candidates' `available`.
namespace sumacquay {

/// Places tasks on the fullest machines that they fit on, GPUs first. A gang is placed whole or not
/// at all, and nothing is taken for one that is not; of job arrays and services as many tasks are
/// placed as fit. The scheduler calls this in each round, and the planner of scale-outs to see what
/// machines that are booting will hold.
std::vector<Assignment> bin_pack(const PlacementRequest& placement_request,
                                 std::vector<CandidateMachine>& candidates);

/// Places as many tasks as fit, of a gang too.
std::vector<Assignment> pack_partially(const PlacementRequest& placement_request,
                                       std::vector<CandidateMachine>& candidates);

/// The same on the machines of one zone.
std::vector<Assignment> pack_partially_in_zone(const std::string& zone,
                                               const PlacementRequest& placement_request,
                                               std::vector<CandidateMachine>& candidates);

/// How many of the tasks fit in the zone. Nothing stays taken.
[[nodiscard]] size_t count_fitting_in_zone(const std::string& zone,
                                           const PlacementRequest& placement_request,
                                           std::vector<CandidateMachine>& candidates);

/// Adds the candidates' zones to `zones`, each once, in the order of the candidates.
void append_zones(std::vector<std::string>& zones, const std::vector<CandidateMachine>& candidates);

}  // namespace sumacquay
