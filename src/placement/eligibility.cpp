#include "placement/eligibility.h"

#include <algorithm>

namespace sumacquay {

bool constraints_allow(const JobSpec& spec, const std::string& type, const std::string& zone,
                       bool spot) {
  return spec.allows_type(type) && constraints_allow_zone(spec, zone) && (spec.spot || !spot);
}

bool constraints_allow_zone(const JobSpec& spec, const std::string& zone) {
  return !spec.zone || *spec.zone == zone;
}

bool zone_constraints_allow(const JobSpec& spec, const TasksPerZone& tasks_per_zone,
                            const std::string& zone) {
  if (spec.one_zone) {
    const bool has_tasks_in_other_zone =
        std::any_of(tasks_per_zone.begin(), tasks_per_zone.end(),
                    [&](const auto& entry) { return entry.second > 0 && entry.first != zone; });
    if (has_tasks_in_other_zone) return false;
  }
  if (!spec.spread) return true;
  const auto found = tasks_per_zone.find(zone);
  return (found == tasks_per_zone.end() ? 0 : found->second) < spec.zone_limit();
}

bool eligible(const CandidateMachine& candidate, const PlacementRequest& placement_request,
              const TasksPerZone& tasks_per_zone) {
  const JobSpec& spec = *placement_request.spec;
  return candidate.schedulable &&
         constraints_allow(spec, candidate.type, candidate.zone, candidate.spot) &&
         zone_constraints_allow(spec, tasks_per_zone, candidate.zone) &&
         !(placement_request.excluded && placement_request.excluded(candidate));
}

}  // namespace sumacquay
