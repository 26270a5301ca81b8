#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "jobs/fair_share.h"
#include "placement/candidate_machine.h"
#include "placement/placement_request.h"

/// The choice of running tasks to stop so that a more important one fits. It decides only; the
/// scheduler stops the victims.
namespace sumacquay {

/// A running task that may be stopped for another job's.
struct Victim {
  std::string_view job;  ///< owned by whoever lists the victims, as the team's name is
  uint32_t task = 0;
  size_t candidate = 0;  ///< index of the machine that it runs on
  Resources request;
  Priority priority = Priority::Low;
  double loss_s = 0;  ///< seconds of progress that are lost if it is stopped
  bool gang = false;  ///< its gang's tasks on other machines stop with it
  bool stopped = false;
  std::string_view team = {};
  bool beyond_fair_share = false;  ///< its job is not within its team's fair share
  Resources stops = {};            ///< what its team loses with it: of a gang, all tasks' requests
};

/// Where one task fits once the victims are gone.
struct Preemption {
  size_t candidate = 0;
  std::vector<size_t> victims;     ///< indices into the victims that were passed in
  bool already_releasing = false;  ///< enough is being stopped there already: no victims
};

/// Finds the machine where one task fits at the lowest loss if tasks of lower priority are stopped
/// or, for a job within its team's fair share, tasks of the same priority that other teams run
/// beyond theirs. Returns none if there is no such machine.
///
/// A task never stops one that could stop it in turn: priorities fall along a chain of preemptions,
/// and where they are equal, only a job within a fair share stops one that is beyond. `running`
/// says what a team can lose and still have its fair share.
[[nodiscard]] std::optional<Preemption> preempt(const PlacementRequest& placement_request,
                                                const std::vector<CandidateMachine>& candidates,
                                                const std::vector<Victim>& victims,
                                                const RunningResources& running = {});

}  // namespace sumacquay
