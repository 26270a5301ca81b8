#pragma once
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/settings.h"
#include "jobs/spec.h"

/// Teams' fair shares, without I/O: which jobs are within them, and which running work is not. The
/// scheduler uses this for the order of its queue and for preemption between teams.
///
/// A fair share of 0 means none of that resource. A job that needs GPUs is covered by a team's
/// GPUs, whether the team has a share of CPUs or not, since every task takes some CPUs; a job that
/// needs none is covered by its CPUs alone. What is not covered is beyond the fair share.
namespace sumacquay {

/// A job that is neither done nor cancelled.
struct UnfinishedJob {
  const JobSpec* spec = nullptr;
  uint32_t tasks_left = 0;
  uint64_t submitted_ms = 0;  ///< time of day
};

/// Ids of jobs; the strings belong to the jobs' specifications and outlive the set.
using JobIds = std::unordered_set<std::string_view>;

/// Whether the team has a fair share of any resource.
bool has_fair_share(const TeamSettings& team);

/// Those jobs that fit into their team's fair share together with all of the team's earlier ones.
/// A job stays within it until it ends, since only earlier jobs count and they only get fewer.
JobIds within_fair_share(const std::vector<TeamSettings>& teams, std::vector<UnfinishedJob> jobs);

/// What each team's tasks take, without those that are being stopped already, against its fair
/// share.
class RunningResources {
 public:
  RunningResources() = default;
  /// `teams` outlive the object.
  explicit RunningResources(const std::vector<TeamSettings>& teams);

  /// A task of the team starts or, for remove, is stopped. Teams that are not in the settings are
  /// ignored.
  void add(std::string_view team, const Resources& amounts);
  void remove(std::string_view team, const Resources& amounts);

  /// Whether the team still has its whole fair share if it loses this much. Never true for a team
  /// that is not in the settings: nothing is taken from it.
  bool keeps_fair_share_without(std::string_view team, const Resources& amounts) const;

 private:
  /// A team's settings and what its tasks use.
  struct Team {
    const TeamSettings* settings = nullptr;
    Resources running;
  };
  std::unordered_map<std::string_view, Team> teams_;
};

}  // namespace sumacquay
