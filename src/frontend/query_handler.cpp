#include "frontend/query_handler.h"

#include "frontend/user_replies.h"

namespace sumacquay {

void QueryHandler::query(const std::string& id, const Respond& respond) {
  lookup_.look_up(id, [this, id, respond](const JobLookupResult& job) {
    if (!job.found()) return respond(failed_lookup_reply(job));
    const bool may_run = job.live_record != nullptr && job.state == JobState::Pending;
    const uint32_t running = may_run ? callbacks_.job_progress(id).running : 0;
    const auto state = user_visible_state(job.state, running);
    respond({200, wire::job_status_body(id, state, job.done_tasks, running), 0});
  });
}

}  // namespace sumacquay
