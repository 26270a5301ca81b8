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

/// Creates the scheduler of a term from the records and the previous leader's hints, and passes on
/// every change of a record from then on. The scheduler itself reads no records.
///
/// It owns nothing; the record cache and the active scheduler are the node's. It must not know when
/// this node leads: the node calls it.
class SchedulerFeed {
 public:
  SchedulerFeed(const Settings& settings, const RecordCache& record_cache,
                ActiveScheduler& scheduler)
      : settings_(settings), record_cache_(record_cache), scheduler_(scheduler) {}

  /// A scheduler for `term` that knows all machines and jobs of the records. The caller has made
  /// sure that the records are at least as new as the last write of any earlier leader.
  [[nodiscard]] std::unique_ptr<Scheduler> create_scheduler(
      uint64_t term, const std::vector<MachineType>& machine_types, const LeaderHints& hints) const;
  /// A job's record has changed or was removed. An empty id: the whole cache was loaded anew.
  /// Without a scheduler nothing happens.
  void on_job_record(const std::string& id);

 private:
  void on_all_job_records();
  void pass_on_finished_dependencies(Scheduler& scheduler) const;

  const Settings& settings_;
  const RecordCache& record_cache_;
  ActiveScheduler& scheduler_;
};

}  // namespace sumacquay
