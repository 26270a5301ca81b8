#pragma once
#include <string>
#include <vector>

#include "autoscaling/scale_out_planner.h"
#include "dispatch/actions.h"
#include "dispatch/arrival_forecast.h"
#include "dispatch/attempt_tracker.h"
#include "dispatch/capacity_view.h"
#include "dispatch/cluster_state.h"
#include "dispatch/failure_detector.h"
#include "dispatch/record_planner.h"
#include "dispatch/scale_out_requests.h"
#include "fleet/worker_heartbeat.h"
#include "placement/placement.h"

namespace sumacquay {

/// The modules that the autoscaler works with.
struct AutoscalerLinks {
  const CapacityView& capacity;
  AttemptTracker& attempts;
  FailureDetector& failure_detector;
  RecordPlanner& record_planner;
  ArrivalForecast& arrivals;
};

/// Scales the fleet out for tasks that found no machine and ahead of expected arrivals, and in by
/// idle and failed machines. Owns the requests to the cloud that are in flight.
class Autoscaler {
 public:
  Autoscaler(ClusterState& state, const AutoscalerLinks& links)
      : state_(state), links_(links), requests_(state.term()) {}

  /// The cloud's list of machines, which may lag behind requests and releases.
  void on_machines_listed(const std::vector<ListedMachine>& machines, Seconds now);
  /// The outcome of a `ScaleOut`, which is sent again while it is unknown.
  void on_scale_out_answered(const ScaleOut& request, ScaleOutOutcome outcome,
                             const std::vector<std::string>& machines, Seconds now);
  /// The outcome of a `ScaleIn`; `ok`: the cloud has taken all its machines back.
  void on_scale_in_answered(const ScaleIn& release, bool ok, Seconds now);

  /// Appends requests for machines: for the tasks of `unplaced`, and for expected arrivals that
  /// don't fit. At most twice a heartbeat period.
  void scale_out(std::vector<PlacementRequest> unplaced, Seconds now, std::vector<Action>& actions);
  /// Appends a release of the machines that have failed or are idle. At most twice a heartbeat
  /// period, one at a time.
  void scale_in(Seconds now, std::vector<Action>& actions);

  /// What can be requested from the cloud now; blocked where it refused lately or the zone is
  /// partitioned.
  std::vector<InstanceOffering> offerings(Seconds now) const;
  /// Whether expected arrivals still fit beside what is placed tentatively.
  bool has_headroom(TentativePlacement& placement) const;

 private:
  void request_instances(const ScaleOutRequest& plan, std::vector<Action>& actions);
  void release_failed_machines(Seconds now);
  void release_idle_machines(Seconds now);
  void update_idle_times(Seconds now);
  Seconds longest_boot_time() const;

  ClusterState& state_;
  AutoscalerLinks links_;
  ScaleOutRequests requests_;
  Seconds next_scale_out_ = 0;
  Seconds next_scale_in_ = 0;
  bool scale_in_in_flight_ = false;
};

}  // namespace sumacquay
