#include "frontend/job_lookup.h"

#include "wire/records.h"
#include "wire/store_messages.h"

namespace sumacquay {
namespace {

using Outcome = JobLookupResult::Outcome;

JobLookupResult finished_result(const FinishedRecord& record) {
  return {Outcome::Finished, record.state, record.done, nullptr};
}

}  // namespace

void JobLookup::look_up(const std::string& id, const Callback& callback) {
  // The state of a finished job is final, so a cached result needs no read barrier.
  if (const auto* finished = record_cache_.finished_job(id))
    return callback(finished_result(*finished));
  record_cache_.read_barrier([this, id, callback](bool fresh) {
    if (!fresh) return callback({});
    look_up_in_fresh_cache(id, callback);
  });
}

void JobLookup::look_up_in_fresh_cache(const std::string& id, const Callback& callback) {
  if (const auto* live = record_cache_.live_job(id)) return callback(live_result(*live));
  if (const auto* finished = record_cache_.finished_job(id))
    return callback(finished_result(*finished));
  // A job moves from the live records to the finished ones and never back, so reading the finished
  // records last finds a job that moves during the look-up.
  store_.read(RequestPriority::Background, wire::item_path(keys::kFinished + id),
              [this, id, callback](const HttpResult& response) {
                on_finished_record_read(id, response, callback);
              });
}

void JobLookup::on_finished_record_read(const std::string& id, const HttpResult& response,
                                        const Callback& callback) {
  // This node may have accepted and acknowledged the job since the look-up began.
  if (const auto* live = record_cache_.live_job(id)) return callback(live_result(*live));
  if (response.answered && response.status == 404)
    return callback({Outcome::NotFound, JobState::Pending, 0, nullptr});
  const auto page = response.ok() ? wire::parse_item(response.body) : std::nullopt;
  const auto record = page ? wire::decode_finished(page->items[0].value) : std::nullopt;
  if (!record) return callback({});
  record_cache_.cache_finished(id, *record);
  callback(finished_result(*record));
}

std::optional<JobState> JobLookup::cached_state(const std::string& id) const {
  if (const auto* live = record_cache_.live_job(id)) return effective_state(live->value);
  if (const auto* finished = record_cache_.finished_job(id)) return finished->state;
  return std::nullopt;
}

JobLookupResult JobLookup::live_result(const Versioned<JobRecord>& record) const {
  const JobRecord& job = record.value;
  // The state is undetermined while the outcome of a dependency has not been read yet.
  if (!record_cache_.dependencies().cancellation_is_conclusive(job.spec.id)) return {};
  return {Outcome::Live, effective_state(job), job.done.count(), &record};
}

JobState JobLookup::effective_state(const JobRecord& record) const {
  const bool cancelled = record_cache_.dependencies().cancelled(record.spec.id);
  return record.state == JobState::Pending && cancelled ? JobState::Cancelled : record.state;
}

}  // namespace sumacquay
