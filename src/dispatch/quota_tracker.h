#pragma once
#include <cstddef>
#include <string>
#include <unordered_map>

#include "dispatch/cluster_state.h"
#include "jobs/spec.h"

namespace sumacquay {

/// Checks each team's resource usage against its quota. Owns the usage in the current round, which
/// is recounted when the round begins and increased as tasks are placed.
class QuotaTracker {
 public:
  explicit QuotaTracker(const ClusterState& state) : state_(state) {}

  /// Recounts the resources of all tasks that may be present.
  void count_usage();
  void add_usage(const std::string& team, const Resources& request) { usage_[team] += request; }
  /// How many more tasks of the job the team's quota allows; 0 for an unknown team.
  size_t remaining_tasks(const Job& job) const;

 private:
  size_t possibly_present_tasks(const Job& job) const;

  const ClusterState& state_;
  std::unordered_map<std::string, Resources> usage_;  ///< by team
};

}  // namespace sumacquay
