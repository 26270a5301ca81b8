#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jobs/spec.h"

/// What users send to any controller and get back: submissions, queries and cancellations. The
/// front end calls it. Reading takes hostile bytes: whatever a body holds, it is either a valid job
/// or an error that names the first invalid field.
namespace sumacquay::wire {

namespace path {
inline constexpr const char* kJobs = "/work";
inline constexpr const char* kCancel = "/cancel";  ///< follows the path of a job
inline constexpr const char* kReady = "/ready";
}  // namespace path

/// A submission as it was read.
struct ParsedJob {
  std::optional<JobSpec> spec;
  std::string error;  ///< why there is none
  std::string id;     ///< also of a malformed job, where it can be read and is valid
};

/// A job's state as users see it.
enum class UserVisibleState { Pending, Running, Done, Cancelled };

/// Whether this can be a job's id: a fixed prefix and digits, so it is safe in keys and paths.
bool valid_job_id(std::string_view id);

/// Reads a submission.
ParsedJob parse_job(std::string_view body);

/// Answers an acceptance or a cancellation.
std::string job_answer(const std::string& id, UserVisibleState state);

/// Answers a query: how many tasks are done, and how many run.
std::string job_status(const std::string& id, UserVisibleState state, uint32_t done,
                       uint32_t running);

/// The reason why a request was not carried out. Workers and the platform's probes get it as well.
std::string error_body(const std::string& error);

}  // namespace sumacquay::wire
