#include "loadtest/workload.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "loadtest/controller_settings.h"

namespace sumacquay::loadtest {
namespace {

constexpr double kCpusPerTask = 4;
constexpr double kMemoryGbPerTask = 16;
constexpr double kImageGb = 10;
/// Longer than any trial.
constexpr Seconds kLongRunTime = 3600;

std::string job_id(size_t number) {
  constexpr size_t kIdBytes = 32;
  std::array<char, kIdBytes> name{};
  std::snprintf(name.data(), name.size(), "job-%08zu", number);
  return name.data();
}

}  // namespace

simulators::SubmittedJob Workload::job(JobKind kind, Priority priority, size_t tasks,
                                       Seconds run_s) {
  simulators::SubmittedJob job;
  const size_t number = next_job_number_++;
  job.spec.id = job_id(number);
  job.spec.job_class = "load";
  job.spec.team = "team-" + std::to_string(number % static_cast<size_t>(settings_.teams));
  job.spec.image = "image-0";
  job.spec.image_gb = kImageGb;
  job.spec.kind = kind;
  job.spec.priority = priority;
  job.spec.tasks = static_cast<uint32_t>(tasks);
  job.spec.request = {kCpusPerTask, 1, kMemoryGbPerTask};
  job.spec.spread = kind == JobKind::Service && settings_.zones > 1;
  job.spec.estimate_s = kind == JobKind::Service ? 0 : run_s;
  job.run_s = run_s;
  return job;
}

std::vector<simulators::SubmittedJob> Workload::initial_jobs() {
  std::vector<simulators::SubmittedJob> jobs;
  const auto total_tasks = static_cast<double>(settings_.tasks());
  const auto job_size = static_cast<size_t>(settings_.service_size);
  auto remaining = settings_.tasks();
  const auto gang_size = static_cast<size_t>(settings_.gang_size);
  if (gang_size > 0)
    for (auto gangs = static_cast<size_t>(total_tasks * settings_.gang_share) / gang_size;
         gangs > 0; --gangs) {
      jobs.push_back(job(JobKind::Gang, Priority::High, gang_size, kLongRunTime));
      remaining -= gang_size;
    }
  auto low_priority_tasks =
      std::min(remaining, static_cast<size_t>(total_tasks * settings_.low_share));
  remaining -= low_priority_tasks;
  for (; remaining > 0; remaining -= std::min(remaining, job_size))
    jobs.push_back(job(JobKind::Service, Priority::Production, std::min(remaining, job_size), 0));
  for (; low_priority_tasks > 0; low_priority_tasks -= std::min(low_priority_tasks, job_size))
    jobs.push_back(
        job(JobKind::Array, Priority::Low, std::min(low_priority_tasks, job_size), kLongRunTime));
  return jobs;
}

simulators::SubmittedJob Workload::waiting_job() {
  return job(JobKind::Array, Priority::Low, 1, kLongRunTime);
}

simulators::SubmittedJob Workload::urgent_job() {
  return job(JobKind::Array, Priority::High, 1, settings_.urgent_run_s);
}

MachineType machine_type(const LoadSettings& settings) {
  MachineType type;
  type.name = "gpu-" + std::to_string(static_cast<int>(settings.tasks_per_machine));
  type.capacity = Resources{kCpusPerTask, 1, kMemoryGbPerTask}.times(settings.tasks_per_machine);
  type.cache_gb = 100;
  type.fetch_gb_per_s = 10;
  type.price = settings.tasks_per_machine;
  type.spot_price = type.price / 3;
  type.boot_s = settings.boot_s;
  for (size_t zone = 0; zone < static_cast<size_t>(settings.zones); ++zone)
    type.zones.push_back(zone_name(zone));
  return type;
}

}  // namespace sumacquay::loadtest
