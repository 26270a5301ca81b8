#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/spec.h"
#include "placement/candidate_machine.h"

/// Input and output types of placement decisions.
namespace sumacquay {

/// Request to place tasks of one job, with the zones of the job's other tasks.
struct PlacementRequest {
  const JobSpec* spec = nullptr;  ///< must outlive the request
  std::vector<uint32_t> tasks;    ///< numbers of the tasks to place
  /// Number of the job's tasks in each zone.
  std::unordered_map<std::string, uint32_t> tasks_per_zone;
  /// Highest priority of the jobs that depend on this one, if higher than the job's own.
  std::optional<Priority> inherited_priority;
  double heartbeat_bytes = 0;        ///< space that a task takes in its worker's heartbeat
  bool prefer_cached_image = false;  ///< fetching the image costs more than tight packing gains
  /// The job is within its team's fair share, so it may preempt tasks of other teams that are
  /// beyond theirs.
  bool within_fair_share = false;
  /// Whether to exclude a machine, such as one where the job failed.
  std::function<bool(const CandidateMachine&)> excluded;
  /// Whether a machine likely has the image cached.
  std::function<bool(const CandidateMachine&)> has_image;

  /// What each task takes of its machine.
  Resources request() const {
    Resources request = spec->request;
    request.heartbeat_bytes = heartbeat_bytes;
    return request;
  }
  /// Effective priority for placement and preemption.
  Priority priority() const { return inherited_priority.value_or(spec->priority); }
};

/// One task and the machine chosen for it.
struct Assignment {
  uint32_t task = 0;
  size_t candidate = 0;  ///< index into the candidates that were passed in
};

}  // namespace sumacquay
