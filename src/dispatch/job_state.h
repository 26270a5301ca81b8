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

/// An attempt of a task on a machine where the attempt is or may be present.
struct TaskPlacement {
  std::string machine;
  uint64_t attempt = 0;
  auto operator<=>(const TaskPlacement&) const = default;
};

/// State of a gang's newest attempt, the one with the number `Job::gang_attempt`.
enum class GangAttemptState {
  None,       ///< no task is placed
  Intact,     ///< placed by this leader, no started task of it is lost: a missing task may join
  Adopted,    ///< found on machines after a failover; tasks may be missing
  Abandoned,  ///< it lost a task or is being stopped; at most image fetches go on
};

/// The leader's in-memory state of a job: the stored record, pending changes to it, and the
/// possible placements of its tasks.
struct Job {
  JobRecord stored;                      ///< the record in the state service
  wire::RecordCapacity record_capacity;  ///< room in the record beside the job's description
  uint64_t version = 0;                  ///< version of `stored`, guards the next write
  bool write_in_flight = false;          ///< a write of the record is in flight
  /// Tasks have been placed. `started` must be stored in the record before they are started.
  bool start_record_requested = false;
  bool hosts_record_requested = false;  ///< tasks were placed on hosts missing from the record
  /// Hosts named by every write issued against this version of the record; none if no such write
  /// restricts the hosts. An unacknowledged write may be applied minutes later, and a later leader
  /// would not find tasks on a host that it omits.
  std::optional<std::vector<std::string>> hosts_in_all_writes;
  TaskRangeSet done;                      ///< tasks that are done, a superset of stored.done
  std::optional<Seconds> progress_since;  ///< when `done` first held tasks that are not stored
  /// Where each task is or may be. An attempt stays listed until it is proven absent.
  std::map<uint32_t, std::set<TaskPlacement>> possible_placements;
  /// The highest of the job's own priority and the priorities of its dependents.
  Priority priority = Priority::Low;
  bool counted_as_arrival = false;  ///< the forecast has counted the job, once ready
  /// Attempt number shared by all tasks of a gang. Image fetches of earlier attempts may go on.
  uint64_t gang_attempt = 0;
  GangAttemptState gang_attempt_state = GangAttemptState::None;
  bool gang_starts_held = false;          ///< starts of the gang may be held back
  std::set<std::string> failed_machines;  ///< tasks failed there; avoided in placement
  /// Machines on which tasks have failed since the job's last success.
  std::set<std::string> failed_machines_since_success;
  int failed_retries = 0;     ///< failed retries since crash looping was detected
  Seconds backoff_until = 0;  ///< no task of the job is placed before this time

  const JobSpec& spec() const { return stored.spec; }
  /// Whether a later leader will find the machine among the hosts of the record, whichever of the
  /// unacknowledged writes are applied.
  bool host_recorded(const std::string& machine) const {
    return stored.may_have_task_on(machine) &&
           (!hosts_in_all_writes ||
            std::binary_search(hosts_in_all_writes->begin(), hosts_in_all_writes->end(), machine));
  }
  /// Whether all tasks are done, including those whose completion is not stored yet.
  bool complete() const { return done.count() == stored.spec.tasks; }
  /// Whether the record can cover another host: it has room, or it already covers every machine.
  /// Otherwise no task of the job can be started.
  bool can_record_host() const {
    return record_capacity.has_space() || (stored.started && !stored.hosts);
  }
  /// Whether the job is pending and has tasks that are not done.
  bool runnable() const { return stored.state == JobState::Pending && !complete(); }
};

}  // namespace sumacquay
