#pragma once
#include <optional>
#include <utility>
#include <vector>

#include "dispatch/attempt_tracker.h"
#include "dispatch/capacity_view.h"
#include "dispatch/cluster_state.h"
#include "dispatch/command_dispatcher.h"
#include "dispatch/failure_attribution.h"
#include "dispatch/preemptor.h"
#include "dispatch/quota_tracker.h"
#include "dispatch/record_queue.h"
#include "dispatch/scheduling_queue.h"
#include "dispatch/work_counters.h"
#include "placement/placement.h"

namespace sumacquay {

/// The modules that a round works with.
struct PlacementRoundLinks {
  const CapacityView& capacity;
  const FailureAttribution& failures;
  SchedulingQueue& queue;
  QuotaTracker& quota;
  Preemptor& preemptor;
  CommandDispatcher& commands;
  RecordQueue& records;
  WorkCounters& work;
};

/// A round of placement: for each waiting job in turn, all its tasks are packed onto machines at
/// once, or the job stays queued. Owns what found no room in the last round.
class PlacementRound {
 public:
  PlacementRound(ClusterState& state, const PlacementRoundLinks& links)
      : state_(state), links_(links) {}

  void run(Seconds now);
  /// What found no room, in the order of the queue. Refers to the jobs' descriptions: used before
  /// anything else happens to them.
  const std::vector<PlacementRequest>& unplaced() const { return unplaced_; }
  std::vector<PlacementRequest> release_unplaced() { return std::exchange(unplaced_, {}); }

 private:
  void place_job(Job& job, std::vector<CandidateMachine>& candidates, Seconds now);
  std::optional<PlacementRequest> create_request(const Job& job, size_t max_tasks) const;
  std::vector<uint32_t> tasks_to_place(const Job& job, size_t max_tasks) const;
  size_t max_tasks_per_round() const;
  bool image_fetch_misses_objective(const Job& job) const;
  void place_where_image_cached(Job& job, PlacementRequest& request,
                                std::vector<CandidateMachine>& candidates, Seconds now);
  void place_what_fits(Job& job, PlacementRequest& request,
                       std::vector<CandidateMachine>& candidates, Seconds now);
  void start_assignments(Job& job, const std::vector<Assignment>& assignments,
                         const std::vector<CandidateMachine>& candidates, Seconds now);

  ClusterState& state_;
  PlacementRoundLinks links_;
  std::vector<PlacementRequest> unplaced_;
};

}  // namespace sumacquay
