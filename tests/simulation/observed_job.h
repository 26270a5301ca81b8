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
  bool accepted = false, cancel_asked = false, told_done = false;
  std::set<uint32_t> done;
  std::optional<Seconds> cancelled_at;  ///< when a user first received the confirmation
  std::optional<Seconds> began_at;      ///< when its first task began to run
  /// Since when the job has waited although it could be placed.
  std::optional<Seconds> waits_since;
  std::optional<JobState> recorded;  ///< in the key-value store's records

  bool complete() const { return done.size() >= spec.tasks; }
};

using ObservedJobs = std::map<std::string, ObservedJob>;

// Dependencies between jobs, as submitted by users.

/// All transitive dependencies of a job.
std::set<std::string> jobs_before(const ObservedJobs& jobs, const std::string& id);
/// Whether a user requested the cancellation of the job or of a transitive dependency.
bool cancel_asked_of_chain(const ObservedJobs& jobs, const std::string& id);
/// When the cancellation of a transitive dependency was first confirmed to a user; none if no such
/// cancellation has been confirmed.
std::optional<Seconds> cancelled_before(const ObservedJobs& jobs, const std::string& id);

}  // namespace sumacquay::simulation
