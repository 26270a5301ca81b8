#pragma once
#include <string>

#include "jobs/spec.h"

/// The view of one machine that placement decides on. It is a copy that decisions may change
/// freely; the scheduler makes it from what it knows of the fleet.
namespace sumacquay {

struct Machine;

/// A machine that tasks may be placed on. Amounts are CPUs, GPUs and GB of memory.
struct CandidateMachine {
  std::string machine, type, zone;
  const Machine* of = nullptr;  ///< for the scheduler alone; placement does not look into it
  bool spot = false;
  Resources capacity;       ///< of the whole machine
  Resources available;      ///< the part of the capacity that no task takes
  Resources releasing;      ///< becomes available once the tasks that are being stopped are gone
  Resources reserved;       ///< the part of `available` that is kept for tasks that need GPUs
  bool schedulable = true;  ///< may be given new tasks

  /// Whether one more task with this request fits now. Reserved resources are open to tasks that
  /// need GPUs only.
  bool fits(const Resources& request) const {
    Resources open = available;
    if (request.gpus == 0) open -= reserved;
    return request.fits_in(open);
  }
};

}  // namespace sumacquay
