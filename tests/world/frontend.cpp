#include "world/frontend.h"

#include <utility>

namespace sumacquay::simulation {

namespace {
/// How often a cancellation is tried again after its job's record has changed.
constexpr int kCancelRetries = 4;
constexpr double kMillisecondsPerSecond = 1000;
}  // namespace

void Frontend::accept(ControllerProcess& process, const std::string& id, const Answered& answered) {
  const RecordCopy& records = process.records();
  if (!records.loaded()) return answered(false);
  if (records.live().contains(id) || records.finished().contains(id)) {
    env_.jobs.at(id).accepted = true;
    return answered(true);
  }
  JobRecord record;
  record.spec = env_.jobs.at(id).spec;
  record.submitted_ms = static_cast<uint64_t>(env_.now() * kMillisecondsPerSecond);
  state_.request(process.controller(), StateChannel::RequestKind::Transaction,
                 state_.transaction({{keys::kLive + id, 0}, {keys::kFinished + id, 0}},
                                    {StateService::put(keys::kLive + id, record)}),
                 [this, id, record, answered](ControllerProcess& me, const StateReply& reply) {
                   if (reply.ok()) me.wrote_job(record, reply.revision);
                   // A failed guard: it was accepted before.
                   const bool accepted = reply.ok() || reply.outcome == StateOutcome::Failed;
                   if (accepted) env_.jobs.at(id).accepted = true;
                   answered(accepted);
                 });
}

void Frontend::cancel(ControllerProcess& process, const std::string& id, const Answered& answered) {
  try_cancel(process, id, 0, answered);
}

void Frontend::try_cancel(ControllerProcess& process, const std::string& id, int tries,
                          const Answered& answered) {
  if (tell_if_finished(process, id)) return answered(true);
  if (!process.records().loaded()) return answered(false);
  process.read_records([this, id, tries, answered](ControllerProcess& me, bool fresh) {
    if (!fresh) return answered(false);
    cancel_fresh(me, id, tries, answered);
  });
}

void Frontend::cancel_fresh(ControllerProcess& process, const std::string& id, int tries,
                            const Answered& answered) {
  if (tell_if_finished(process, id)) return answered(true);
  const auto live = process.records().live().find(id);
  if (live == process.records().live().end()) return answered(false);
  if (live->second.value.state != JobState::Pending) {
    env_.checker.user_told(id, live->second.value.state);
    return answered(true);
  }
  JobRecord cancelled = live->second.value;
  cancelled.state = JobState::Cancelled;
  state_.request(
      process.controller(), StateChannel::RequestKind::Transaction,
      state_.transaction({{keys::kLive + id, live->second.version}},
                         {StateService::put(keys::kLive + id, cancelled)}),
      [this, id, cancelled, tries, answered](ControllerProcess& me, const StateReply& reply) {
        if (reply.ok()) {
          me.wrote_job(cancelled, reply.revision);
          env_.checker.user_told(id, JobState::Cancelled);
          return answered(true);
        }
        if (reply.outcome == StateOutcome::Failed && tries < kCancelRetries)
          return try_cancel(me, id, tries + 1, answered);
        answered(false);
      });
}

bool Frontend::tell_if_finished(const ControllerProcess& process, const std::string& id) {
  const auto finished = process.records().finished().find(id);
  if (finished == process.records().finished().end()) return false;
  env_.checker.user_told(id, finished->second.state);
  return true;
}

}  // namespace sumacquay::simulation
