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
/// every job it learns of; it rents machines for the forecast, and returns idle ones only when the
/// forecast still fits without them.
class ArrivalForecast {
 public:
  /// A job of this spec was accepted at `accepted`, in steady time.
  void add(const JobSpec& spec, Seconds accepted);
  /// Drops arrivals that are older than a few boot times: when fewer come, less room is kept.
  void forget_old(Seconds now, Seconds longest_boot_s);
  /// A spec for each class with arrivals to expect; its tasks are their number times `factor`,
  /// rounded up. Services stay, so each arrival needs room of its own; of arrays, which come and
  /// go, one is expected at a time, and only those that may use spot machines count.
  std::vector<JobSpec> expected(double factor) const;

 private:
  /// One job that arrived.
  struct Arrival {
    Seconds accepted = 0;
    uint32_t tasks = 0;
  };
  /// The jobs of one class that arrived lately.
  struct JobClass {
    JobSpec latest;
    std::deque<Arrival> arrivals;
  };
  static double expected_tasks(const JobClass& job_class);

  std::map<std::string, JobClass> classes_;
};

/// Demands for all tasks of the specs, which must outlive them.
std::vector<PlacementRequest> placement_requests_for(const std::vector<JobSpec>& specs);

}  // namespace sumacquay
