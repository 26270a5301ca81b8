#pragma once
#include <vector>

#include "placement/candidate_machine.h"
#include "placement/placement_request.h"

/// Reservations for unplaced tasks, so that smaller tasks do not starve them. They exist only in
/// the candidates, which last for one round.
namespace sumacquay {

/// Reserves resources for part of a gang that does not fit completely: subtracts the requests of as
/// many tasks as fit from `candidates` and leaves the remaining tasks in `placement_request`. A
/// single-zone gang gets the zone where the most tasks fit on `candidates` and `booting`, the
/// booting machines, combined; its remaining tasks are bound to that zone.
void reserve_for_gang(PlacementRequest& placement_request,
                      std::vector<CandidateMachine>& candidates,
                      const std::vector<CandidateMachine>& booting);

/// Reserves CPUs and memory on machines with available GPUs for unplaced tasks that need GPUs, by
/// raising `reserved`, so that tasks without GPUs do not take them. Prefers the machines with the
/// most available CPUs, which lack the least.
void reserve_for_gpu_tasks(const PlacementRequest& placement_request,
                           std::vector<CandidateMachine>& candidates);

}  // namespace sumacquay
