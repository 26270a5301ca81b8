#pragma once
#include <optional>
#include <string>

#include "backlog/pending_queue.h"
#include "dispatch/cluster_state.h"
#include "jobs/task_range_set.h"

namespace sumacquay {

/// Priority of a job record's write, the most urgent first. Task starts wait for `Start`, users for
/// `Done`.
enum class WritePriority { Start, Done, Progress, Finished, None };

/// Decides which records are due to be written, and with which priority. With prompt dispatch the
/// due records are queued, so that the cost of planning depends on the number of due writes;
/// otherwise the queues are empty and the RecordPlanner scans all records. As in the
/// CommandDispatcher, queue entries are hints that are checked again when they are popped.
class RecordQueue {
 public:
  explicit RecordQueue(ClusterState& state) : state_(state) {}

  /// Whether records are queued (prompt dispatch).
  bool prompt_dispatch_enabled() const { return state_.settings().tuning.prompt_dispatch; }
  WritePriority write_priority(const Job& job, Seconds now) const;
  /// Returns the done tasks that fit into the job's record. Stored completions come first, since
  /// the workers may have dropped them already. Workers keep reporting a completion that does not
  /// fit, until earlier tasks are done and close the gaps between ranges.
  static TaskRangeSet done_for_record(const Job& job);

  void enqueue_job(const Job& job, Seconds now);
  void enqueue_machine(const Machine& machine);
  /// Enqueues due records that no event has enqueued. Scans all records; called once per round.
  void enqueue_all_due(Seconds now);
  /// Removes and returns the next machine or job to check; none if the queue is empty.
  std::optional<std::string> pop_machine() { return machines_.pop(); }
  std::optional<std::string> pop_job() { return jobs_.pop(); }
  bool jobs_empty() const { return jobs_.empty(); }

 private:
  bool progress_due(const Job& job, Seconds now) const;

  ClusterState& state_;
  PendingQueue machines_;
  PendingQueue jobs_;
};

}  // namespace sumacquay
