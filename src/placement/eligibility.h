#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>

#include "jobs/spec.h"
#include "placement/candidate_machine.h"
#include "placement/placement_request.h"

/// Constraints on the machines that a job may use, regardless of available resources.
namespace sumacquay {

/// Number of tasks of one job in each zone.
using TasksPerZone = std::unordered_map<std::string, uint32_t>;

/// Whether the job's constraints allow machines of this type and zone, and spot instances if `spot`
/// is set. Used both for existing machines and for the cloud's offerings.
[[nodiscard]] bool constraints_allow(const JobSpec& spec, const std::string& type,
                                     const std::string& zone, bool spot);

/// Whether the job's required zone, if any, is this zone.
[[nodiscard]] bool constraints_allow_zone(const JobSpec& spec, const std::string& zone);

/// Whether one more task in the zone satisfies the job's `one_zone` and `spread` constraints.
/// `tasks_per_zone` counts the tasks placed so far.
[[nodiscard]] bool zone_constraints_allow(const JobSpec& spec, const TasksPerZone& tasks_per_zone,
                                          const std::string& zone);

/// Whether a task of the job may be placed on the machine: the machine is schedulable, satisfies
/// the job's constraints, and is not excluded by the request's `excluded`.
[[nodiscard]] bool eligible(const CandidateMachine& candidate,
                            const PlacementRequest& placement_request,
                            const TasksPerZone& tasks_per_zone);

}  // namespace sumacquay
