#pragma once
#include <string>

#include "jobs/spec.h"

/// Placement's view of one machine. The scheduler copies it from its state of the fleet, so
/// placement may modify it freely.
namespace sumacquay {

struct Machine;

/// A machine on which tasks may be placed.
struct CandidateMachine {
  std::string machine, type, zone;
  const Machine* source = nullptr;  ///< back-reference for the scheduler; opaque to placement
  bool spot = false;
  Resources capacity;       ///< total resources of the machine
  Resources available;      ///< part of the capacity that no task takes
  Resources releasing;      ///< becomes available once tasks that are being stopped are gone
  Resources reserved;       ///< part of `available` that is reserved for tasks that need GPUs
  bool schedulable = true;  ///< accepts new tasks

  /// Whether one more task with this request fits now. Only tasks that need GPUs may use reserved
  /// resources.
  bool fits(const Resources& request) const {
    Resources usable = available;
    if (request.gpus == 0) usable -= reserved;
    return request.fits_in(usable);
  }
};

}  // namespace sumacquay
