#pragma once
#include <optional>
#include <utility>
#include <vector>

#include "dispatch/attempt_tracker.h"
#include "dispatch/capacity_view.h"
#include "dispatch/cluster_state.h"
#include "dispatch/command_dispatcher.h"
#include "dispatch/failure_attribution.h"
#include "dispatch/gang_start_barrier.h"
#include "dispatch/preemptor.h"
#include "dispatch/quota_tracker.h"
#include "dispatch/record_queue.h"
#include "dispatch/scheduling_queue.h"
#include "dispatch/work_counters.h"
#include "placement/placement.h"

namespace sumacquay {

/// The modules that a placement round uses.
struct PlacementRoundContext {
  const CapacityView& capacity;
  const FailureAttribution& failures;
  SchedulingQueue& queue;
  QuotaTracker& quota;
  Preemptor& preemptor;
  AttemptTracker& attempts;
  GangStartBarrier& gang_starts;
  CommandDispatcher& commands;
  RecordQueue& records;
  WorkCounters& work_counters;
};

/// Runs placement rounds: in queue order, packs the tasks of each waiting job onto machines. Tasks
/// that do not fit stay queued. Owns the requests that the last round could not place.
class PlacementRound {
 public:
  PlacementRound(ClusterState& state, const PlacementRoundContext& context)
      : state_(state), context_(context) {}

  void run(Seconds now);
  /// Requests that the last round could not place, in queue order. They point to the jobs' specs,
  /// so they are valid only until the jobs change.
  const std::vector<PlacementRequest>& unplaced() const { return unplaced_; }
  std::vector<PlacementRequest> release_unplaced() { return std::exchange(unplaced_, {}); }

 private:
  void place_job(Job& job, std::vector<CandidateMachine>& candidates, Seconds now);
  void complete_gang(Job& job, std::vector<CandidateMachine>& candidates, Seconds now);
  size_t max_placeable_tasks(const Job& job) const;
  std::optional<PlacementRequest> create_request(const Job& job, size_t max_tasks) const;
  std::vector<uint32_t> tasks_to_place(const Job& job, size_t max_tasks) const;
  size_t max_tasks_per_round() const;
  bool image_fetch_misses_objective(const Job& job) const;
  void place_on_machines_with_image(Job& job, PlacementRequest& request,
                                    std::vector<CandidateMachine>& candidates, Seconds now);
  void place_fitting_tasks(Job& job, PlacementRequest& request,
                           std::vector<CandidateMachine>& candidates, Seconds now);
  void start_assignments(Job& job, const std::vector<Assignment>& assignments,
                         const std::vector<CandidateMachine>& candidates, Seconds now);

  ClusterState& state_;
  PlacementRoundContext context_;
  std::vector<PlacementRequest> unplaced_;
};

}  // namespace sumacquay
