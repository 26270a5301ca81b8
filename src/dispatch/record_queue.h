#pragma once
#include <optional>
#include <string>

#include "backlog/pending_queue.h"
#include "dispatch/cluster_state.h"
#include "jobs/ranges.h"

namespace sumacquay {

/// How urgently a job's record is to be written, the most urgent first: tasks wait to start for
/// some of them and users wait for others.
enum class WritePriority { Start, Done, Progress, Finished, None };

/// Decides which records are to be written, and how urgently. With prompt dispatch it keeps them in
/// queues, so that planning the writes costs what there is to write; otherwise nothing is queued
/// and the RecordPlanner looks at every record. Like the queue of commands it only says where to
/// look.
class RecordQueue {
 public:
  explicit RecordQueue(ClusterState& state) : state_(state) {}

  /// Whether records are queued.
  bool prompt() const { return state_.settings().tuning.prompt_dispatch; }
  WritePriority write_priority(const Job& job, Seconds now) const;
  /// The done tasks that the job's record has room for. What finds none stays with the workers
  /// until earlier tasks close the gaps. What is stored has been cleared there, and goes first.
  static Ranges done_for_record(const Job& job);

  void enqueue_job(const Job& job, Seconds now);
  void enqueue_machine(const Machine& machine);
  /// Finds whatever came up without being queued. Called once a round; looks at all records.
  void enqueue_overlooked(Seconds now);
  /// The next machine or job to look at, none: the queue is empty.
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
