#pragma once
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/settings.h"
#include "jobs/spec.h"

/// Teams' guarantees, without I/O: which jobs are within them, and which running work is not.
/// Rounds use this for their order and for preemption between teams.
///
/// A guarantee of 0 means none of that resource. A job that needs GPUs is covered by a team's GPUs,
/// whether the team is guaranteed CPUs or not, since every task takes some CPUs; a job that needs
/// none is covered by its CPUs alone. What isn't covered is beyond the guarantee.
namespace sumacquay {

/// A job that is neither done nor cancelled.
struct UnfinishedJob {
  const JobSpec* spec = nullptr;
  uint32_t tasks_left = 0;
  uint64_t submitted_ms = 0;
};

/// Jobs by their ids, which their owners hold.
using JobIds = std::unordered_set<std::string_view>;

/// Whether anything at all is guaranteed to the team.
bool has_fair_share(const TeamSettings& team);

/// Those jobs that fit into their team's guarantee together with all of the team's earlier ones.
/// A job stays within it until it ends, since only earlier jobs count and they only get fewer.
JobIds within_fair_share(const std::vector<TeamSettings>& teams, std::vector<UnfinishedJob> jobs);

/// What each team's tasks take, without those that are being stopped already, against its
/// guarantee.
class RunningResources {
 public:
  RunningResources() = default;
  /// The settings outlive it.
  explicit RunningResources(const std::vector<TeamSettings>& teams);

  void add(std::string_view team, const Resources& amounts);
  void remove(std::string_view team, const Resources& amounts);

  /// Whether the team keeps its whole guarantee if it loses this much. An unknown team loses
  /// nothing.
  bool keeps_fair_share_without(std::string_view team, const Resources& amounts) const;

 private:
  struct Team {
    const TeamSettings* settings = nullptr;
    Resources running;
  };
  std::unordered_map<std::string_view, Team> teams_;
};

}  // namespace sumacquay
