#include "jobs/spec.h"

#include <algorithm>

#include "config/settings.h"

namespace sumacquay {

bool JobSpec::allows_type(const std::string& type) const {
  return !types || std::find(types->begin(), types->end(), type) != types->end();
}

std::string never_runs(const JobSpec& spec, const std::vector<MachineType>& types,
                       const TeamSettings* team) {
  if (!team) return "unknown team";
  const bool fits = std::any_of(types.begin(), types.end(), [&](const MachineType& t) {
    return spec.allows_type(t.name) && spec.request.fits_in(t.capacity) &&
           (!spec.zone || std::find(t.zones.begin(), t.zones.end(), *spec.zone) != t.zones.end());
  });
  if (!fits) return "a task fits no allowed machine type";
  const Resources all = spec.request.times(spec.kind == JobKind::Array ? 1 : spec.tasks);
  if ((team->cpus_max > 0 && all.cpus > team->cpus_max + 1e-6) ||
      (team->gpus_max > 0 && all.gpus > team->gpus_max + 1e-6))
    return "more than the team's limit";
  return {};
}

}  // namespace sumacquay
