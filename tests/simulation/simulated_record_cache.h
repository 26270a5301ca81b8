#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobs/dependency_graph.h"
#include "simulation/store_channel.h"
#include "store/record_cache.h"

namespace sumacquay::simulation {

/// A controller's cache of the records. As in the node, it holds only the jobs that finished most
/// recently, and none that finished before it was loaded; other outcomes are read on demand.
class SimulatedRecordCache {
 public:
  template <class T>
  struct Versioned {
    T value{};
    uint64_t version = 0;
  };
  /// The changes that an answer of the key-value store made to the cache.
  struct Update {
    bool initial_load = false;    ///< this answer completed the initial load
    bool leader_changed = false;  ///< the leader record or the term record changed
    std::vector<std::string> jobs;
  };

  /// Applies the answer to a read that was sent at `sent_at`.
  Update apply(const StoreReply& reply, Seconds sent_at);

  // Apply the writes of this controller's own transactions.
  void on_election_won(const wire::LeaderRecord& record, uint64_t revision);
  /// Returns false if the cache holds a newer version or the job has finished.
  bool on_job_written(const JobRecord& record, uint64_t version);
  void on_finished_written(const std::string& id, const wire::FinishedRecord& record);
  void on_host_written(const std::string& id, const HostRecord& record, uint64_t version);
  void on_host_deleted(const std::string& id, uint64_t version);
  /// Adds the outcome of a finished job.
  void cache_finished(const std::string& id, const wire::FinishedRecord& record);

  bool loaded() const { return loaded_; }
  uint64_t revision() const { return revision_; }
  Seconds fresh_as_of() const { return fresh_as_of_; }
  const std::map<std::string, Versioned<JobRecord>>& live_jobs() const { return live_jobs_; }
  const std::map<std::string, wire::FinishedRecord>& finished_jobs() const {
    return finished_jobs_;
  }
  const std::map<std::string, Versioned<HostRecord>>& hosts() const { return hosts_; }
  const Versioned<wire::LeaderRecord>& leader() const { return leader_; }
  const Versioned<wire::LeaderRecord>& term() const { return term_; }
  /// Dependencies of the live jobs on one another and on finished jobs.
  const DependencyGraph& dependencies() const { return dependencies_; }
  /// The outcome of a job, available while it is cached or live jobs depend on it.
  std::optional<wire::FinishedRecord> dependency_outcome(const std::string& id) const;
  /// Whether the job is cancelled or finished according to the cache.
  bool job_ended(const std::string& id) const;

 private:
  void apply_live(const SimulatedStore::Change& change, Update& update);
  void apply_finished(const SimulatedStore::Change& change, Update& update);
  void apply_host(const SimulatedStore::Change& change);
  void apply_leader(const SimulatedStore::Change& change, Update& update);
  void apply_term(const SimulatedStore::Change& change, Update& update);
  void track_dependencies(const JobRecord& record);

  bool loaded_ = false;
  uint64_t revision_ = 0;
  Seconds fresh_as_of_ = 0;
  std::map<std::string, Versioned<JobRecord>> live_jobs_;
  std::map<std::string, wire::FinishedRecord> finished_jobs_;
  std::deque<std::string> finished_order_;  ///< oldest first
  DependencyGraph dependencies_;
  std::map<std::string, Versioned<HostRecord>> hosts_;
  std::map<std::string, uint64_t> host_deletion_versions_;
  Versioned<wire::LeaderRecord> leader_, term_;
  uint64_t leader_version_ = 0;
};

}  // namespace sumacquay::simulation
