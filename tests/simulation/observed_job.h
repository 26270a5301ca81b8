#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>

#include "jobs/record.h"
#include "jobs/spec.h"

namespace sumacquay::simulation {

/// The actual history of a job, independent of any controller's view of it.
struct ObservedJob {
  JobSpec spec;
  bool accepted = false, cancel_requested = false, reported_done = false;
  std::set<uint32_t> done_tasks;
  std::optional<Seconds> cancelled_at;  ///< when a user first received the confirmation
  std::optional<Seconds> started_at;    ///< when its first task began to run
  /// Since when the job has waited although it could be placed.
  std::optional<Seconds> waiting_since;
  std::optional<JobState> recorded_state;  ///< in the key-value store's records

  bool complete() const { return done_tasks.size() >= spec.tasks; }
};

using ObservedJobs = std::map<std::string, ObservedJob>;

// Dependencies between jobs, as submitted by users.

/// All transitive dependencies of a job.
std::set<std::string> transitive_dependencies(const ObservedJobs& jobs, const std::string& id);
/// Whether a user requested the cancellation of the job or of a transitive dependency.
bool cancel_requested_transitively(const ObservedJobs& jobs, const std::string& id);
/// When the cancellation of a transitive dependency was first confirmed to a user; none if no such
/// cancellation has been confirmed.
std::optional<Seconds> dependency_cancelled_at(const ObservedJobs& jobs, const std::string& id);

}  // namespace sumacquay::simulation
