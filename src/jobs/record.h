#pragma once
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "jobs/ranges.h"
#include "jobs/spec.h"

/// The records that are kept in the key-value store, as values. src/wire knows their encoding.
namespace sumacquay {

/// The record of a job that is not over, or not yet cleaned up.
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
  Ranges done;            ///< the tasks that are done
  bool operator==(const JobRecord&) const = default;
  /// Whether a task of the job may be on the machine, as far as the record says.
  bool may_be_on(const std::string& machine) const {
    return started && (!hosts || std::binary_search(hosts->begin(), hosts->end(), machine));
  }
};

/// The record of a job that is over.
struct FinishedRecord {
  JobState state = JobState::Done;
  uint32_t done = 0;      ///< how many of its tasks
  uint64_t ended_ms = 0;  ///< time of day at which it was done; 0: not known
  bool operator==(const FinishedRecord&) const = default;
};

/// The record of a machine that a task may have been started on. It is durable before the first
/// start command is sent there.
struct HostRecord {
  std::string id, addr, type, zone;
  bool spot = false;
  bool operator==(const HostRecord&) const = default;
};

}  // namespace sumacquay
