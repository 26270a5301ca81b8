#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jobs/spec.h"

/// Messages between users and controllers: submissions, queries and cancellations. Called by the
/// front end. Parsing accepts untrusted input: the result is either a valid job or an error, which
/// names the first invalid field if the body is a map.
namespace sumacquay::wire {

namespace path {
inline constexpr const char* kJobs = "/work";
inline constexpr const char* kCancel = "/cancel";  ///< appended to the path of a job
inline constexpr const char* kReady = "/ready";
}  // namespace path

/// Result of parsing a submission.
struct ParsedJob {
  std::optional<JobSpec> spec;
  std::string error;  ///< why `spec` is not set
  std::string id;     ///< also set for a malformed job if the id is valid; otherwise empty
};

/// State of a job as shown to users.
enum class UserVisibleState { Pending, Running, Done, Cancelled };

/// Whether a job id is valid: a fixed prefix and digits, which makes it safe in keys and paths.
bool valid_job_id(std::string_view id);

/// Parses a submission.
ParsedJob parse_job(std::string_view body);

/// Response to a submission or a cancellation.
std::string job_state_body(const std::string& id, UserVisibleState state);

/// Response to a query, with the numbers of done and running tasks.
std::string job_status_body(const std::string& id, UserVisibleState state, uint32_t done,
                            uint32_t running);

/// Response with the reason why a request was rejected. Also sent to workers and to the platform's
/// health probes.
std::string error_body(const std::string& error);

}  // namespace sumacquay::wire
