#pragma once
#include <cstddef>

namespace sumacquay {

/// Counts the scheduler's work. Tests limit these counts to ensure that they grow with the number
/// of events and not with the number of waiting jobs.
struct WorkCounters {
  size_t rounds = 0;
  size_t victim_lists = 0;
  size_t dispatch_checks = 0;  ///< machines and jobs checked for commands and record writes
  size_t adoption_checks = 0;  ///< attempts checked for adoption by a job
};

}  // namespace sumacquay
