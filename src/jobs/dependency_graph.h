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

/// Directed acyclic graph of the dependencies between jobs, without I/O. A job is ready once all
/// its dependencies are done, and cancelled if a direct or transitive dependency is cancelled. The
/// scheduler uses it to start jobs that are ready, and each node's record cache to answer user
/// requests.
///
/// The graph holds only states that are durable in the store. Terminal states never change, so a
/// job that was once ready() or cancelled() remains so. All traversals are iterative, and a state
/// change is propagated to each dependent once, so the cost of long chains and of jobs with many
/// dependents is linear in the number of edges.
class DependencyGraph {
 public:
  /// Adds or updates a job from its live record. The dependencies are taken from the first record
  /// that lists any, because later records may omit dependencies that are done.
  void update(const JobRecord& record);
  /// Sets the terminal state of a job that is in the graph; does nothing for other jobs. `ended_ms`
  /// is wall-clock time.
  void set_finished(const std::string& id, JobState state, uint64_t ended_ms);
  /// Handles the deletion of the job's live record: if its terminal state is not set yet, its state
  /// becomes unknown. The job is removed unless other jobs depend on it.
  void on_live_record_deleted(const std::string& id);
  void clear();

  /// Whether all dependencies are done. True for jobs that are not in the graph.
  bool ready(const std::string& id) const;
  /// Whether the job, or a direct or transitive dependency, is cancelled.
  bool cancelled(const std::string& id) const;
  /// Whether the result of cancelled() is conclusive: it is true, or the states of all direct and
  /// transitive dependencies are known.
  bool cancellation_is_conclusive(const std::string& id) const;
  /// Wall-clock time in milliseconds at which the last dependency was done; 0 if there was none or
  /// the time is not known.
  uint64_t ready_ms(const std::string& id) const;

  /// Outcome of a job that other jobs depend on, without its count of done tasks; none if unknown.
  std::optional<FinishedRecord> outcome(const std::string& id) const;

  /// Empty for a job in a terminal state.
  const std::vector<std::string>& dependencies(const std::string& id) const;
  /// Unfinished jobs that depend on this one.
  const std::set<std::string>& dependents(const std::string& id) const;
  /// Jobs that other jobs depend on and whose states are not known.
  const std::set<std::string>& unknown_jobs() const { return unknown_jobs_; }
  size_t size() const { return nodes_.size(); }

 private:
  enum class State { Unknown, Pending, Done, Cancelled };
  /// A job with its edges in both directions.
  struct Node {
    State state = State::Unknown;
    bool cancelled = false;  ///< the job itself or a direct or transitive dependency
    size_t unfinished_dependencies = 0;
    uint64_t ready_ms = 0;
    uint64_t ended_ms = 0;  ///< set with a terminal state
    std::vector<std::string> dependencies;
    std::set<std::string> dependents;
  };

  const Node* find(const std::string& id) const;
  static bool is_terminal(const Node& node) {
    return node.state == State::Done || node.state == State::Cancelled;
  }
  /// Sets a node's state and propagates it to its dependents. No other function changes a state.
  void set_state(const std::string& id, State next, uint64_t ended_ms);
  void add_dependencies(const std::string& id, const std::vector<std::string>& dependencies);
  void on_dependency_done(Node& dependent, const Node& dependency);
  void cancel_dependents(const std::string& id);
  void remove_dependency_edges(const std::string& id);
  void erase_if_unreferenced(const std::string& id);

  std::unordered_map<std::string, Node> nodes_;
  std::set<std::string> unknown_jobs_;
};

}  // namespace sumacquay
