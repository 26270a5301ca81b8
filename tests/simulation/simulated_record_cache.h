#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobs/dependency_graph.h"
#include "simulation/state_channel.h"
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
    bool first = false;           ///< this answer completed the initial load
    bool leader_changed = false;  ///< the leader record or the term record changed
    std::vector<std::string> jobs;
  };

  /// Applies the answer to a read that was sent at `asked_at`.
  Update apply(const StateReply& reply, Seconds asked_at);

  // Apply the writes of this controller's own transactions.
  void won_election(const wire::LeaderRecord& record, uint64_t revision);
  /// Returns false if the cache holds a newer version or the job has finished.
  bool wrote_job(const JobRecord& record, uint64_t version);
  void wrote_finished(const std::string& id, const wire::FinishedRecord& record);
  void wrote_host(const std::string& id, const HostRecord& record, uint64_t version);
  void deleted_host(const std::string& id, uint64_t version);
  /// Adds the outcome of a finished job.
  void cache_finished(const std::string& id, const wire::FinishedRecord& record);

  bool loaded() const { return loaded_; }
  uint64_t revision() const { return revision_; }
  Seconds known_at() const { return known_at_; }
  const std::map<std::string, Versioned<JobRecord>>& live() const { return live_; }
  const std::map<std::string, wire::FinishedRecord>& finished() const { return finished_; }
  const std::map<std::string, Versioned<HostRecord>>& hosts() const { return hosts_; }
  const Versioned<wire::LeaderRecord>& leader() const { return leader_; }
  const Versioned<wire::LeaderRecord>& term() const { return term_; }
  /// Dependencies of the live jobs on one another and on finished jobs.
  const DependencyGraph& dependencies() const { return dependencies_; }
  /// The outcome of a job, available while it is cached or live jobs depend on it.
  std::optional<wire::FinishedRecord> dependency_end(const std::string& id) const;
  /// Whether the job is cancelled or finished according to the cache.
  bool ended(const std::string& id) const;

 private:
  void apply_live(const StateService::Change& change, Update& update);
  void apply_finished(const StateService::Change& change, Update& update);
  void apply_host(const StateService::Change& change);
  void apply_leader(const StateService::Change& change, Update& update);
  void apply_term(const StateService::Change& change, Update& update);
  void track_dependencies(const JobRecord& record);

  bool loaded_ = false;
  uint64_t revision_ = 0;
  Seconds known_at_ = 0;
  std::map<std::string, Versioned<JobRecord>> live_;
  std::map<std::string, wire::FinishedRecord> finished_;
  std::deque<std::string> finished_order_;  ///< oldest first
  DependencyGraph dependencies_;
  std::map<std::string, Versioned<HostRecord>> hosts_;
  std::map<std::string, uint64_t> host_deleted_;
  Versioned<wire::LeaderRecord> leader_, term_;
  uint64_t leader_seen_ = 0;
};

}  // namespace sumacquay::simulation
