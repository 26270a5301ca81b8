#include "frontend/frontend.h"

#include <spdlog/spdlog.h>

#include <chrono>

#include "wire/json_size.h"
#include "wire/record_capacity.h"
#include "wire/store_messages.h"
#include "wire/user_messages.h"

namespace sumacquay {
namespace {

using wire::UserVisibleState;

/// The part of a record's value that a job's description may take, and what it may take with the
/// names of the jobs that it depends on.
constexpr double kDescriptionShare = 0.5;
constexpr double kDependenciesShare = 0.9;
/// The limit on requests in progress at its lowest / at its highest.
constexpr double kFewestInProgress = 1.0 / 14;

void respond_unavailable(const Respond& respond, int status = 503) {
  respond({status, wire::error_body("try again later"), 1});
}

UserVisibleState user_visible(JobState state, uint32_t running) {
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

}  // namespace

Frontend::Frontend(const Settings& settings, size_t most_in_progress, KeyValueStoreClient& store,
                   RecordCache& record_cache, Sources sources)
    : settings_(settings),
      store_(store),
      record_cache_(record_cache),
      sources_(std::move(sources)),
      limit_(kFewestInProgress * static_cast<double>(most_in_progress),
             static_cast<double>(most_in_progress)) {}

Respond Frontend::limited(Respond respond) {
  const auto began = std::chrono::steady_clock::now();
  return [this, began, respond = std::move(respond)](HttpReply reply) {
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
    limit_.leave(took.count());
    respond(std::move(reply));
  };
}

bool Frontend::handle(const HttpRequest& request, Respond respond) {
  const std::string jobs = wire::path::kJobs;
  if (request.path != jobs && !request.path.starts_with(jobs + "/")) return false;
  if (!limit_.enter()) {
    respond_unavailable(respond, 429);
    return true;
  }
  const Respond done = limited(std::move(respond));
  if (request.path == jobs) {
    if (request.method == "POST")
      submit(request, done);
    else
      done({405, wire::error_body("only POST"), 0});
    return true;
  }
  std::string id = request.path.substr(jobs.size() + 1);
  const std::string suffix = wire::path::kCancel;
  const bool cancels = id.ends_with(suffix);
  if (cancels) id.resize(id.size() - suffix.size());
  if (!wire::valid_job_id(id))
    done({404, wire::error_body("no such job"), 0});
  else if (cancels && request.method == "POST")
    cancel(id, 0, done);
  else if (!cancels && request.method == "GET")
    query(id, done);
  else
    done({405, wire::error_body("no such method here"), 0});
  return true;
}

void Frontend::look_up(const std::string& id, const Respond& respond,
                       const std::function<void(const Versioned<JobRecord>&)>& live,
                       const std::function<void(const FinishedRecord&)>& finished,
                       const std::function<void()>& unknown) {
  // Over is final: no read can find it changed.
  if (const auto* known = record_cache_.finished(id)) return finished(*known);
  record_cache_.read_barrier([=, this](bool fresh) {
    if (!fresh) return respond_unavailable(respond);
    if (const auto* record = record_cache_.live(id)) return answer_live(*record, respond, live);
    if (const auto* known = record_cache_.finished(id)) return finished(*known);
    // Jobs leave the live records only for those that are over, so reading these last finds a job
    // that moves in between.
    store_.read(RequestPriority::Background, wire::item_path(keys::kFinished + id),
                [=, this](const HttpResult& r) {
                  // This node may have accepted it, and said so, since the question was asked.
                  if (const auto* record = record_cache_.live(id))
                    return answer_live(*record, respond, live);
                  if (r.answered && r.status == 404) return unknown();
                  const auto page = r.ok() ? wire::parse_item(r.body) : std::nullopt;
                  const auto record =
                      page ? wire::decode_finished(page->items[0].value) : std::nullopt;
                  if (!record) return respond_unavailable(respond);
                  record_cache_.cache_finished(id, *record);
                  finished(*record);
                });
  });
}

void Frontend::answer_live(const Versioned<JobRecord>& record, const Respond& respond,
                           const std::function<void(const Versioned<JobRecord>&)>& live) const {
  // How a job ended that it depends on may still be read: until then nobody can tell its state.
  if (!record_cache_.dependencies().certain(record.value.spec.id))
    return respond_unavailable(respond);
  live(record);
}

/// A job that depends on a cancelled one is cancelled, before the leader has written it down.
JobState Frontend::current_state(const JobRecord& record) const {
  const bool cancelled = record_cache_.dependencies().cancelled(record.spec.id);
  return record.state == JobState::Pending && cancelled ? JobState::Cancelled : record.state;
}

void Frontend::query(const std::string& id, const Respond& respond) {
  auto answer = [=](JobState state, uint32_t done, uint32_t running) {
    respond({200, wire::job_status(id, user_visible(state, running), done, running), 0});
  };
  look_up(
      id, respond,
      [=, this](const Versioned<JobRecord>& r) {
        const auto counts = sources_.counts(id);
        const JobState state = current_state(r.value);
        const bool pending = state == JobState::Pending;
        answer(state, r.value.done.count(), pending ? counts.running : 0);
      },
      [=](const FinishedRecord& r) { answer(r.state, r.done, 0); },
      [=] {
        respond({404, wire::error_body("no such job"), 0});
      });
}

void Frontend::cancel(const std::string& id, int tries, const Respond& respond) {
  auto answer = [=](JobState state) {
    respond({200, wire::job_answer(id, user_visible(state, 0)), 0});
  };
  look_up(
      id, respond,
      [=, this](const Versioned<JobRecord>& r) {
        const JobState state = current_state(r.value);
        if (state != JobState::Pending) return answer(state);
        JobRecord cancelled = wire::fitting_record(r.value, settings_.state_value_bytes());
        cancelled.state = JobState::Cancelled;
        const std::string key = keys::kLive + id;
        store_.compare_and_swap(
            RequestPriority::Record, {{key, r.version}}, {{key, wire::encode_job(cancelled), 0}},
            [=, this](const TransactionResult& t) {
              if (t.outcome == TransactionOutcome::Committed) {
                record_cache_.wrote_job(cancelled, t.revision);
                return answer(JobState::Cancelled);
              }
              // The leader wrote the record in between: look again.
              constexpr int kTries = 4;
              if (t.outcome == TransactionOutcome::PreconditionFailed && tries < kTries)
                return cancel(id, tries + 1, respond);
              respond_unavailable(respond);
            });
      },
      [=](const FinishedRecord& r) { answer(r.state); },
      [=] {
        respond({404, wire::error_body("no such job"), 0});
      });
}

void Frontend::submit(const HttpRequest& request, const Respond& respond) {
  const auto parsed = wire::parse_job(request.body);
  // Without an id it can't be the repeat of anything.
  if (parsed.id.empty()) return respond({400, wire::error_body(parsed.error), 0});
  if (!parsed.spec) return refuse_unless_accepted(parsed.id, 400, parsed.error, respond);
  const JobSpec& spec = *parsed.spec;
  if (sources_.types().empty() || record_cache_.live(spec.id) || record_cache_.finished(spec.id))
    return answer_existing_job(spec.id, respond);
  const auto never = never_runs(spec, sources_.types(), settings_.team(spec.team));
  if (!never.empty()) return refuse_unless_accepted(spec.id, 422, never, respond);
  if (!record_cache_.loaded()) return respond_unavailable(respond);
  auto submission = std::make_shared<Submission>();
  submission->record.spec = spec;
  submission->record.spec.dependencies.clear();
  submission->record.submitted_ms = sources_.time_of_day_ms();
  submission->unchecked = spec.dependencies;
  check_dependencies(submission, respond);
}

/// Looks up the jobs that a submission depends on, one after another, and accepts it then. Those
/// that are done already need no place in its record, and with one that is cancelled it is.
void Frontend::check_dependencies(const std::shared_ptr<Submission>& submission,
                                  const Respond& respond) {
  while (!submission->unchecked.empty()) {
    const std::string id = submission->unchecked.back();
    // Of a job in the copy it is certain that it was accepted; what has happened to it since the
    // copy was made is found out from the records of both.
    if (const auto* record = record_cache_.live(id)) {
      submission->add(id, current_state(record->value));
    } else if (const auto* known = record_cache_.finished(id)) {
      submission->add(id, known->state);
    } else {
      return look_up_dependency(id, submission, respond);
    }
  }
  accept(submission->record, respond);
}

void Frontend::look_up_dependency(const std::string& id,
                                  const std::shared_ptr<Submission>& submission,
                                  const Respond& respond) {
  look_up(
      id, respond,
      [=, this](const Versioned<JobRecord>& record) {
        submission->add(id, current_state(record.value));
        check_dependencies(submission, respond);
      },
      [=, this](const FinishedRecord& record) {
        submission->add(id, record.state);
        check_dependencies(submission, respond);
      },
      [=, this] {
        refuse_unless_accepted(submission->record.spec.id, 422,
                               "depends on a job that was never accepted", respond);
      });
}

void Frontend::Submission::add(const std::string& dependency, JobState state) {
  unchecked.pop_back();
  if (state == JobState::Pending) record.spec.dependencies.push_back(dependency);
  if (state == JobState::Cancelled) record.state = JobState::Cancelled;
}

/// A job that was accepted stays so, whatever would be said of it now: another node may have known
/// other machine types, or got a whole submission where this one lacks a field.
void Frontend::refuse_unless_accepted(const std::string& id, int status, const std::string& why,
                                      const Respond& respond) {
  answer_existing_job(id, respond, [=] { respond({status, wire::error_body(why), 0}); });
}

void Frontend::answer_existing_job(const std::string& id, const Respond& respond) {
  answer_existing_job(id, respond, [=] { respond_unavailable(respond); });
}

void Frontend::answer_existing_job(const std::string& id, const Respond& respond,
                                   const std::function<void()>& unknown) {
  auto answer = [=](JobState state, uint32_t running) {
    respond({200, wire::job_answer(id, user_visible(state, running)), 0});
  };
  look_up(
      id, respond,
      [=, this](const Versioned<JobRecord>& r) {
        answer(current_state(r.value), sources_.counts(id).running);
      },
      [=](const FinishedRecord& r) { answer(r.state, 0); }, unknown);
}

/// What it depends on was known from a copy that may be old: one of these may be cancelled, and
/// somebody told so.
void Frontend::answer_accepted(const JobRecord& record, const Respond& respond) {
  const std::string& id = record.spec.id;
  auto answer = [=](JobState state) {
    respond({201, wire::job_answer(id, user_visible(state, 0)), 0});
  };
  const bool waits = record.state == JobState::Pending && !record.spec.dependencies.empty();
  if (!waits) return answer(record.state);
  look_up(
      id, respond, [=, this](const Versioned<JobRecord>& r) { answer(current_state(r.value)); },
      [=](const FinishedRecord& r) { answer(r.state); }, [=] { respond_unavailable(respond); });
}

void Frontend::accept(const JobRecord& record, const Respond& respond) {
  const std::string& id = record.spec.id;
  const std::string value = wire::encode_job(record);
  // Done numbers and hosts come into a record only once the jobs that it depends on have left it.
  const double share = record.spec.dependencies.empty() ? kDescriptionShare : kDependenciesShare;
  const size_t size = wire::json_size(wire::Document::parse(value)->root());
  if (static_cast<double>(size) > static_cast<double>(settings_.state_value_bytes()) * share)
    return refuse_unless_accepted(id, 400, "the job's description is too large", respond);
  const std::string live = keys::kLive + id;
  const std::string finished = keys::kFinished + id;
  store_.compare_and_swap(RequestPriority::Record, {{live, 0}, {finished, 0}}, {{live, value, 0}},
                          [=, this](const TransactionResult& t) {
                            if (t.outcome == TransactionOutcome::Committed) {
                              record_cache_.wrote_job(record, t.revision);
                              return answer_accepted(record, respond);
                            }
                            if (t.outcome != TransactionOutcome::PreconditionFailed)
                              return respond_unavailable(respond);
                            answer_existing_job(record.spec.id, respond);
                          });
}

}  // namespace sumacquay
