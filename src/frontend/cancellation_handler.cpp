#include "frontend/cancellation_handler.h"

#include "frontend/user_replies.h"
#include "wire/record_capacity.h"
#include "wire/records.h"

namespace sumacquay {
namespace {

HttpReply final_state_reply(const std::string& id, JobState state) {
  return {200, wire::job_state_body(id, user_visible_state(state, 0)), 0};
}

}  // namespace

void CancellationHandler::attempt_cancel(const std::string& id, int retries,
                                         const Respond& respond) {
  lookup_.look_up(id, [this, id, retries, respond](const JobLookupResult& job) {
    if (!job.found()) return respond(failed_lookup_reply(job));
    if (job.live_record == nullptr || job.state != JobState::Pending)
      return respond(final_state_reply(id, job.state));
    write_cancelled(*job.live_record, retries, respond);
  });
}

void CancellationHandler::write_cancelled(const Versioned<JobRecord>& record, int retries,
                                          const Respond& respond) {
  JobRecord cancelled = wire::truncated_record(record.value, settings_.state_value_bytes());
  cancelled.state = JobState::Cancelled;
  const std::string key = keys::kLive + cancelled.spec.id;
  store_.compare_and_swap(RequestPriority::Record, {{key, record.version}},
                          {{key, wire::encode_job(cancelled), 0}},
                          [this, cancelled, retries, respond](const TransactionResult& result) {
                            on_written(cancelled, result, retries, respond);
                          });
}

void CancellationHandler::on_written(const JobRecord& cancelled, const TransactionResult& result,
                                     int retries, const Respond& respond) {
  constexpr int kMaxRetries = 4;
  const std::string& id = cancelled.spec.id;
  if (result.outcome == TransactionOutcome::Committed) {
    record_cache_.on_job_written(cancelled, result.revision);
    return respond(final_state_reply(id, JobState::Cancelled));
  }
  // The leader changed the record after the look-up: look up the new version and retry.
  if (result.outcome == TransactionOutcome::PreconditionFailed && retries < kMaxRetries)
    return attempt_cancel(id, retries + 1, respond);
  respond(unavailable_reply());
}

}  // namespace sumacquay
