// Reads of the records by a controller, and writes by the leader.
#include <algorithm>
#include <utility>

#include "dispatch/record_transaction.h"
#include "simulation/controller_process.h"

namespace sumacquay::simulation {

namespace {
/// Interval between reads of dependency outcomes, as a fraction of the worker lease.
constexpr double kDependencyRetryShare = 0.03;

StateService::Change stored(const RecordMutation& change) {
  return std::visit(
      [&change](const auto& value) {
        if constexpr (std::is_same_v<decltype(value), const DeletedRecord&>)
          return StateService::remove(change.key);
        else
          return StateService::put(change.key, value);
      },
      change.value);
}

std::vector<StateService::Change> stored(const std::vector<RecordMutation>& changes) {
  std::vector<StateService::Change> out;
  out.reserve(changes.size());
  for (const auto& change : changes) out.push_back(stored(change));
  return out;
}
}  // namespace

void ControllerProcess::read_records(ReadDone done) {
  std::optional<uint64_t> after;
  if (records_.loaded()) after = records_.revision();
  links_.state.request(controller_, StateChannel::RequestKind::Other, links_.state.read(after),
                       [asked_at = env_.now(), changes_only = after.has_value(),
                        done = std::move(done)](ControllerProcess& me, const StateReply& reply) {
                         const bool schedulable =
                             reply.ok() && (changes_only || !me.records_.loaded());
                         if (schedulable) me.records_read(reply, asked_at);
                         if (done) done(me, schedulable);
                       });
}

void ControllerProcess::records_read(const StateReply& reply, Seconds asked_at) {
  const auto update = records_.apply(reply, asked_at);
  if (update.leader_changed || update.first) leader_record_changed();
  if (update.first) all_job_records_changed();
  if (!update.first)
    for (const auto& id : update.jobs) job_record_changed(id);
  read_unknown_dependencies();
}

void ControllerProcess::leader_record_changed() {
  const auto& leader = records_.leader();
  election_->observe_term(env_.now(), std::max(leader.value.term, records_.term().value.term));
  const bool of_this_host = leader.version && leader.value.node == node_name(controller_);
  if (!of_this_host || leader.value.nonce == nonce_ || revoked_) return;
  // The lease belongs to an earlier process on this host, which has ended. Revoking it spares the
  // wait for its expiry.
  revoked_ = true;
  revoke(leader.value.lease);
}

void ControllerProcess::job_record_changed(const std::string& id) {
  if (!scheduler_) return;
  const auto job = records_.live().find(id);
  if (job != records_.live().end())
    scheduler_->on_job_record(job->second.value, job->second.version, env_.now());
  else
    scheduler_->on_job_finished(id);
  report_finished_dependencies();
  scheduler_->request_round();
}

void ControllerProcess::all_job_records_changed() {
  if (!scheduler_) return;
  std::vector<std::string> finished;
  for (const auto& [id, job] : scheduler_->jobs())
    if (!records_.live().contains(id)) finished.push_back(id);
  for (const auto& id : finished) scheduler_->on_job_finished(id);
  for (const auto& [id, job] : records_.live())
    scheduler_->on_job_record(job.value, job.version, env_.now());
  report_finished_dependencies();
  scheduler_->request_round();
}

void ControllerProcess::report_finished_dependencies() {
  const std::set<std::string> unknown = scheduler_->unknown_dependencies();
  for (const auto& id : unknown)
    if (const auto record = records_.dependency_end(id))
      scheduler_->on_dependency_finished(id, *record);
}

/// Reads one outcome at a time, as the node does.
void ControllerProcess::read_unknown_dependencies() {
  const auto& unknown = records_.dependencies().unknown();
  if (reading_dependency_ || unknown.empty()) return;
  reading_dependency_ = true;
  const auto next = unknown.upper_bound(dependency_read_);
  dependency_read_ = next == unknown.end() ? *unknown.begin() : *next;
  read_finished(dependency_read_, [](ControllerProcess& me, bool) {
    me.schedule(me.env_.options.lease_s * kDependencyRetryShare, [](ControllerProcess& it) {
      it.reading_dependency_ = false;
      it.read_unknown_dependencies();
    });
  });
}

void ControllerProcess::read_finished(const std::string& id, ReadDone done) {
  links_.state.request(
      controller_, StateChannel::RequestKind::Other, links_.state.read_item(keys::kFinished + id),
      [id, done = std::move(done)](ControllerProcess& me, const StateReply& reply) {
        if (reply.ok()) {
          const auto& value = *reply.changes.front().value;
          me.records_.cache_finished(id, std::get<wire::FinishedRecord>(value));
          me.job_record_changed(id);
        }
        done(me, reply.ok() || reply.outcome == StateOutcome::Failed);
      });
}

void ControllerProcess::wrote_job(const JobRecord& record, uint64_t version) {
  if (!records_.wrote_job(record, version)) return;
  job_record_changed(record.spec.id);
  read_unknown_dependencies();
}

void ControllerProcess::write_records() {
  if (writing_ || !leads() || !records_.loaded()) return;
  const auto writes =
      scheduler_->plan_writes(env_.now(), static_cast<size_t>(settings().state_txn_ops));
  if (writes.empty()) return;
  const auto transaction = record_transaction(writes, records_.term().version);
  env_.digest.add(env_.now(), controller_, transaction);
  writing_ = true;
  links_.state.request(
      controller_, StateChannel::RequestKind::Transaction,
      links_.state.transaction(transaction.preconditions, stored(transaction.mutations),
                               WriterTerm{election_->term(), nonce_}),
      [writes, generation = generation_](ControllerProcess& me, const StateReply& reply) {
        if (me.current(generation)) me.records_written(writes, reply);
      });
}

void ControllerProcess::records_written(const std::vector<RecordWrite>& writes,
                                        const StateReply& reply) {
  const bool committed = reply.ok();
  if (committed)
    for (const auto& write : writes) apply_written(write, reply.revision);
  for (const auto& write : writes)
    scheduler_->on_write_answered(write, committed, reply.revision, env_.now());
  if (committed) {
    writing_ = false;
    scheduler_->request_round();
    return dispatch();
  }
  // The transaction failed or its outcome is unknown: read the records to find out what still has
  // to be written.
  read_records([generation = generation_](ControllerProcess& me, bool) {
    if (generation == me.generation_) me.writing_ = false;
  });
}

/// Dispatches commands right after a committed transaction, as the node does with prompt dispatch.
void ControllerProcess::dispatch() {
  if (!settings().tuning.prompt_dispatch || !leads()) return;
  for (const auto& action : scheduler_->dispatch(env_.now())) perform(action);
  write_records();
}

void ControllerProcess::apply_written(const RecordWrite& write, uint64_t revision) {
  if (!write.host.empty()) {
    if (write.host_record)
      records_.wrote_host(write.host, *write.host_record, revision);
    else
      records_.deleted_host(write.host, revision);
  } else if (write.finished) {
    const auto& record = *write.record;
    records_.wrote_finished(write.job, {record.state, record.done.count(), record.ended_ms});
    job_record_changed(write.job);
  } else {
    wrote_job(*write.record, revision);
  }
}

}  // namespace sumacquay::simulation
