#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/record.h"

namespace sumacquay {

/// The dependencies between jobs, a directed acyclic graph, without I/O. A job is ready once all
/// its dependencies are done, and cancelled if one of them is cancelled, directly or through
/// others. The scheduler uses it to start jobs that are ready, and each node's record cache to
/// answer users.
///
/// Only durable states go in: a job that was once ready() or cancelled() stays so, because final
/// states never change. Every walk is iterative, and a job's change is passed on to
/// each of its dependents once, so long chains and wide fans cost no more than their edges.
class DependencyGraph {
 public:
  /// Enters a job that is not over, from its record. What it depends on is taken from the first
  /// record that names any: a record that is written later may leave out dependencies that are
  /// done.
  void update(const JobRecord& record);
  /// Enters that the job is over; `ended_ms` is the time of day. Does nothing for an unknown job.
  void finished(const std::string& id, JobState state, uint64_t ended_ms);
  /// The job's record is gone, and how the job ended is not known here.
  void forget(const std::string& id);
  void clear();

  /// Whether all dependencies are done. True for a job that is not in the graph.
  bool ready(const std::string& id) const;
  /// Whether a job that it depends on, directly or through others, is cancelled.
  bool cancelled(const std::string& id) const;
  /// Whether cancelled() is based on the states of all jobs that it depends on, directly or through
  /// others.
  bool certain(const std::string& id) const;
  /// Time of day in milliseconds at which the last dependency ended; 0: there was none, or it is
  /// not known.
  uint64_t ready_ms(const std::string& id) const;

  /// How a job ended that others depend on, without its count of tasks; none: it is not known here.
  std::optional<FinishedRecord> end_of(const std::string& id) const;

  /// Empty for a job that is over.
  const std::vector<std::string>& dependencies(const std::string& id) const;
  /// Jobs that depend on this one and are not over.
  const std::set<std::string>& dependents(const std::string& id) const;
  /// Jobs that others depend on and of which nothing is known.
  const std::set<std::string>& unknown() const { return unknown_; }
  size_t size() const { return nodes_.size(); }

 private:
  enum class State { Unknown, Pending, Done, Cancelled };
  /// A job with its dependencies in both directions.
  struct Node {
    State state = State::Unknown;
    bool cancelled = false;  ///< itself or by a dependency
    size_t open = 0;         ///< dependencies that are not done
    uint64_t ready_ms = 0;
    uint64_t ended_ms = 0;  ///< once it is done
    std::vector<std::string> dependencies;
    std::set<std::string> dependents;
  };

  const Node* find(const std::string& id) const;
  static bool over(const Node& node) {
    return node.state == State::Done || node.state == State::Cancelled;
  }
  /// The only place that changes a node's state.
  void enter(const std::string& id, State next, uint64_t ended_ms);
  void add_dependencies(const std::string& id, const std::vector<std::string>& dependencies);
  void dependency_done(Node& dependent, const Node& dependency);
  void cancel_dependents(const std::string& id);
  void release_dependencies(const std::string& id);
  void drop_if_unneeded(const std::string& id);

  std::unordered_map<std::string, Node> nodes_;
  std::set<std::string> unknown_;
};

}  // namespace sumacquay
