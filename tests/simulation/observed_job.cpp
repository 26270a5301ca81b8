#include "simulation/observed_job.h"

#include <algorithm>
#include <vector>

namespace sumacquay::simulation {

std::set<std::string> transitive_dependencies(const ObservedJobs& jobs, const std::string& id) {
  std::set<std::string> found;
  std::vector<std::string> pending = jobs.at(id).spec.dependencies;
  while (!pending.empty()) {
    const std::string next = pending.back();
    pending.pop_back();
    if (!found.insert(next).second) continue;
    const auto& indirect = jobs.at(next).spec.dependencies;
    pending.insert(pending.end(), indirect.begin(), indirect.end());
  }
  return found;
}

bool cancel_requested_transitively(const ObservedJobs& jobs, const std::string& id) {
  if (jobs.at(id).cancel_requested) return true;
  const auto found = transitive_dependencies(jobs, id);
  return std::any_of(found.begin(), found.end(),
                     [&](const std::string& other) { return jobs.at(other).cancel_requested; });
}

std::optional<Seconds> dependency_cancelled_at(const ObservedJobs& jobs, const std::string& id) {
  std::optional<Seconds> first;
  for (const auto& other : transitive_dependencies(jobs, id)) {
    const auto& at = jobs.at(other).cancelled_at;
    if (at) first = std::min(first.value_or(*at), *at);
  }
  return first;
}

}  // namespace sumacquay::simulation
