#include "frontend/submission_handler.h"

#include <utility>

#include "frontend/user_replies.h"
#include "wire/json_size.h"
#include "wire/records.h"

namespace sumacquay {
namespace {

using Outcome = JobLookupResult::Outcome;

/// Maximum size of a job's description as a fraction of the key-value store's limit on a value: for
/// a job without dependencies, and for one with dependencies, including their ids. The rest of the
/// value is for hosts and done tasks.
constexpr double kMaxDescriptionFraction = 0.5;
constexpr double kMaxDescriptionAndDependenciesFraction = 0.9;

HttpReply accepted_reply(const std::string& id, JobState state) {
  return {201, wire::job_state_body(id, user_visible_state(state, 0)), 0};
}

}  // namespace

void SubmissionHandler::submit(std::string_view body, const Respond& respond) {
  const auto parsed = wire::parse_job(body);
  // Without a valid id, this cannot be a repeated submission of an existing job.
  if (parsed.id.empty()) return respond(refusal_reply(400, parsed.error));
  if (!parsed.spec)
    return respond_existing_job(parsed.id, refusal_reply(400, parsed.error), respond);
  const JobSpec& spec = *parsed.spec;
  if (callbacks_.machine_types().empty() || lookup_.cached_state(spec.id))
    return respond_existing_job(spec.id, unavailable_reply(), respond);
  const auto reason =
      unschedulable_reason(spec, callbacks_.machine_types(), settings_.team(spec.team));
  if (!reason.empty()) return respond_existing_job(spec.id, refusal_reply(422, reason), respond);
  if (!record_cache_.loaded()) return respond(unavailable_reply());
  auto submission = std::make_shared<Submission>();
  submission->record.spec = spec;
  submission->record.spec.dependencies.clear();
  submission->record.submitted_ms = callbacks_.unix_time_ms();
  submission->unchecked_dependencies = spec.dependencies;
  check_dependencies(submission, respond);
}

void SubmissionHandler::check_dependencies(const std::shared_ptr<Submission>& submission,
                                           const Respond& respond) {
  while (!submission->unchecked_dependencies.empty()) {
    // A job in the cache is known to have been accepted. Its cached state may be stale; the effect
    // of later changes is derived from the records of both jobs.
    const auto state = lookup_.cached_state(submission->unchecked_dependencies.back());
    if (!state) return look_up_dependency(submission, respond);
    submission->apply_dependency(*state);
  }
  accept(submission->record, respond);
}

void SubmissionHandler::look_up_dependency(const std::shared_ptr<Submission>& submission,
                                           const Respond& respond) {
  lookup_.look_up(submission->unchecked_dependencies.back(),
                  [this, submission, respond](const JobLookupResult& dependency) {
                    if (dependency.outcome == Outcome::Unavailable)
                      return respond(unavailable_reply());
                    if (dependency.outcome == Outcome::NotFound)
                      return respond_existing_job(
                          submission->record.spec.id,
                          refusal_reply(422, "depends on a job that was never accepted"), respond);
                    submission->apply_dependency(dependency.state);
                    check_dependencies(submission, respond);
                  });
}

void SubmissionHandler::Submission::apply_dependency(JobState state) {
  std::string dependency = std::move(unchecked_dependencies.back());
  unchecked_dependencies.pop_back();
  if (state == JobState::Pending) record.spec.dependencies.push_back(std::move(dependency));
  if (state == JobState::Cancelled) record.state = JobState::Cancelled;
}

void SubmissionHandler::accept(const JobRecord& record, const Respond& respond) {
  const std::string& id = record.spec.id;
  const std::string value = wire::encode_job(record);
  if (too_large(record.spec, value))
    return respond_existing_job(id, refusal_reply(400, "the job's description is too large"),
                                respond);
  const std::string live_key = keys::kLive + id;
  const std::string finished_key = keys::kFinished + id;
  store_.compare_and_swap(RequestPriority::Record, {{live_key, 0}, {finished_key, 0}},
                          {{live_key, value, 0}},
                          [this, record, respond](const TransactionResult& result) {
                            on_written(record, result, respond);
                          });
}

bool SubmissionHandler::too_large(const JobSpec& spec, std::string_view encoded_record) const {
  // Done tasks and hosts are added to a record only after its dependencies have been removed, so
  // dependencies may take up the space that is kept for them.
  const double max_fraction =
      spec.dependencies.empty() ? kMaxDescriptionFraction : kMaxDescriptionAndDependenciesFraction;
  const size_t size = wire::json_size(wire::Document::parse(encoded_record)->root());
  return static_cast<double>(size) >
         static_cast<double>(settings_.state_value_bytes()) * max_fraction;
}

void SubmissionHandler::on_written(const JobRecord& record, const TransactionResult& result,
                                   const Respond& respond) {
  switch (result.outcome) {
    case TransactionOutcome::Committed:
      record_cache_.on_job_written(record, result.revision);
      return respond_accepted(record, respond);
    case TransactionOutcome::PreconditionFailed:
      return respond_existing_job(record.spec.id, unavailable_reply(), respond);
    default:
      return respond(unavailable_reply());
  }
}

void SubmissionHandler::respond_accepted(const JobRecord& record, const Respond& respond) {
  const std::string& id = record.spec.id;
  const bool has_pending_dependencies =
      record.state == JobState::Pending && !record.spec.dependencies.empty();
  if (!has_pending_dependencies) return respond(accepted_reply(id, record.state));
  // The dependencies were checked against a cache that may be stale: a dependency may have been
  // cancelled since, and a node may already have reported this job as cancelled.
  lookup_.look_up(id, [id, respond](const JobLookupResult& job) {
    respond(job.found() ? accepted_reply(id, job.state) : unavailable_reply());
  });
}

void SubmissionHandler::respond_existing_job(const std::string& id, const HttpReply& if_not_found,
                                             const Respond& respond) {
  lookup_.look_up(id, [this, id, if_not_found, respond](const JobLookupResult& job) {
    if (job.outcome == Outcome::Unavailable) return respond(unavailable_reply());
    if (job.outcome == Outcome::NotFound) return respond(if_not_found);
    const uint32_t running = job.outcome == Outcome::Live ? callbacks_.job_progress(id).running : 0;
    respond({200, wire::job_state_body(id, user_visible_state(job.state, running)), 0});
  });
}

}  // namespace sumacquay
