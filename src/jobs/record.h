#pragma once
#include <string>

#include "jobs/ranges.h"
#include "jobs/spec.h"

namespace sumacquay {

/// What the state service holds of a job that is not over, or not yet cleaned up.
struct JobRecord {
  JobSpec spec;
  JobState state = JobState::Pending;
  bool started = false;  ///< durable before the first start: without it no task can be anywhere
  uint64_t submitted_ms = 0;  ///< time of day of the acceptance; orders jobs across nodes
  Ranges done;
  bool operator==(const JobRecord&) const = default;
};

/// A machine on which a start may have been ordered; durable before the first such order.
struct HostRecord {
  std::string id, addr, type, zone;
  bool spot = false;
  bool operator==(const HostRecord&) const = default;
};

}  // namespace sumacquay
