#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>

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

  bool complete() const { return done.size() >= spec.tasks; }
};

using ObservedJobs = std::map<std::string, ObservedJob>;

}  // namespace sumacquay::simulation
