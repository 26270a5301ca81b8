#include "dispatch/arrival_forecast.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sumacquay {
namespace {

/// Length of the window of recorded arrivals, as a multiple of the longest boot time.
constexpr double kArrivalWindowBootTimes = 5;
/// Subtracted before rounding up, so that a floating-point error does not add a task.
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

void ArrivalForecast::add(const JobSpec& spec, Seconds accepted) {
  JobClass& job_class = classes_[spec.job_class];
  job_class.latest = spec;
  job_class.arrivals.push_back({accepted, spec.tasks});
}

void ArrivalForecast::drop_old_arrivals(Seconds now, Seconds longest_boot_s) {
  const Seconds window_start = now - kArrivalWindowBootTimes * longest_boot_s;
  for (auto& [name, job_class] : classes_)
    std::erase_if(job_class.arrivals,
                  [window_start](const Arrival& a) { return a.accepted < window_start; });
}

double ArrivalForecast::expected_tasks(const JobClass& job_class) {
  const double tasks = std::accumulate(job_class.arrivals.begin(), job_class.arrivals.end(), 0.0,
                                       [](double sum, const Arrival& a) { return sum + a.tasks; });
  const double mean = tasks / kArrivalWindowBootTimes;
  // Arrivals vary: adds one standard deviation, that of a Poisson process, to the mean.
  if (job_class.latest.kind == JobKind::Service) return mean + std::sqrt(mean);
  if (job_class.latest.kind == JobKind::Array && job_class.latest.spot &&
      !job_class.arrivals.empty())
    return std::max(tasks / static_cast<double>(job_class.arrivals.size()), mean);
  return 0;
}

std::vector<JobSpec> ArrivalForecast::expected(double factor) const {
  std::vector<JobSpec> specs;
  for (const auto& [name, job_class] : classes_) {
    const double tasks = std::ceil(factor * expected_tasks(job_class) - kRoundingTolerance);
    if (tasks < 1) continue;
    JobSpec spec = job_class.latest;
    spec.tasks = static_cast<uint32_t>(tasks);
    spec.kind = JobKind::Service;
    specs.push_back(std::move(spec));
  }
  return specs;
}

std::vector<PlacementRequest> placement_requests_for(const std::vector<JobSpec>& specs) {
  std::vector<PlacementRequest> requests;
  for (const JobSpec& spec : specs) {
    PlacementRequest request;
    request.spec = &spec;
    request.tasks.resize(spec.tasks);
    std::iota(request.tasks.begin(), request.tasks.end(), 0u);
    requests.push_back(std::move(request));
  }
  return requests;
}

}  // namespace sumacquay
