#include "placement/bin_packing.h"

#include <algorithm>
#include <compare>
#include <functional>
#include <utility>

#include "placement/eligibility.h"

namespace sumacquay {
namespace {

/// Rank of a machine for a task, compared field by field; smaller is better. The fullest machine is
/// the best, comparing GPUs first. A task that needs no GPUs uses a GPU machine only if it fits on
/// no other, because GPU tasks need the CPUs and memory next to idle GPUs.
struct CandidateRank {
  bool wastes_gpus = false;  ///< the task needs no GPUs and the machine has some
  /// The image is not cached and fetching it costs more than tight packing gains.
  bool must_fetch_large_image = false;
  double capacity_gpus = 0;
  bool must_fetch_image = false;
  double available_gpus = 0;
  double available_cpus = 0;
  double available_memory_gb = 0;

  auto operator<=>(const CandidateRank&) const = default;
};

/// Index of a candidate with its rank.
struct RankedCandidate {
  CandidateRank rank;
  size_t candidate = 0;

  auto operator<=>(const RankedCandidate&) const = default;
};

CandidateRank rank_of(const CandidateMachine& candidate,
                      const PlacementRequest& placement_request) {
  const bool has_image = placement_request.has_image && placement_request.has_image(candidate);
  CandidateRank rank;
  rank.wastes_gpus = placement_request.spec->request.gpus == 0 && candidate.capacity.gpus > 0;
  rank.must_fetch_large_image = placement_request.prefer_cached_image && !has_image;
  rank.capacity_gpus = candidate.capacity.gpus;
  rank.must_fetch_image = !has_image;
  rank.available_gpus = candidate.available.gpus;
  rank.available_cpus = candidate.available.cpus;
  rank.available_memory_gb = candidate.available.memory_gb;
  return rank;
}

/// Priority queue of the machines on which the tasks fit, best rank first. A heap avoids a full
/// sort: thousands of machines may fit, and a job usually needs a few.
class CandidateQueue {
 public:
  CandidateQueue(const PlacementRequest& placement_request,
                 const std::vector<CandidateMachine>& candidates,
                 const TasksPerZone& tasks_per_zone) {
    const Resources request = placement_request.request();
    for (size_t i = 0; i < candidates.size(); ++i)
      if (candidates[i].fits(request) && eligible(candidates[i], placement_request, tasks_per_zone))
        heap_.push_back({rank_of(candidates[i], placement_request), i});
    std::make_heap(heap_.begin(), heap_.end(), std::greater<>());
  }

  bool empty() const { return heap_.empty(); }

  /// Removes the best remaining machine and returns its index.
  size_t pop() {
    std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
    const size_t best = heap_.back().candidate;
    heap_.pop_back();
    return best;
  }

 private:
  std::vector<RankedCandidate> heap_;
};

void release(const PlacementRequest& placement_request, std::vector<CandidateMachine>& candidates,
             const std::vector<Assignment>& assignments) {
  const Resources request = placement_request.request();
  for (const auto& assignment : assignments) candidates[assignment.candidate].available += request;
}

/// Tries each zone, because a single-zone gang may fit in a zone other than that of the fullest
/// machine.
std::vector<Assignment> pack_gang_in_any_zone(const PlacementRequest& placement_request,
                                              std::vector<CandidateMachine>& candidates) {
  std::vector<std::string> zones;
  append_zones(zones, candidates);
  for (const auto& zone : zones) {
    if (!constraints_allow_zone(*placement_request.spec, zone)) continue;
    auto assignments = pack_partially_in_zone(zone, placement_request, candidates);
    if (assignments.size() == placement_request.tasks.size()) return assignments;
    release(placement_request, candidates, assignments);
  }
  return {};
}

}  // namespace

std::vector<Assignment> bin_pack(const PlacementRequest& placement_request,
                                 std::vector<CandidateMachine>& candidates) {
  auto assignments = pack_partially(placement_request, candidates);
  const bool complete = assignments.size() == placement_request.tasks.size();
  if (placement_request.spec->kind != JobKind::Gang || complete) return assignments;
  release(placement_request, candidates, assignments);
  if (!placement_request.spec->one_zone) return {};
  return pack_gang_in_any_zone(placement_request, candidates);
}

/// Ranks the machines once per job, which gives the same result as ranking again for each task at a
/// fraction of the cost: each task makes the best machine fuller, so it remains the best, and a
/// machine or zone that is full remains full.
std::vector<Assignment> pack_partially(const PlacementRequest& placement_request,
                                       std::vector<CandidateMachine>& candidates) {
  const JobSpec& spec = *placement_request.spec;
  const Resources request = placement_request.request();
  TasksPerZone tasks_per_zone = placement_request.tasks_per_zone;
  CandidateQueue queue(placement_request, candidates, tasks_per_zone);
  std::vector<Assignment> assignments;
  auto task = placement_request.tasks.begin();
  while (task != placement_request.tasks.end() && !queue.empty()) {
    const size_t index = queue.pop();
    CandidateMachine& candidate = candidates[index];
    while (task != placement_request.tasks.end() && candidate.fits(request) &&
           zone_constraints_allow(spec, tasks_per_zone, candidate.zone)) {
      candidate.available -= request;
      ++tasks_per_zone[candidate.zone];
      assignments.push_back({*task++, index});
    }
  }
  return assignments;
}

std::vector<Assignment> pack_partially_in_zone(const std::string& zone,
                                               const PlacementRequest& placement_request,
                                               std::vector<CandidateMachine>& candidates) {
  JobSpec pinned = *placement_request.spec;
  pinned.zone = zone;
  PlacementRequest in_zone = placement_request;
  in_zone.spec = &pinned;
  return pack_partially(in_zone, candidates);
}

size_t count_fitting_in_zone(const std::string& zone, const PlacementRequest& placement_request,
                             std::vector<CandidateMachine>& candidates) {
  const auto assignments = pack_partially_in_zone(zone, placement_request, candidates);
  release(placement_request, candidates, assignments);
  return assignments.size();
}

void append_zones(std::vector<std::string>& zones,
                  const std::vector<CandidateMachine>& candidates) {
  for (const auto& candidate : candidates)
    if (std::find(zones.begin(), zones.end(), candidate.zone) == zones.end())
      zones.push_back(candidate.zone);
}

}  // namespace sumacquay
