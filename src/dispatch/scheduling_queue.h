#pragma once
#include <string_view>
#include <vector>

#include "dispatch/arrival_forecast.h"
#include "dispatch/cluster_state.h"
#include "dispatch/failure_attribution.h"
#include "jobs/fair_share.h"

namespace sumacquay {

/// The jobs that wait for machines, in the order in which a round places them. Owns which of them
/// are within their team's fair share, for the present round.
class SchedulingQueue {
 public:
  SchedulingQueue(ClusterState& state, FailureAttribution& failures, ArrivalForecast& arrivals)
      : state_(state), failures_(failures), arrivals_(arrivals) {}

  /// The jobs of which a round may place something, the first to be placed first.
  std::vector<Job*> waiting_jobs(Seconds now);
  /// Whether the job is within its team's fair share; false for all jobs outside of a round.
  bool within_fair_share(std::string_view job) const { return within_fair_share_.contains(job); }
  /// Ends the round: the ids that are kept belong to jobs that may go.
  void end_round() { within_fair_share_.clear(); }

 private:
  bool may_be_placed(Job& job, Seconds now);
  void find_jobs_within_fair_share(const std::vector<Job*>& waiting);

  ClusterState& state_;
  FailureAttribution& failures_;
  ArrivalForecast& arrivals_;
  JobIds within_fair_share_;
};

}  // namespace sumacquay
