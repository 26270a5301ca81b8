#pragma once
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "jobs/ranges.h"
#include "jobs/spec.h"

namespace sumacquay {

/// What the state service holds of a job that is not over, or not yet cleaned up.
struct JobRecord {
  JobSpec spec;
  JobState state = JobState::Pending;
  bool started = false;  ///< durable before the first start: without it no task can be anywhere
  /// Once it is started: every machine that a task of it may be on, sorted. None: any machine.
  std::optional<std::vector<std::string>> hosts;
  uint64_t submitted_ms = 0;  ///< time of day of the acceptance; orders jobs across nodes
  /// Time of day at which its last dependency ended, once it is started; 0: it waited for none.
  uint64_t ready_ms = 0;
  uint64_t ended_ms = 0;  ///< time of day at which it was done; 0: not known
  Ranges done;
  bool operator==(const JobRecord&) const = default;
  bool may_be_on(const std::string& machine) const {
    return started && (!hosts || std::binary_search(hosts->begin(), hosts->end(), machine));
  }
};

/// What the state service keeps of a job that is over.
struct FinishedRecord {
  JobState state = JobState::Done;
  uint32_t done = 0;      ///< how many of its tasks
  uint64_t ended_ms = 0;  ///< time of day at which it was done; 0: not known
  bool operator==(const FinishedRecord&) const = default;
};

/// A machine on which a start may have been ordered; durable before the first such order.
struct HostRecord {
  std::string id, addr, type, zone;
  bool spot = false;
  bool operator==(const HostRecord&) const = default;
};

}  // namespace sumacquay
