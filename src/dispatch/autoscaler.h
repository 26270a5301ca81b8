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

/// The modules that the autoscaler depends on.
struct AutoscalerContext {
  const CapacityView& capacity;
  AttemptTracker& attempts;
  FailureDetector& failure_detector;
  RecordPlanner& record_planner;
  ArrivalForecast& arrivals;
};

/// Scales the fleet out for unplaced tasks and expected arrivals, and scales it in by releasing
/// idle and failed machines. Owns the requests to the cloud that are in flight.
class Autoscaler {
 public:
  Autoscaler(ClusterState& state, const AutoscalerContext& context)
      : state_(state), context_(context), requests_(state.term()) {}

  /// Applies the cloud's list of machines, which may lag behind requests and releases.
  void on_machines_listed(const std::vector<ListedMachine>& machines, Seconds now);
  /// Handles the outcome of a `ScaleOut`, which is retried while its outcome is unknown.
  void on_scale_out_answered(const ScaleOut& request, ScaleOutOutcome outcome,
                             const std::vector<std::string>& machines, Seconds now);
  /// Handles the outcome of a `ScaleIn`; `ok`: the cloud has released all its machines.
  void on_scale_in_answered(const ScaleIn& release, bool ok, Seconds now);

  /// Appends requests for machines: for the tasks of `unplaced`, and for expected arrivals that
  /// don't fit on the machines that are up. Acts at most twice per heartbeat period.
  void scale_out(std::vector<PlacementRequest> unplaced, Seconds now, std::vector<Action>& actions);
  /// Appends a release of the machines that have failed or are idle. One release is in flight at a
  /// time, and the next follows half a heartbeat period later at the earliest, or a tenth of a
  /// period after a successful one.
  void scale_in(Seconds now, std::vector<Action>& actions);

  /// All offerings of the cloud's catalog. An offering is blocked while requests for it back off
  /// after a refusal, or while its zone is partitioned.
  std::vector<InstanceOffering> offerings(Seconds now) const;
  /// Whether expected arrivals still fit in addition to the tentatively placed tasks.
  bool has_headroom(TentativePlacement& placement) const;

 private:
  void request_instances(const ScaleOutRequest& plan, std::vector<Action>& actions);
  /// Requests for the arrivals, which must outlive them.
  std::vector<PlacementRequest> arrival_requests(const std::vector<JobSpec>& expected) const;
  void release_failed_machines(Seconds now);
  void release_idle_machines(Seconds now);
  void update_idle_times(Seconds now);
  Seconds longest_boot_time() const;

  ClusterState& state_;
  AutoscalerContext context_;
  ScaleOutRequests requests_;
  Seconds next_scale_out_ = 0;
  Seconds next_scale_in_ = 0;
  bool scale_in_in_flight_ = false;
};

}  // namespace sumacquay
