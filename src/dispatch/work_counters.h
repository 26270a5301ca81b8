#pragma once
#include <cstddef>

namespace sumacquay {

/// What the scheduler's work costs, counted in things looked at. Tests hold these counts to
/// budgets: they have to grow with what happens, not with how many jobs wait.
struct WorkCounters {
  size_t rounds = 0;
  size_t victim_lists = 0;
  size_t dispatch_checks = 0;  ///< machines and jobs looked at for commands and record writes
  size_t adoption_checks = 0;  ///< attempts compared with a task that was found running
};

}  // namespace sumacquay
