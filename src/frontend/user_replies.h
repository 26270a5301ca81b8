#pragma once
#include <cstdint>
#include <string>

#include "frontend/job_lookup.h"
#include "jobs/spec.h"
#include "net/http_message.h"
#include "wire/user_messages.h"

/// Replies shared by the handlers of user requests. Deciding which reply to give is up to the
/// handlers.
namespace sumacquay {

/// A permanent rejection: the same request would be rejected again later.
HttpReply refusal_reply(int status, const std::string& reason);

/// Reply that requests a retry in one second. Status 503: a resource needed for the request is
/// unavailable; 429: too many requests are in progress.
HttpReply unavailable_reply(int status = 503);

/// Reply to a request for a job that the look-up did not find: 404 if the job does not exist, 503
/// if the look-up failed.
HttpReply failed_lookup_reply(const JobLookupResult& job);

/// State of a job as shown to users. `running` is the last known number of its running tasks.
wire::UserVisibleState user_visible_state(JobState state, uint32_t running);

}  // namespace sumacquay
