#pragma once
#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "jobs/spec.h"
#include "node/active_scheduler.h"
#include "peer/leader_hints.h"
#include "store/record_cache.h"

namespace sumacquay {

/// Creates the scheduler of a term from the records and the previous leader's hints, and passes
/// later changes of job records to it. The scheduler itself reads no records.
///
/// Owns nothing; the record cache and the active scheduler belong to the node, which calls this
/// class.
class SchedulerFeed {
 public:
  SchedulerFeed(const Settings& settings, const RecordCache& record_cache,
                ActiveScheduler& scheduler)
      : settings_(settings), record_cache_(record_cache), scheduler_(scheduler) {}

  /// Creates a scheduler for `term` with all machines and jobs in the records. Requires that the
  /// record cache includes every write of earlier leaders.
  [[nodiscard]] std::unique_ptr<Scheduler> create_scheduler(
      uint64_t term, const std::vector<MachineType>& machine_types, const LeaderHints& hints) const;
  /// Handles a changed or removed job record. An empty id means that the whole cache was reloaded.
  /// Does nothing if there is no scheduler.
  void on_job_record(const std::string& id);

 private:
  void on_all_job_records();
  void report_finished_dependencies(Scheduler& scheduler) const;

  const Settings& settings_;
  const RecordCache& record_cache_;
  ActiveScheduler& scheduler_;
};

}  // namespace sumacquay
