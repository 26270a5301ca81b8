#include "placement/reservation.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include "placement/bin_packing.h"
#include "placement/eligibility.h"

namespace sumacquay {
namespace {

/// The zone where the most tasks fit on `candidates` and `booting` combined; ties go to the first
/// zone by name. None if no task fits anywhere.
std::optional<std::string> best_zone(const PlacementRequest& placement_request,
                                     std::vector<CandidateMachine>& candidates,
                                     std::vector<CandidateMachine> booting) {
  std::vector<std::string> zones;
  append_zones(zones, candidates);
  append_zones(zones, booting);
  std::sort(zones.begin(), zones.end());
  std::optional<std::string> best;
  size_t best_count = 0;
  for (const auto& zone : zones) {
    if (!constraints_allow_zone(*placement_request.spec, zone)) continue;
    const size_t count = count_fitting_in_zone(zone, placement_request, candidates) +
                         count_fitting_in_zone(zone, placement_request, booting);
    if (count <= best_count) continue;
    best = zone;
    best_count = count;
  }
  return best;
}

bool has_gpus_for(const CandidateMachine& candidate, const Resources& request) {
  return candidate.available.gpus - candidate.reserved.gpus >= request.gpus;
}

}  // namespace

void reserve_for_gang(PlacementRequest& placement_request,
                      std::vector<CandidateMachine>& candidates,
                      const std::vector<CandidateMachine>& booting) {
  std::vector<Assignment> reserved;
  if (placement_request.spec->one_zone) {
    const auto zone = best_zone(placement_request, candidates, booting);
    if (!zone) return;
    reserved = pack_partially_in_zone(*zone, placement_request, candidates);
    placement_request.tasks_per_zone[*zone] += 1;  // binds the remaining tasks to this zone
  } else {
    reserved = pack_partially(placement_request, candidates);
  }
  for (const auto& assignment : reserved) std::erase(placement_request.tasks, assignment.task);
}

void reserve_for_gpu_tasks(const PlacementRequest& placement_request,
                           std::vector<CandidateMachine>& candidates) {
  const Resources request = placement_request.request();
  if (request.gpus <= 0) return;
  struct Reservable {
    double negated_available_cpus = 0;  ///< negated, so that the most available CPUs come first
    size_t candidate = 0;
    auto operator<=>(const Reservable&) const = default;
  };
  std::vector<Reservable> order;
  for (size_t i = 0; i < candidates.size(); ++i)
    if (has_gpus_for(candidates[i], request) &&
        eligible(candidates[i], placement_request, placement_request.tasks_per_zone))
      order.push_back({candidates[i].reserved.cpus - candidates[i].available.cpus, i});
  std::sort(order.begin(), order.end());
  size_t tasks_left = placement_request.tasks.size();
  for (const auto& entry : order) {
    CandidateMachine& candidate = candidates[entry.candidate];
    for (; tasks_left > 0 && has_gpus_for(candidate, request); --tasks_left)
      candidate.reserved += request;
  }
}

}  // namespace sumacquay
