#include "jobs/spec.h"

#include <algorithm>

#include "config/settings.h"

namespace sumacquay {
namespace {

bool is_in_allowed_zone(const JobSpec& spec, const MachineType& type) {
  return !spec.zone ||
         std::find(type.zones.begin(), type.zones.end(), *spec.zone) != type.zones.end();
}

/// Tolerates rounding errors in sums of floating-point amounts. A quota of 0 means no limit.
bool exceeds_quota(double amount, double quota) {
  constexpr double kRoundingTolerance = 1e-6;
  return quota > 0 && amount > quota + kRoundingTolerance;
}

}  // namespace

bool JobSpec::allows_type(const std::string& type) const {
  return !types || std::find(types->begin(), types->end(), type) != types->end();
}

std::string unschedulable_reason(const JobSpec& spec, const std::vector<MachineType>& types,
                                 const TeamSettings* team) {
  if (!team) return "unknown team";
  const bool fits = std::any_of(types.begin(), types.end(), [&](const MachineType& type) {
    return spec.allows_type(type.name) && spec.request.fits_in(type.capacity) &&
           is_in_allowed_zone(spec, type);
  });
  if (!fits) return "a task fits no allowed machine type";
  // Tasks of an array may run one at a time; tasks of gangs and services all run concurrently.
  const Resources concurrent_request =
      spec.request.times(spec.kind == JobKind::Array ? 1 : spec.tasks);
  if (exceeds_quota(concurrent_request.cpus, team->cpus_max) ||
      exceeds_quota(concurrent_request.gpus, team->gpus_max))
    return "more than the team's limit";
  return {};
}

}  // namespace sumacquay
