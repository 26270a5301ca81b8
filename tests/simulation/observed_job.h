#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>

#include "jobs/record.h"
#include "jobs/spec.h"

namespace sumacquay::simulation {

/// What really happened to a job, whatever any controller believes of it.
struct ObservedJob {
  JobSpec spec;
  bool accepted = false, cancel_asked = false, told_done = false;
  std::set<uint32_t> done;
  std::optional<Seconds> cancelled_at;  ///< first confirmation by any controller
  std::optional<Seconds> began_at;      ///< when the first of its tasks ran
  /// Since when it waits although there is room for it.
  std::optional<Seconds> waits_since;
  std::optional<JobState> recorded;  ///< by the state service's records

  bool complete() const { return done.size() >= spec.tasks; }
};

using ObservedJobs = std::map<std::string, ObservedJob>;

// Which jobs depend on which, as their users submitted them.

/// Jobs that a job depends on, directly or through others.
std::set<std::string> jobs_before(const ObservedJobs& jobs, const std::string& id);
/// Whether a user asked to cancel the job or one that it depends on, directly or through others.
bool cancel_asked_of_chain(const ObservedJobs& jobs, const std::string& id);
/// When a user was first told that a job is cancelled that this one depends on, directly or through
/// others; none: nobody was told so.
std::optional<Seconds> cancelled_before(const ObservedJobs& jobs, const std::string& id);

}  // namespace sumacquay::simulation
