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

/// The modules that preemption works with.
struct PreemptorLinks {
  const CapacityView& capacity;
  const SchedulingQueue& queue;
  const Autoscaler& autoscaler;
  AttemptTracker& attempts;
  WorkCounters& work;
};

/// Makes room for jobs that found none, by stopping tasks of lower priority or beyond other teams'
/// fair shares, and reserves room for gangs that must wait. Owns the list of possible victims of
/// the present round.
///
/// The candidates passed in are the round's: what is reserved or will be released on them is
/// recorded there.
class Preemptor {
 public:
  Preemptor(ClusterState& state, const PreemptorLinks& links) : state_(state), links_(links) {}

  /// Preempts tasks for those of `request` that found no room. Their resources are available once
  /// they are proven gone; until then the room is reserved for this job.
  void preempt_for(const Job& job, PlacementRequest& request,
                   std::vector<CandidateMachine>& candidates, Seconds now);
  /// For a gang of several that fits nowhere whole: reserves room for a part of it in the round,
  /// and preempts for it only if it would be late otherwise, or no machine can be requested.
  void reserve_partial_gang(const Job& job, PlacementRequest& request,
                            std::vector<CandidateMachine>& candidates, Seconds now);
  /// Forgets the round's victims: the list refers to names that the jobs own.
  void end_round() { victims_.reset(); }

 private:
  void preempt_from(const std::vector<Victim>& victims, const Job& job, PlacementRequest& request,
                    std::vector<CandidateMachine>& candidates, Seconds now);
  void stop_victim(const Victim& victim, const Job& job, CandidateMachine& candidate, Seconds now);
  bool whole_request_fits(PlacementRequest request, std::vector<CandidateMachine> candidates,
                          const std::vector<Victim>& victims) const;
  std::optional<Seconds> time_on_new_machine(const JobSpec& spec, Seconds now) const;
  bool misses_objective(const Job& job, Seconds start_takes, Seconds now) const;
  Seconds loss_of(const Job& job, const TaskAttempt& attempt, Seconds now) const;
  Victim victim_for(const Job& job, const TaskAttemptId& id, const TaskAttempt& attempt,
                    size_t candidate, Seconds now) const;
  std::vector<Victim> list_victims(const std::vector<CandidateMachine>& candidates,
                                   Seconds now) const;
  const std::vector<Victim>& victims_in_round(const std::vector<CandidateMachine>& candidates,
                                              Seconds now);
  void mark_preempted(const Victim& gone);

  ClusterState& state_;
  PreemptorLinks links_;
  std::optional<std::vector<Victim>> victims_;  ///< none: nobody has asked in this round
  RunningResources running_resources_;          ///< of the teams, once the victims are listed
};

}  // namespace sumacquay
