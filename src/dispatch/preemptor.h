#pragma once
#include <optional>
#include <vector>

#include "dispatch/attempt_tracker.h"
#include "dispatch/autoscaler.h"
#include "dispatch/capacity_view.h"
#include "dispatch/cluster_state.h"
#include "dispatch/scheduling_queue.h"
#include "dispatch/work_counters.h"
#include "jobs/fair_share.h"
#include "placement/placement.h"

namespace sumacquay {

/// The modules that preemption uses.
struct PreemptorContext {
  const CapacityView& capacity;
  const SchedulingQueue& queue;
  const Autoscaler& autoscaler;
  AttemptTracker& attempts;
  WorkCounters& work_counters;
};

/// Makes room for jobs that could not be placed by preempting tasks of lower priority or tasks
/// beyond other teams' fair shares, and reserves room for gangs that must wait. Owns the list of
/// possible victims in the current round.
///
/// The candidates passed in belong to the round. Reserved resources and resources being released
/// are recorded in them.
class Preemptor {
 public:
  Preemptor(ClusterState& state, const PreemptorContext& context)
      : state_(state), context_(context) {}

  /// Preempts tasks to make room for the tasks of `request`, which could not be placed. Resources
  /// of a victim become available once the victim is proven gone; within the round they are
  /// reserved for this job.
  void preempt_for(const Job& job, PlacementRequest& request,
                   std::vector<CandidateMachine>& candidates, Seconds now);
  /// Reserves room in the round for part of a gang of several tasks that does not fit as a whole.
  /// Preempts for it only if it would miss its wait objective otherwise, or if no machine can be
  /// requested for it.
  void reserve_partial_gang(const Job& job, PlacementRequest& request,
                            std::vector<CandidateMachine>& candidates, Seconds now);
  /// Clears the round's victims, since the list refers to strings that the jobs own.
  void end_round() { victims_.reset(); }

 private:
  void preempt_from(const std::vector<Victim>& victims, const Job& job, PlacementRequest& request,
                    std::vector<CandidateMachine>& candidates, Seconds now);
  void stop_victim(const Victim& victim, const Job& job, CandidateMachine& candidate, Seconds now);
  bool whole_request_fits(PlacementRequest request, std::vector<CandidateMachine> candidates,
                          const std::vector<Victim>& victims) const;
  std::optional<Seconds> startup_time_on_new_machine(const JobSpec& spec, Seconds now) const;
  bool misses_objective(const Job& job, Seconds start_delay, Seconds now) const;
  Seconds preemption_loss(const Job& job, const TaskAttempt& attempt, Seconds now) const;
  Victim victim_for(const Job& job, const TaskAttemptId& id, const TaskAttempt& attempt,
                    size_t candidate, Seconds now) const;
  std::vector<Victim> list_victims(const std::vector<CandidateMachine>& candidates,
                                   Seconds now) const;
  const std::vector<Victim>& victims_in_round(const std::vector<CandidateMachine>& candidates,
                                              Seconds now);
  void mark_preempted(const Victim& stopped_victim);

  ClusterState& state_;
  PreemptorContext context_;
  std::optional<std::vector<Victim>> victims_;  ///< none: not listed in this round yet
  RunningResources running_resources_;          ///< of the teams; set with `victims_`
};

}  // namespace sumacquay
