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

/// A controller's copy of the records. As in the node, jobs that were over before it was loaded are
/// not in it, and it keeps only the last that ended: others are read when somebody asks for them.
class SimulatedRecordCache {
 public:
  template <class T>
  struct Versioned {
    T value{};
    uint64_t version = 0;
  };
  /// What an answer of the state service changed.
  struct Update {
    bool first = false;           ///< the copy is complete only now
    bool leader_changed = false;  ///< the leader's or the term's record
    std::vector<std::string> jobs;
  };

  /// Takes in an answer to a question that was asked at a time.
  Update apply(const StateReply& reply, Seconds asked_at);

  // What this controller's own transactions have written.
  void won_election(const wire::LeaderRecord& record, uint64_t revision);
  /// False: the copy has something newer.
  bool wrote_job(const JobRecord& record, uint64_t version);
  void wrote_finished(const std::string& id, const wire::FinishedRecord& record);
  void wrote_host(const std::string& id, const HostRecord& record, uint64_t version);
  void deleted_host(const std::string& id, uint64_t version);
  /// What this controller has read of a job that the copy doesn't hold.
  void cache_finished(const std::string& id, const wire::FinishedRecord& record);

  bool loaded() const { return loaded_; }
  uint64_t revision() const { return revision_; }
  Seconds known_at() const { return known_at_; }
  const std::map<std::string, Versioned<JobRecord>>& live() const { return live_; }
  const std::map<std::string, wire::FinishedRecord>& finished() const { return finished_; }
  const std::map<std::string, Versioned<HostRecord>>& hosts() const { return hosts_; }
  const Versioned<wire::LeaderRecord>& leader() const { return leader_; }
  const Versioned<wire::LeaderRecord>& term() const { return term_; }
  /// How the live jobs depend on one another and on finished ones.
  const DependencyGraph& dependencies() const { return dependencies_; }
  /// How a job ended, as long as it is kept or others wait for it.
  std::optional<wire::FinishedRecord> dependency_end(const std::string& id) const;
  /// Whether the job is known to be cancelled or finished.
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
  std::deque<std::string> finished_order_;  ///< the oldest first
  DependencyGraph dependencies_;
  std::map<std::string, Versioned<HostRecord>> hosts_;
  std::map<std::string, uint64_t> host_deleted_;
  Versioned<wire::LeaderRecord> leader_, term_;
  uint64_t leader_seen_ = 0;
};

}  // namespace sumacquay::simulation
