#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>

#include "jobs/spec.h"
#include "placement/candidate_machine.h"
#include "placement/placement_request.h"

/// Whether a job may use a machine, whatever is available there.
namespace sumacquay {

/// How many tasks of one job are in each zone.
using TasksPerZone = std::unordered_map<std::string, uint32_t>;

/// Whether the job's own constraints admit machines of this type, zone and price class. Used for
/// machines and for offerings of the cloud alike.
[[nodiscard]] bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone,
                           bool spot);

/// Whether the job is not bound to another zone than this one.
[[nodiscard]] bool allowed_zone(const JobSpec& spec, const std::string& zone);

/// Whether one more task in the zone keeps the job in one zone, or spread, as it asks for. `zones`
/// counts the tasks placed so far.
[[nodiscard]] bool zone_has_room(const JobSpec& spec, const TasksPerZone& zones,
                                 const std::string& zone);

/// Whether the machine may be given a task of the job: it takes new tasks, the job admits it, and
/// the job has not failed there.
[[nodiscard]] bool eligible(const CandidateMachine& candidate,
                            const PlacementRequest& placement_request, const TasksPerZone& zones);

}  // namespace sumacquay
