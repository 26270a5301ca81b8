#pragma once
#include <vector>

#include "placement/candidate_machine.h"
#include "placement/placement_request.h"

/// Reservations for tasks that found no machine, so that smaller tasks do not starve them. They
/// last as long as the candidates that they are entered in, which is one round.
namespace sumacquay {

/// For a gang that fits nowhere whole: takes what is available for as many of its tasks as fit, and
/// leaves the others in `placement_request`. A gang that must be in one zone gets the zone where
/// the most of it fits on `candidates` and `soon` together, and what is left of it is bound to that
/// zone. `soon` are the machines that are booting.
void reserve_for_gang(PlacementRequest& placement_request,
                      std::vector<CandidateMachine>& candidates,
                      const std::vector<CandidateMachine>& soon);

/// For tasks that need GPUs and found no machine: keeps tasks that need none off the CPUs and
/// memory beside available GPUs, on the machines where the least is missing. Raises `reserved`.
void reserve_beside_gpus(const PlacementRequest& placement_request,
                         std::vector<CandidateMachine>& candidates);

}  // namespace sumacquay
