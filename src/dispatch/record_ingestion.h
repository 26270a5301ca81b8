#pragma once
#include <string>

#include "dispatch/arrival_forecast.h"
#include "dispatch/attempt_tracker.h"
#include "dispatch/cluster_state.h"
#include "dispatch/command_dispatcher.h"
#include "dispatch/failure_attribution.h"
#include "dispatch/record_queue.h"
#include "dispatch/work_counters.h"

namespace sumacquay {

/// The modules that new records are passed on to.
struct RecordIngestionContext {
  FailureAttribution& failures;
  AttemptTracker& attempts;
  CommandDispatcher& commands;
  RecordQueue& records;
  ArrivalForecast& arrivals;
  WorkCounters& work_counters;
};

/// Applies durable records to the ClusterState: records that the node reads and records that the
/// leader's own writes have stored. Owns no state.
class RecordIngestion {
 public:
  RecordIngestion(ClusterState& state, const RecordIngestionContext& context)
      : state_(state), context_(context) {}

  /// Applies a job's live record after it was read or written. Versions that are not newer than the
  /// stored one are ignored.
  void on_job_record(const JobRecord& record, uint64_t version, Seconds now);
  /// Removes a job that is no longer among the live records.
  void on_job_finished(const std::string& id);
  /// Applies the final state of a job that other jobs depend on.
  void on_dependency_finished(const std::string& id, const FinishedRecord& record);
  /// Adds a machine from its record, read at the failover. Tasks may be on the machine until it is
  /// reconciled.
  void restore_machine(const HostRecord& host, Seconds now);

 private:
  void add_job(Job& job, Seconds now);
  void adopt_reported_attempts(Job& job, Seconds now);

  ClusterState& state_;
  RecordIngestionContext context_;
};

/// Adds the job to the arrival forecast, once, as soon as its dependencies are done.
void count_arrival(const ClusterState& state, ArrivalForecast& arrivals, Job& job);

}  // namespace sumacquay
