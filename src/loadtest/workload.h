#pragma once
#include <string>
#include <vector>

#include "loadtest/load_settings.h"
#include "simulators/job_book.h"

namespace sumacquay::loadtest {

/// Makes the jobs of a trial, each with an id of its own. Teams take turns.
class Workload {
 public:
  explicit Workload(const LoadSettings& settings) : settings_(settings) {}

  /// Jobs that take up the whole fleet: services, gangs, and work that gives way.
  std::vector<simulators::SubmittedJob> filling();
  /// A job of one task that finds no room: of the lowest priority, so that nothing gives way to it.
  simulators::SubmittedJob waiting();
  /// A job of one task that goes before everything that gives way.
  simulators::SubmittedJob urgent();

 private:
  simulators::SubmittedJob job(JobKind kind, Priority priority, size_t tasks, Seconds run_s);

  const LoadSettings& settings_;
  size_t jobs_ = 0;
};

/// The one type of machine that a trial rents out.
MachineType machine_type_of(const LoadSettings& settings);

}  // namespace sumacquay::loadtest
