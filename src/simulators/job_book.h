#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>

#include "jobs/spec.h"

namespace sumacquay::simulators {

/// A job as its user knows it, and what really happened to it, whatever any controller believes.
struct SubmittedJob {
  JobSpec spec;
  Seconds run_s = 0;                    ///< how long a task of an array or a gang runs
  std::optional<Seconds> submitted_at;  ///< the first attempt to submit it
  std::optional<Seconds> accepted_at;
  std::optional<Seconds> began_at;  ///< when the first of its tasks ran
  std::optional<Seconds> cancel_asked_at;
  std::optional<Seconds> cancelled_at;  ///< when its user was told so
  std::optional<Seconds> told_done_at;
  std::set<uint32_t> done;

  bool complete() const { return done.size() >= spec.tasks; }
};

/// All jobs by their ids. Workers look descriptions up here, as they would fetch them from users.
using JobBook = std::map<std::string, SubmittedJob>;

}  // namespace sumacquay::simulators
