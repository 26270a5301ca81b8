#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>

#include "jobs/spec.h"

namespace sumacquay::simulators {

/// A submitted job with the times that its user observed and the progress that the simulated
/// workers observed, independent of the state of any controller.
struct SubmittedJob {
  JobSpec spec;
  Seconds run_s = 0;                    ///< run time of a task of an array or a gang
  std::optional<Seconds> submitted_at;  ///< the first attempt to submit it
  std::optional<Seconds> accepted_at;
  std::optional<Seconds> first_started_at;  ///< start of its first running task
  std::optional<Seconds> cancel_requested_at;
  std::optional<Seconds> cancel_confirmed_at;  ///< confirmation of the cancellation to the user
  std::optional<Seconds> reported_done_at;
  std::set<uint32_t> done;  ///< completed tasks

  bool complete() const { return done.size() >= spec.tasks; }
};

/// All submitted jobs by id. Simulated workers read job specs here, as real workers would get them
/// from users.
using SubmittedJobs = std::map<std::string, SubmittedJob>;

}  // namespace sumacquay::simulators
