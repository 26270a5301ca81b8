#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs/record.h"

namespace sumacquay {

/// A start of a task on a machine where the task is or may be.
struct TaskPlacement {
  std::string machine;
  uint64_t attempt = 0;
  auto operator<=>(const TaskPlacement&) const = default;
};

/// A job as the leader sees it.
struct Job {
  JobRecord stored;  ///< what the state service holds
  uint64_t version = 0;
  bool writing = false;
  bool want_started = false;
  bool want_hosts = false;  ///< placed where its record does not say that it may be
  /// What every write of this version of the record leaves of its hosts. One without an answer may
  /// be applied minutes later, and what was started on a host that it drops would be forgotten.
  std::optional<std::vector<std::string>> narrowed;
  Ranges done;                            ///< at least stored.done
  std::optional<Seconds> progress_since;  ///< when `done` came to hold numbers that aren't stored
  /// Where each task is or may be; doubt counts as presence.
  std::map<uint32_t, std::set<TaskPlacement>> at;
  uint64_t gang_attempt = 0;
  std::set<std::string> failed_on;
  int failures = 0;
  Seconds retry_at = 0;

  const JobSpec& spec() const { return stored.spec; }
  /// Whether the next leader will know that a task may be on the machine.
  bool covers(const std::string& machine) const {
    return stored.may_be_on(machine) &&
           (!narrowed || std::binary_search(narrowed->begin(), narrowed->end(), machine));
  }
  bool complete() const { return done.count() == stored.spec.tasks; }
  bool runnable() const { return stored.state == JobState::Pending && !complete(); }
};

}  // namespace sumacquay
