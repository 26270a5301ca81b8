#pragma once
#include <cstdint>
#include <string>

#include "frontend/job_lookup.h"
#include "jobs/spec.h"
#include "net/http_message.h"
#include "wire/user_messages.h"

/// The replies that several handlers of users' requests give. They decide nothing.
namespace sumacquay {

/// A refusal of the request, which is final: the same request has no chance later.
HttpReply refusal_reply(int status, const std::string& reason);

/// Asks the user to send the same request again in a second. 503: something that it takes can't be
/// had now; 429: there are too many requests.
HttpReply unavailable_reply(int status = 503);

/// The reply to a query or a cancellation of a job that was not found.
HttpReply not_found_reply(const JobLookupResult& job);

/// A job's state as users see it. `running`: how many of its tasks run, as far as is known.
wire::UserVisibleState user_visible_state(JobState state, uint32_t running);

}  // namespace sumacquay
