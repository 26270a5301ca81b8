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

/// Plans which records go into the leader's next transaction, and takes in what became of it. Owns
/// the account of machines' records whose writes are in flight. The node carries the writes out,
/// guarded by the leader's term and each job record's version.
class RecordPlanner {
 public:
  RecordPlanner(ClusterState& state, RecordQueue& queue, RecordIngestion& ingestion,
                CommandDispatcher& commands, WorkCounters& work)
      : state_(state), queue_(queue), ingestion_(ingestion), commands_(commands), work_(work) {}

  /// The writes of one transaction of at most so many changes, the most urgent first. Each is in
  /// flight until `on_write_answered`.
  std::vector<RecordWrite> plan_writes(Seconds now, size_t max_changes);
  /// `committed`: certainly carried out. Otherwise it may be carried out at any later time.
  void on_write_answered(const RecordWrite& write, bool committed, uint64_t version, Seconds now);
  /// The machine is gone: its record is deleted once there is nothing more urgent to write.
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
  WorkCounters& work_;
  HostRecordWrites host_writes_;
};

}  // namespace sumacquay
