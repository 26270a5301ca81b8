#include "frontend/user_replies.h"

namespace sumacquay {

using wire::UserVisibleState;

HttpReply refusal_reply(int status, const std::string& reason) {
  return {status, wire::error_body(reason), 0};
}

HttpReply unavailable_reply(int status) {
  constexpr int kRetryAfterSeconds = 1;
  return {status, wire::error_body("try again later"), kRetryAfterSeconds};
}

HttpReply failed_lookup_reply(const JobLookupResult& job) {
  const bool unknown = job.outcome == JobLookupResult::Outcome::NotFound;
  return unknown ? refusal_reply(404, "no such job") : unavailable_reply();
}

UserVisibleState user_visible_state(JobState state, uint32_t running) {
  switch (state) {
    case JobState::Done:
      return UserVisibleState::Done;
    case JobState::Cancelled:
      return UserVisibleState::Cancelled;
    case JobState::Pending:
      break;
  }
  return running > 0 ? UserVisibleState::Running : UserVisibleState::Pending;
}

}  // namespace sumacquay
