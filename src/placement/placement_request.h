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

/// What is to be placed, and where it was placed: the input and the output of every placement
/// decision.
namespace sumacquay {

/// The tasks of one job that are to be placed, and what is known of its other tasks.
struct PlacementRequest {
  const JobSpec* spec = nullptr;                    ///< outlives the request
  std::vector<uint32_t> tasks;                      ///< to be placed
  std::unordered_map<std::string, uint32_t> zones;  ///< how many tasks of the job are in each zone
  /// The highest priority of the jobs that depend on this one, if it is above the job's own.
  std::optional<Priority> inherited_priority;
  bool image_first = false;  ///< to fetch the image costs more than tight packing gains
  /// The job is within its team's fair share, so other teams' work must not delay it.
  bool within_fair_share = false;
  std::function<bool(const CandidateMachine&)> avoid;      ///< machines that the job failed on
  std::function<bool(const CandidateMachine&)> has_image;  ///< machines that have the image cached

  /// The priority that counts in decisions.
  Priority priority() const { return inherited_priority.value_or(spec->priority); }
};

/// One task and the machine chosen for it.
struct Assignment {
  uint32_t task = 0;
  size_t candidate = 0;  ///< index into the candidates that were passed in
};

}  // namespace sumacquay
