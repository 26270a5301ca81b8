#include "simulation/frontend.h"

#include <utility>

namespace sumacquay::simulation {

namespace {
/// Retries of a cancellation whose transaction failed because the job's record had changed.
constexpr int kMaxCancelRetries = 4;
constexpr double kMillisecondsPerSecond = 1000;
}  // namespace

// ---------------------------------------------------------------- looking up

void Frontend::look_up(ControllerProcess& process, const std::string& id,
                       const LookUpHandlers& handlers) {
  if (handle_finished(process, id, handlers)) return;
  if (!process.records().loaded()) return handlers.unavailable();
  process.read_records([this, id, handlers](ControllerProcess& self, bool fresh) {
    if (!fresh) return handlers.unavailable();
    look_up_fresh(self, id, handlers);
  });
}

void Frontend::look_up_fresh(ControllerProcess& process, const std::string& id,
                             const LookUpHandlers& handlers) {
  if (handle_live(process, id, handlers) || handle_finished(process, id, handlers)) return;
  process.read_finished(id, [id, handlers](ControllerProcess& self, bool answered) {
    if (handle_live(self, id, handlers) || handle_finished(self, id, handlers)) return;
    if (!answered) return handlers.unavailable();
    handlers.not_found(self);
  });
}

bool Frontend::handle_live(ControllerProcess& process, const std::string& id,
                           const LookUpHandlers& handlers) {
  const auto live = process.records().live_jobs().find(id);
  if (live == process.records().live_jobs().end()) return false;
  if (process.records().dependencies().cancellation_is_conclusive(id))
    handlers.live(process, live->second);
  else
    handlers.unavailable();
  return true;
}

bool Frontend::handle_finished(ControllerProcess& process, const std::string& id,
                               const LookUpHandlers& handlers) {
  const auto finished = process.records().finished_jobs().find(id);
  if (finished == process.records().finished_jobs().end()) return false;
  handlers.finished(process, finished->second);
  return true;
}

JobState Frontend::current_state(const ControllerProcess& process, const JobRecord& record) {
  const bool cancelled = process.records().dependencies().cancelled(record.spec.id);
  return record.state == JobState::Pending && cancelled ? JobState::Cancelled : record.state;
}

// ---------------------------------------------------------------- answers

void Frontend::query(ControllerProcess& process, const UserRequest& request) {
  LookUpHandlers handlers;
  handlers.live = [this, request](ControllerProcess& self, const LiveRecord& record) {
    answer_state(request, current_state(self, record.value));
  };
  handlers.finished = [this, request](ControllerProcess&, const wire::FinishedRecord& record) {
    answer_state(request, record.state);
  };
  handlers.not_found = [this, request](ControllerProcess&) { answer_not_found(request); };
  handlers.unavailable = [request] { request.on_handled(false); };
  look_up(process, request.job, handlers);
}

void Frontend::answer_state(const UserRequest& request, JobState state) {
  env_.digest.add_user_answer(env_.now(), request.job, static_cast<int>(state));
  env_.jobs.at(request.job).accepted = true;
  const bool within_timeout = env_.now() < request.sent_at + kUserTimeout;
  if (state != JobState::Pending)
    env_.checker.on_final_state_reported(request.job, state);
  else if (within_timeout)
    env_.checker.on_unfinished_reported(request.job, request.sent_at);
  request.on_handled(true);
}

void Frontend::answer_not_found(const UserRequest& request) {
  env_.digest.add_user_answer(env_.now(), request.job, -1);
  env_.checker.on_unknown_job_reported(request.job);
  request.on_handled(true);
}

// ---------------------------------------------------------------- submissions

void Frontend::accept(ControllerProcess& process, const UserRequest& request) {
  const SimulatedRecordCache& records = process.records();
  if (!records.loaded()) return request.on_handled(false);
  if (records.live_jobs().contains(request.job) || records.finished_jobs().contains(request.job))
    return query(process, request);
  auto submission = std::make_shared<Submission>();
  submission->record.spec = env_.jobs.at(request.job).spec;
  submission->record.submitted_ms = static_cast<uint64_t>(env_.now() * kMillisecondsPerSecond);
  submission->unchecked = std::exchange(submission->record.spec.dependencies, {});
  check_dependencies(process, submission, request);
}

void Frontend::check_dependencies(ControllerProcess& process,
                                  const std::shared_ptr<Submission>& submission,
                                  const UserRequest& request) {
  if (submission->unchecked.empty()) return write_accepted(process, submission->record, request);
  const std::string id = submission->unchecked.back();
  const auto add = [this, submission, request](ControllerProcess& self, JobState state) {
    submission->add(state);
    check_dependencies(self, submission, request);
  };
  // A job in the record cache was accepted, however stale the cache is.
  const auto live = process.records().live_jobs().find(id);
  if (live != process.records().live_jobs().end())
    return add(process, current_state(process, live->second.value));
  LookUpHandlers handlers;
  handlers.live = [add](ControllerProcess& self, const LiveRecord& record) {
    add(self, current_state(self, record.value));
  };
  handlers.finished = [add](ControllerProcess& self, const wire::FinishedRecord& record) {
    add(self, record.state);
  };
  handlers.not_found = [this, request](ControllerProcess&) { answer_not_found(request); };
  handlers.unavailable = [request] { request.on_handled(false); };
  look_up(process, id, handlers);
}

void Frontend::Submission::add(JobState dependency) {
  const std::string id = std::move(unchecked.back());
  unchecked.pop_back();
  if (dependency == JobState::Pending) record.spec.dependencies.push_back(id);
  if (dependency == JobState::Cancelled) record.state = JobState::Cancelled;
}

void Frontend::write_accepted(ControllerProcess& process, const JobRecord& record,
                              const UserRequest& request) {
  const std::string& id = request.job;
  store_.request(process.controller(), StoreChannel::RequestKind::Transaction,
                 store_.transaction({{keys::kLive + id, 0}, {keys::kFinished + id, 0}},
                                    {SimulatedStore::put(keys::kLive + id, record)}),
                 [this, record, request](ControllerProcess& self, const StoreReply& reply) {
                   if (reply.ok()) {
                     self.on_job_written(record, reply.revision);
                     // The dependencies were checked against a cache that may be stale.
                     const bool has_dependencies =
                         record.state == JobState::Pending && !record.spec.dependencies.empty();
                     if (has_dependencies) return query(self, request);
                     return answer_state(request, record.state);
                   }
                   // The precondition failed: the job was accepted before.
                   if (reply.outcome == StoreOutcome::Failed) return query(self, request);
                   request.on_handled(false);
                 });
}

// ---------------------------------------------------------------- cancellations

void Frontend::cancel(ControllerProcess& process, const UserRequest& request) {
  try_cancel(process, 0, request);
}

void Frontend::try_cancel(ControllerProcess& process, int retries, const UserRequest& request) {
  LookUpHandlers handlers;
  handlers.live = [this, retries, request](ControllerProcess& self, const LiveRecord& record) {
    const JobState state = current_state(self, record.value);
    if (state != JobState::Pending) return answer_state(request, state);
    write_cancelled(self, record, retries, request);
  };
  handlers.finished = [this, request](ControllerProcess&, const wire::FinishedRecord& record) {
    answer_state(request, record.state);
  };
  // Users may cancel a job before its submission is acknowledged.
  handlers.not_found = [request](ControllerProcess&) { request.on_handled(false); };
  handlers.unavailable = [request] { request.on_handled(false); };
  look_up(process, request.job, handlers);
}

void Frontend::write_cancelled(ControllerProcess& process, const LiveRecord& record, int retries,
                               const UserRequest& request) {
  JobRecord cancelled = record.value;
  cancelled.state = JobState::Cancelled;
  const std::string key = keys::kLive + request.job;
  store_.request(
      process.controller(), StoreChannel::RequestKind::Transaction,
      store_.transaction({{key, record.version}}, {SimulatedStore::put(key, cancelled)}),
      [this, cancelled, retries, request](ControllerProcess& self, const StoreReply& reply) {
        if (reply.ok()) {
          self.on_job_written(cancelled, reply.revision);
          return answer_state(request, JobState::Cancelled);
        }
        if (reply.outcome == StoreOutcome::Failed && retries < kMaxCancelRetries)
          return try_cancel(self, retries + 1, request);
        request.on_handled(false);
      });
}

}  // namespace sumacquay::simulation
