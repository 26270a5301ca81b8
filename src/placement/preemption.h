#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "jobs/fair_share.h"
#include "placement/candidate_machine.h"
#include "placement/placement_request.h"

/// Selection of the running tasks to preempt for a task of higher priority or within its team's
/// fair share. Only decides; the scheduler stops the victims.
namespace sumacquay {

/// A running task that may be preempted.
struct Victim {
  std::string_view job;  ///< refers to the job's specification, as `team` does
  uint32_t task = 0;
  size_t candidate = 0;  ///< index of its machine
  Resources request;
  Priority priority = Priority::Low;
  double loss_s = 0;  ///< progress lost if it is preempted, in seconds
  bool gang = false;  ///< preempting it also stops the other tasks of its gang
  bool being_stopped = false;
  std::string_view team = {};
  bool beyond_fair_share = false;  ///< its job is beyond its team's fair share
  Resources team_loss = {};        ///< resources its team loses; for a gang, those of all tasks
};

/// A machine where one task fits once the victims are gone.
struct Preemption {
  size_t candidate = 0;
  std::vector<size_t> victims;     ///< indices into the victims that were passed in
  bool already_releasing = false;  ///< tasks already being stopped make enough room
};

/// Finds the machine where one task can be placed at the lowest preemption cost. Victims are tasks
/// of lower priority or, if the job is within its team's fair share, tasks of the same priority
/// that other teams run beyond theirs. Returns none if there is no such machine.
///
/// Preemption cannot cycle: victims have lower priority, or the same priority and are beyond their
/// fair share while the preempting job is within its own. `running` determines what a team can lose
/// and still keep its fair share.
[[nodiscard]] std::optional<Preemption> preempt(const PlacementRequest& placement_request,
                                                const std::vector<CandidateMachine>& candidates,
                                                const std::vector<Victim>& victims,
                                                const RunningResources& running = {});

}  // namespace sumacquay
