#pragma once
#include <string_view>
#include <vector>

#include "dispatch/arrival_forecast.h"
#include "dispatch/cluster_state.h"
#include "dispatch/failure_attribution.h"
#include "jobs/fair_share.h"

namespace sumacquay {

/// Orders the jobs that wait for machines for a placement round. Owns the set of jobs within their
/// team's fair share in the current round.
class SchedulingQueue {
 public:
  SchedulingQueue(ClusterState& state, FailureAttribution& failures, ArrivalForecast& arrivals)
      : state_(state), failures_(failures), arrivals_(arrivals) {}

  /// Returns the jobs that may have tasks placed in this round, in the order of placement.
  std::vector<Job*> waiting_jobs(Seconds now);
  /// Whether the job is within its team's fair share. False for all jobs outside of a round.
  bool within_fair_share(std::string_view job) const { return within_fair_share_.contains(job); }
  /// Ends the round. Clears the set of jobs within fair shares, since its ids refer to strings of
  /// jobs that may be removed between rounds.
  void end_round() { within_fair_share_.clear(); }

 private:
  bool may_be_placed(Job& job, Seconds now);
  bool missing_gang_tasks_may_join(const Job& job) const;
  void find_jobs_within_fair_share(const std::vector<Job*>& waiting);

  ClusterState& state_;
  FailureAttribution& failures_;
  ArrivalForecast& arrivals_;
  JobIds within_fair_share_;
};

}  // namespace sumacquay
