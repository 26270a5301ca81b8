#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "jobs/spec.h"
#include "placement/placement.h"

namespace sumacquay {

/// Forecasts from recent arrivals how many tasks will arrive while a machine boots. The leader adds
/// every job, requests machines for the forecast, and releases idle machines only if the expected
/// tasks still fit without them.
class ArrivalForecast {
 public:
  /// Records that a job with this spec was accepted at the steady time `accepted`.
  void add(const JobSpec& spec, Seconds accepted);
  /// Drops arrivals older than a few boot times, so that the forecast falls when arrivals decline.
  void drop_old_arrivals(Seconds now, Seconds longest_boot_s);
  /// Returns a spec for each job class with expected arrivals. Its task count is the expected
  /// number of tasks times `factor`, rounded up. Services keep running, so every expected service
  /// needs its own capacity. Arrays finish, so one array is expected at a time, and only classes
  /// that may use spot machines are counted.
  std::vector<JobSpec> expected(double factor) const;

 private:
  /// The arrival of one job.
  struct Arrival {
    Seconds accepted = 0;
    uint32_t tasks = 0;
  };
  /// The recent arrivals of one job class, and the spec of the latest job added.
  struct JobClass {
    JobSpec latest;
    std::deque<Arrival> arrivals;
  };
  static double expected_tasks(const JobClass& job_class);

  std::map<std::string, JobClass> classes_;
};

/// Returns placement requests for all tasks of the specs. The requests refer to the specs, which
/// must outlive them.
std::vector<PlacementRequest> placement_requests_for(const std::vector<JobSpec>& specs);

}  // namespace sumacquay
