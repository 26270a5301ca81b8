#pragma once
#include <cstddef>

#include "dispatch/cluster_state.h"
#include "dispatch/work_counters.h"

namespace sumacquay {

/// Writes a summary of the fleet to the log once per worker lease, for operators: the capacity that
/// is paid for and used of each machine type, and the number of waiting jobs. Owns the time of the
/// next summary.
class FleetSummaryLog {
 public:
  FleetSummaryLog(const ClusterState& state, const WorkCounters& work_counters)
      : state_(state), work_counters_(work_counters) {}

  /// `unplaced_jobs`: the number of jobs that could not be placed in the last round.
  void write_if_due(size_t unplaced_jobs, Seconds now);

 private:
  void write_type(const MachineType& type) const;

  const ClusterState& state_;
  const WorkCounters& work_counters_;
  Seconds next_summary_at_ = 0;
};

}  // namespace sumacquay
