#pragma once
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/settings.h"
#include "jobs/spec.h"

/// Fair shares of teams, without I/O: determines which jobs are within them and which running tasks
/// exceed them. The scheduler uses this to order its queue and for preemption between teams.
///
/// A fair share of 0 means that the team has no share of that resource. Since every task takes some
/// CPUs, a job that needs GPUs requires only a GPU share, with or without a CPU share; a job that
/// needs no GPUs requires a CPU share. Jobs without the required share are beyond the fair share.
namespace sumacquay {

/// A job that is neither done nor cancelled.
struct UnfinishedJob {
  const JobSpec* spec = nullptr;
  uint32_t tasks_left = 0;
  uint64_t submitted_ms = 0;  ///< wall-clock time
};

/// Ids of jobs. The strings are owned by the jobs' specifications, which must outlive the set.
using JobIds = std::unordered_set<std::string_view>;

/// Whether the team has a fair share of any resource.
bool has_fair_share(const TeamSettings& team);

/// The jobs that fit into their team's fair share together with all earlier jobs of the team. Once
/// within the fair share a job remains so until it ends, because only earlier jobs count and their
/// number only decreases.
JobIds within_fair_share(const std::vector<TeamSettings>& teams, std::vector<UnfinishedJob> jobs);

/// Resources of each team's running tasks, excluding tasks that are being stopped, to compare with
/// the team's fair share.
class RunningResources {
 public:
  RunningResources() = default;
  /// `teams` must outlive the object.
  explicit RunningResources(const std::vector<TeamSettings>& teams);

  /// Adds the resources of a task that starts, or removes those of a task that is stopped. Ignores
  /// teams that are not in the settings.
  void add(std::string_view team, const Resources& amounts);
  void remove(std::string_view team, const Resources& amounts);

  /// Whether the team keeps its full fair share after losing these amounts. Always false for a team
  /// that is not in the settings, so that its tasks are not preempted for another team's fair
  /// share.
  bool keeps_fair_share_without(std::string_view team, const Resources& amounts) const;

 private:
  /// A team's settings and the resources of its running tasks.
  struct Team {
    const TeamSettings* settings = nullptr;
    Resources running;
  };
  std::unordered_map<std::string_view, Team> teams_;
};

}  // namespace sumacquay
