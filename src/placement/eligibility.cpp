#include "placement/eligibility.h"

#include <algorithm>

namespace sumacquay {

bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
  return spec.allows_type(type) && allowed_zone(spec, zone) && (spec.spot || !spot);
}

bool allowed_zone(const JobSpec& spec, const std::string& zone) {
  return !spec.zone || *spec.zone == zone;
}

bool zone_has_room(const JobSpec& spec, const TasksPerZone& zones, const std::string& zone) {
  if (spec.one_zone) {
    const bool has_tasks_in_other_zone =
        std::any_of(zones.begin(), zones.end(),
                    [&](const auto& entry) { return entry.second > 0 && entry.first != zone; });
    if (has_tasks_in_other_zone) return false;
  }
  if (!spec.spread) return true;
  const auto found = zones.find(zone);
  return (found == zones.end() ? 0 : found->second) < spec.zone_limit();
}

bool eligible(const CandidateMachine& candidate, const PlacementRequest& placement_request,
              const TasksPerZone& zones) {
  const JobSpec& spec = *placement_request.spec;
  return candidate.schedulable && allowed(spec, candidate.type, candidate.zone, candidate.spot) &&
         zone_has_room(spec, zones, candidate.zone) &&
         !(placement_request.avoid && placement_request.avoid(candidate));
}

}  // namespace sumacquay
