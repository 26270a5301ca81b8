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

/// The modules that a new record may give something to do.
struct RecordIngestionLinks {
  FailureAttribution& failures;
  AttemptTracker& attempts;
  CommandDispatcher& commands;
  RecordQueue& records;
  ArrivalForecast& arrivals;
  WorkCounters& work;
};

/// Takes durable records into the ClusterState: those that the node reads, and those that the
/// leader's own writes have stored. Owns no state.
class RecordIngestion {
 public:
  RecordIngestion(ClusterState& state, const RecordIngestionLinks& links)
      : state_(state), links_(links) {}

  /// A job's live record as it was read or written. Older versions than are known change nothing.
  void on_job_record(const JobRecord& record, uint64_t version, Seconds now);
  /// The job has left the live records.
  void on_job_finished(const std::string& id);
  /// How a job ended that others depend on.
  void on_dependency_finished(const std::string& id, const FinishedRecord& record);
  /// A machine's record, read at the failover: tasks may be on it until it is reconciled.
  void restore_machine(const HostRecord& host, Seconds now);

 private:
  void add_job(Job& job, Seconds now);
  void adopt_known_attempts(Job& job, Seconds now);

  ClusterState& state_;
  RecordIngestionLinks links_;
};

/// Counts the job as an arrival for the forecast, once, as soon as it waits for no other.
void count_arrival(const ClusterState& state, ArrivalForecast& arrivals, Job& job);

}  // namespace sumacquay
