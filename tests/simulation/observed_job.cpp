#include "simulation/observed_job.h"

#include <algorithm>
#include <vector>

namespace sumacquay::simulation {

std::set<std::string> jobs_before(const ObservedJobs& jobs, const std::string& id) {
  std::set<std::string> before;
  std::vector<std::string> open = jobs.at(id).spec.dependencies;
  while (!open.empty()) {
    const std::string next = open.back();
    open.pop_back();
    if (!before.insert(next).second) continue;
    const auto& further = jobs.at(next).spec.dependencies;
    open.insert(open.end(), further.begin(), further.end());
  }
  return before;
}

bool cancel_asked_of_chain(const ObservedJobs& jobs, const std::string& id) {
  if (jobs.at(id).cancel_asked) return true;
  const auto before = jobs_before(jobs, id);
  return std::any_of(before.begin(), before.end(),
                     [&](const std::string& other) { return jobs.at(other).cancel_asked; });
}

std::optional<Seconds> cancelled_before(const ObservedJobs& jobs, const std::string& id) {
  std::optional<Seconds> first;
  for (const auto& other : jobs_before(jobs, id)) {
    const auto& at = jobs.at(other).cancelled_at;
    if (at) first = std::min(first.value_or(*at), *at);
  }
  return first;
}

}  // namespace sumacquay::simulation
