#pragma once
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "jobs/spec.h"
#include "jobs/task_range_set.h"

/// The records kept in the key-value store, as plain values. src/wire defines their encoding.
namespace sumacquay {

/// Live record of a job that is not finished or not cleaned up yet.
struct JobRecord {
  JobSpec spec;
  JobState state = JobState::Pending;
  bool started = false;  ///< durable before the first start; while false, no task is on any machine
  /// If `started`: every machine that may have a task of the job, sorted. None: any machine may.
  std::optional<std::vector<std::string>> hosts;
  uint64_t submitted_ms = 0;  ///< wall-clock time of acceptance; orders jobs across nodes
  /// Wall-clock time at which the last dependency was done; set once started; 0: no dependencies.
  uint64_t ready_ms = 0;
  uint64_t ended_ms = 0;  ///< wall-clock time at which the job was done; 0: not known
  TaskRangeSet done;      ///< tasks that are done
  bool operator==(const JobRecord&) const = default;
  /// Whether a task of the job may be on the machine according to this record.
  bool may_have_task_on(const std::string& machine) const {
    return started && (!hosts || std::binary_search(hosts->begin(), hosts->end(), machine));
  }
};

/// Record of a finished job.
struct FinishedRecord {
  JobState state = JobState::Done;
  uint32_t done = 0;      ///< number of tasks that are done
  uint64_t ended_ms = 0;  ///< wall-clock time at which the job was done; 0: not known
  bool operator==(const FinishedRecord&) const = default;
};

/// Record of a machine on which a task may have been started. It is durable before the first start
/// command is sent to the machine.
struct HostRecord {
  std::string id, addr, type, zone;
  bool spot = false;
  bool operator==(const HostRecord&) const = default;
};

}  // namespace sumacquay
