#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs/record.h"
#include "wire/record_capacity.h"

namespace sumacquay {

/// A start of a task on a machine where the task is or may be.
struct TaskPlacement {
  std::string machine;
  uint64_t attempt = 0;
  auto operator<=>(const TaskPlacement&) const = default;
};

/// A job as the leader sees it: its record, what is to be written of it, and where its tasks are.
struct Job {
  JobRecord stored;                      ///< what the state service holds
  wire::RecordCapacity record_capacity;  ///< what the record may hold beside the job's description
  uint64_t version = 0;                  ///< of the stored record; guards the next write
  bool write_in_flight = false;          ///< a write of the record is under way
  bool start_record_requested =
      false;  ///< tasks were placed: the record must say so before they start
  bool hosts_record_requested = false;  ///< placed where its record does not say that it may be
  /// What every write of this version of the record leaves of its hosts. One without an answer may
  /// be applied minutes later, and what was started on a host that it drops would be forgotten.
  std::optional<std::vector<std::string>> hosts_in_all_writes;
  Ranges done;                            ///< at least stored.done
  std::optional<Seconds> progress_since;  ///< when `done` came to hold numbers that aren't stored
  /// Where each task is or may be; doubt counts as presence.
  std::map<uint32_t, std::set<TaskPlacement>> possible_placements;
  /// Its own, or the highest of those that depend on it.
  Priority priority = Priority::Low;
  bool counted_as_arrival = false;        ///< by the forecast: once it is ready
  uint64_t gang_attempt = 0;              ///< the attempt that all tasks of a gang share
  std::set<std::string> failed_machines;  ///< machines on which tasks failed: avoided
  /// Machines on which it failed since it last was seen to work.
  std::set<std::string> failed_machines_since_success;
  int failed_retries = 0;     ///< since it was first found crash looping
  Seconds backoff_until = 0;  ///< nothing of the job is placed before

  const JobSpec& spec() const { return stored.spec; }
  /// Whether the next leader will know that a task may be on the machine.
  bool next_leader_knows(const std::string& machine) const {
    return stored.may_be_on(machine) &&
           (!hosts_in_all_writes ||
            std::binary_search(hosts_in_all_writes->begin(), hosts_in_all_writes->end(), machine));
  }
  /// Whether all tasks are done, stored or not.
  bool complete() const { return done.count() == stored.spec.tasks; }
  /// Whether its record can come to name a machine: without, no task of it could start there.
  bool start_recordable() const {
    return record_capacity.any() || (stored.started && !stored.hosts);
  }
  /// Whether its tasks are to run.
  bool runnable() const { return stored.state == JobState::Pending && !complete(); }
};

}  // namespace sumacquay
