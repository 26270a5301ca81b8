#include "simulation/frontend.h"

#include <utility>

namespace sumacquay::simulation {

namespace {
/// Retries of a cancellation whose transaction failed because the job's record had changed.
constexpr int kCancelRetries = 4;
constexpr double kMillisecondsPerSecond = 1000;
}  // namespace

// ---------------------------------------------------------------- looking up

void Frontend::look_up(ControllerProcess& process, const std::string& id, const Found& found) {
  if (found_finished(process, id, found)) return;
  if (!process.records().loaded()) return found.not_told();
  process.read_records([this, id, found](ControllerProcess& me, bool fresh) {
    if (!fresh) return found.not_told();
    look_up_fresh(me, id, found);
  });
}

void Frontend::look_up_fresh(ControllerProcess& process, const std::string& id,
                             const Found& found) {
  if (found_live(process, id, found) || found_finished(process, id, found)) return;
  process.read_finished(id, [id, found](ControllerProcess& me, bool answered) {
    if (found_live(me, id, found) || found_finished(me, id, found)) return;
    if (!answered) return found.not_told();
    found.unknown(me);
  });
}

bool Frontend::found_live(ControllerProcess& process, const std::string& id, const Found& found) {
  const auto live = process.records().live().find(id);
  if (live == process.records().live().end()) return false;
  if (process.records().dependencies().certain(id))
    found.live(process, live->second);
  else
    found.not_told();
  return true;
}

bool Frontend::found_finished(ControllerProcess& process, const std::string& id,
                              const Found& found) {
  const auto finished = process.records().finished().find(id);
  if (finished == process.records().finished().end()) return false;
  found.finished(process, finished->second);
  return true;
}

JobState Frontend::current_state(const ControllerProcess& process, const JobRecord& record) {
  const bool cancelled = process.records().dependencies().cancelled(record.spec.id);
  return record.state == JobState::Pending && cancelled ? JobState::Cancelled : record.state;
}

// ---------------------------------------------------------------- answers

void Frontend::query(ControllerProcess& process, const UserRequest& request) {
  Found found;
  found.live = [this, request](ControllerProcess& me, const LiveRecord& record) {
    tell(request, current_state(me, record.value));
  };
  found.finished = [this, request](ControllerProcess&, const wire::FinishedRecord& record) {
    tell(request, record.state);
  };
  found.unknown = [this, request](ControllerProcess&) { tell_unknown(request); };
  found.not_told = [request] { request.answered(false); };
  look_up(process, request.job, found);
}

void Frontend::tell(const UserRequest& request, JobState state) {
  env_.digest.add_user_answer(env_.now(), request.job, static_cast<int>(state));
  env_.jobs.at(request.job).accepted = true;
  const bool heard = env_.now() < request.asked_at + kUserPatience;
  if (state != JobState::Pending)
    env_.checker.user_told(request.job, state);
  else if (heard)
    env_.checker.user_told_unfinished(request.job, request.asked_at);
  request.answered(true);
}

void Frontend::tell_unknown(const UserRequest& request) {
  env_.digest.add_user_answer(env_.now(), request.job, -1);
  env_.checker.user_told_unknown(request.job);
  request.answered(true);
}

// ---------------------------------------------------------------- submissions

void Frontend::accept(ControllerProcess& process, const UserRequest& request) {
  const SimulatedRecordCache& records = process.records();
  if (!records.loaded()) return request.answered(false);
  if (records.live().contains(request.job) || records.finished().contains(request.job))
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
  const auto add = [this, submission, request](ControllerProcess& me, JobState state) {
    submission->add(state);
    check_dependencies(me, submission, request);
  };
  // A job in the record cache was accepted, however stale the cache is.
  const auto live = process.records().live().find(id);
  if (live != process.records().live().end())
    return add(process, current_state(process, live->second.value));
  Found found;
  found.live = [add](ControllerProcess& me, const LiveRecord& record) {
    add(me, current_state(me, record.value));
  };
  found.finished = [add](ControllerProcess& me, const wire::FinishedRecord& record) {
    add(me, record.state);
  };
  found.unknown = [this, request](ControllerProcess&) { tell_unknown(request); };
  found.not_told = [request] { request.answered(false); };
  look_up(process, id, found);
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
  state_.request(process.controller(), StateChannel::RequestKind::Transaction,
                 state_.transaction({{keys::kLive + id, 0}, {keys::kFinished + id, 0}},
                                    {StateService::put(keys::kLive + id, record)}),
                 [this, record, request](ControllerProcess& me, const StateReply& reply) {
                   if (reply.ok()) {
                     me.wrote_job(record, reply.revision);
                     // The dependencies were checked against a cache that may be stale.
                     const bool waits =
                         record.state == JobState::Pending && !record.spec.dependencies.empty();
                     if (waits) return query(me, request);
                     return tell(request, record.state);
                   }
                   // The precondition failed: the job was accepted before.
                   if (reply.outcome == StateOutcome::Failed) return query(me, request);
                   request.answered(false);
                 });
}

// ---------------------------------------------------------------- cancellations

void Frontend::cancel(ControllerProcess& process, const UserRequest& request) {
  try_cancel(process, 0, request);
}

void Frontend::try_cancel(ControllerProcess& process, int tries, const UserRequest& request) {
  Found found;
  found.live = [this, tries, request](ControllerProcess& me, const LiveRecord& record) {
    const JobState state = current_state(me, record.value);
    if (state != JobState::Pending) return tell(request, state);
    write_cancelled(me, record, tries, request);
  };
  found.finished = [this, request](ControllerProcess&, const wire::FinishedRecord& record) {
    tell(request, record.state);
  };
  // Users may cancel a job before its submission is acknowledged.
  found.unknown = [request](ControllerProcess&) { request.answered(false); };
  found.not_told = [request] { request.answered(false); };
  look_up(process, request.job, found);
}

void Frontend::write_cancelled(ControllerProcess& process, const LiveRecord& record, int tries,
                               const UserRequest& request) {
  JobRecord cancelled = record.value;
  cancelled.state = JobState::Cancelled;
  const std::string key = keys::kLive + request.job;
  state_.request(process.controller(), StateChannel::RequestKind::Transaction,
                 state_.transaction({{key, record.version}}, {StateService::put(key, cancelled)}),
                 [this, cancelled, tries, request](ControllerProcess& me, const StateReply& reply) {
                   if (reply.ok()) {
                     me.wrote_job(cancelled, reply.revision);
                     return tell(request, JobState::Cancelled);
                   }
                   if (reply.outcome == StateOutcome::Failed && tries < kCancelRetries)
                     return try_cancel(me, tries + 1, request);
                   request.answered(false);
                 });
}

}  // namespace sumacquay::simulation
