#include "dispatch/arrival_forecast.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sumacquay {
namespace {

/// Length of the window of recorded arrivals, as a multiple of the longest boot time.
constexpr double kWindowBoots = 5;
/// Subtracted before rounding up, so that a floating-point error does not add a task.
constexpr double kRounding = 1e-9;

}  // namespace

void ArrivalForecast::add(const JobSpec& spec, Seconds accepted) {
  JobClass& job_class = classes_[spec.job_class];
  job_class.latest = spec;
  job_class.arrivals.push_back({accepted, spec.tasks});
}

void ArrivalForecast::forget_old(Seconds now, Seconds longest_boot_s) {
  const Seconds oldest = now - kWindowBoots * longest_boot_s;
  for (auto& [name, job_class] : classes_)
    std::erase_if(job_class.arrivals, [oldest](const Arrival& a) { return a.accepted < oldest; });
}

double ArrivalForecast::expected_tasks(const JobClass& job_class) {
  const double tasks = std::accumulate(job_class.arrivals.begin(), job_class.arrivals.end(), 0.0,
                                       [](double sum, const Arrival& a) { return sum + a.tasks; });
  const double mean = tasks / kWindowBoots;
  // Arrivals vary: adds one standard deviation, that of a Poisson process, to the mean.
  if (job_class.latest.kind == JobKind::Service) return mean + std::sqrt(mean);
  if (job_class.latest.kind == JobKind::Array && job_class.latest.spot &&
      !job_class.arrivals.empty())
    return std::max(tasks / static_cast<double>(job_class.arrivals.size()), mean);
  return 0;
}

std::vector<JobSpec> ArrivalForecast::expected(double factor) const {
  std::vector<JobSpec> out;
  for (const auto& [name, job_class] : classes_) {
    const double tasks = std::ceil(factor * expected_tasks(job_class) - kRounding);
    if (tasks < 1) continue;
    JobSpec spec = job_class.latest;
    spec.tasks = static_cast<uint32_t>(tasks);
    spec.kind = JobKind::Service;
    out.push_back(std::move(spec));
  }
  return out;
}

std::vector<PlacementRequest> placement_requests_for(const std::vector<JobSpec>& specs) {
  std::vector<PlacementRequest> out;
  for (const JobSpec& spec : specs) {
    PlacementRequest placement_request;
    placement_request.spec = &spec;
    placement_request.tasks.resize(spec.tasks);
    std::iota(placement_request.tasks.begin(), placement_request.tasks.end(), 0u);
    out.push_back(std::move(placement_request));
  }
  return out;
}

}  // namespace sumacquay
