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
    return fits_in(request, usable);
  }

  /// Whether a task with this request fits if these resources of the machine are free. Some space
  /// in the heartbeat is kept for tasks that use the machine's other resources in proportion, so
  /// that a large number of small tasks does not keep them off the machine.
  bool fits_in(const Resources& request, Resources free_resources) const {
    if (needs_mostly_heartbeat_space(request))
      free_resources.heartbeat_bytes -= kReservedHeartbeatFraction * capacity.heartbeat_bytes;
    return request.fits_in(free_resources);
  }

 private:
  static constexpr double kReservedHeartbeatFraction = 1.0 / 8;

  /// Whether the task's share of the heartbeat is larger than its share of any other resource.
  bool needs_mostly_heartbeat_space(const Resources& request) const {
    return request.heartbeat_share(capacity) > request.dominant_share(capacity);
  }
};

}  // namespace sumacquay
