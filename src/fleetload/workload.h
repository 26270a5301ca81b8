#pragma once
#include <string>
#include <vector>

#include "fleetload/load_settings.h"
#include "standin/job_book.h"

namespace sumacquay::fleetload {

/// Makes the jobs of a trial, each with an id of its own. Teams take turns.
class Workload {
 public:
  explicit Workload(const LoadSettings& settings) : settings_(settings) {}

  /// Jobs that take up the whole fleet: services, gangs, and work that gives way.
  std::vector<standin::SubmittedJob> filling();
  /// A job of one task that finds no room: of the lowest priority, so that nothing gives way to it.
  standin::SubmittedJob waiting();
  /// A job of one task that goes before everything that gives way.
  standin::SubmittedJob urgent();

 private:
  standin::SubmittedJob job(JobKind kind, Priority priority, size_t tasks, Seconds run_s);

  const LoadSettings& settings_;
  size_t jobs_ = 0;
};

/// The one type of machine that a trial rents out.
MachineType machine_type_of(const LoadSettings& settings);

}  // namespace sumacquay::fleetload
