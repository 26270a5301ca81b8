#pragma once
#include <optional>
#include <string>
#include <vector>

#include "dispatch/cluster_state.h"
#include "dispatch/command_dispatcher.h"
#include "dispatch/host_record_writes.h"
#include "dispatch/record_ingestion.h"
#include "dispatch/record_queue.h"
#include "dispatch/record_write.h"
#include "dispatch/work_counters.h"

namespace sumacquay {

/// Selects the record writes of the leader's next transaction and applies their outcomes. Owns the
/// tracking of machine record writes. The node carries the writes out, guarded by the leader's term
/// and the version of each job record.
class RecordPlanner {
 public:
  RecordPlanner(ClusterState& state, RecordQueue& queue, RecordIngestion& ingestion,
                CommandDispatcher& commands, WorkCounters& work_counters)
      : state_(state),
        queue_(queue),
        ingestion_(ingestion),
        commands_(commands),
        work_counters_(work_counters) {}

  /// Returns the writes of one transaction with at most `max_mutations` mutations, the most urgent
  /// first. Each write is in flight until `on_write_answered`.
  std::vector<RecordWrite> plan_writes(Seconds now, size_t max_mutations);
  /// Applies the outcome of a write. Unless `committed`, the write may still be applied at any
  /// later time.
  void on_write_answered(const RecordWrite& write, bool committed, uint64_t version, Seconds now);
  /// Requests deletion of the record of a machine that is gone. It is written once no write is more
  /// urgent.
  void request_machine_deletion(const std::string& id) { host_writes_.request_deletion(id); }

 private:
  class Batch;
  void add_machine_writes(Batch& batch);
  void add_machine_write(Batch& batch, const std::string& id, const Machine& machine);
  void add_machine_deletions(Batch& batch);
  bool add_job_writes(Batch& batch, Seconds now);
  bool add_queued_job_writes(Batch& batch, Seconds now);
  void add_job_write(Batch& batch, Job& job, Seconds now);
  RecordWrite write_for(const Job& job, Seconds now) const;
  std::optional<std::vector<std::string>> possible_hosts(const Job& job) const;
  void on_machine_write_answered(const RecordWrite& write, bool committed);
  void on_job_write_answered(const RecordWrite& write, bool committed, uint64_t version,
                             Seconds now);

  ClusterState& state_;
  RecordQueue& queue_;
  RecordIngestion& ingestion_;
  CommandDispatcher& commands_;
  WorkCounters& work_counters_;
  HostRecordWrites host_writes_;
};

}  // namespace sumacquay
