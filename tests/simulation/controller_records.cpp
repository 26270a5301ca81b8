// Reads of the records by a controller, and writes by the leader.
#include <algorithm>
#include <utility>

#include "dispatch/record_transaction.h"
#include "simulation/controller_process.h"

namespace sumacquay::simulation {

namespace {
/// Interval between reads of dependency outcomes, as a fraction of the worker lease.
constexpr double kDependencyReadIntervalFraction = 0.03;

SimulatedStore::Change to_store_change(const RecordMutation& change) {
  return std::visit(
      [&change](const auto& value) {
        if constexpr (std::is_same_v<decltype(value), const DeletedRecord&>)
          return SimulatedStore::remove(change.key);
        else
          return SimulatedStore::put(change.key, value);
      },
      change.value);
}

std::vector<SimulatedStore::Change> to_store_changes(const std::vector<RecordMutation>& changes) {
  std::vector<SimulatedStore::Change> out;
  out.reserve(changes.size());
  for (const auto& change : changes) out.push_back(to_store_change(change));
  return out;
}
}  // namespace

void ControllerProcess::read_records(ReadDone done) {
  std::optional<uint64_t> after;
  if (records_.loaded()) after = records_.revision();
  connections_.store.request(
      controller_, StoreChannel::RequestKind::Other, connections_.store.read(after),
      [sent_at = env_.now(), changes_only = after.has_value(), done = std::move(done)](
          ControllerProcess& self, const StoreReply& reply) {
        const bool schedulable = reply.ok() && (changes_only || !self.records_.loaded());
        if (schedulable) self.on_records_read(reply, sent_at);
        if (done) done(self, schedulable);
      });
}

void ControllerProcess::on_records_read(const StoreReply& reply, Seconds sent_at) {
  const auto update = records_.apply(reply, sent_at);
  if (update.leader_changed || update.initial_load) on_leader_record_changed();
  if (update.initial_load) on_all_job_records_changed();
  if (!update.initial_load)
    for (const auto& id : update.jobs) on_job_record_changed(id);
  read_unknown_dependencies();
}

void ControllerProcess::on_leader_record_changed() {
  const auto& leader = records_.leader();
  election_->observe_term(env_.now(), std::max(leader.value.term, records_.term().value.term));
  const bool of_this_host = leader.version && leader.value.node == node_name(controller_);
  if (!of_this_host || leader.value.nonce == nonce_ || earlier_lease_revoked_) return;
  // The lease belongs to an earlier process on this host, which has ended. Revoking it spares the
  // wait for its expiry.
  earlier_lease_revoked_ = true;
  revoke_lease(leader.value.lease);
}

void ControllerProcess::on_job_record_changed(const std::string& id) {
  if (!scheduler_) return;
  const auto job = records_.live_jobs().find(id);
  if (job != records_.live_jobs().end())
    scheduler_->on_job_record(job->second.value, job->second.version, env_.now());
  else
    scheduler_->on_job_finished(id);
  report_finished_dependencies();
  scheduler_->request_round();
}

void ControllerProcess::on_all_job_records_changed() {
  if (!scheduler_) return;
  std::vector<std::string> finished;
  for (const auto& [id, job] : scheduler_->jobs())
    if (!records_.live_jobs().contains(id)) finished.push_back(id);
  for (const auto& id : finished) scheduler_->on_job_finished(id);
  for (const auto& [id, job] : records_.live_jobs())
    scheduler_->on_job_record(job.value, job.version, env_.now());
  report_finished_dependencies();
  scheduler_->request_round();
}

void ControllerProcess::report_finished_dependencies() {
  const std::set<std::string> unknown = scheduler_->unknown_dependencies();
  for (const auto& id : unknown)
    if (const auto record = records_.dependency_outcome(id))
      scheduler_->on_dependency_finished(id, *record);
}

/// Reads one outcome at a time, as the node does.
void ControllerProcess::read_unknown_dependencies() {
  const auto& unknown = records_.dependencies().unknown_jobs();
  if (dependency_read_in_flight_ || unknown.empty()) return;
  dependency_read_in_flight_ = true;
  const auto next = unknown.upper_bound(last_dependency_read_);
  last_dependency_read_ = next == unknown.end() ? *unknown.begin() : *next;
  read_finished(last_dependency_read_, [](ControllerProcess& self, bool) {
    self.schedule(self.env_.options.lease_s * kDependencyReadIntervalFraction,
                  [](ControllerProcess& process) {
                    process.dependency_read_in_flight_ = false;
                    process.read_unknown_dependencies();
                  });
  });
}

void ControllerProcess::read_finished(const std::string& id, ReadDone done) {
  connections_.store.request(
      controller_, StoreChannel::RequestKind::Other,
      connections_.store.read_item(keys::kFinished + id),
      [id, done = std::move(done)](ControllerProcess& self, const StoreReply& reply) {
        if (reply.ok()) {
          const auto& value = *reply.changes.front().value;
          self.records_.cache_finished(id, std::get<wire::FinishedRecord>(value));
          self.on_job_record_changed(id);
        }
        done(self, reply.ok() || reply.outcome == StoreOutcome::Failed);
      });
}

void ControllerProcess::on_job_written(const JobRecord& record, uint64_t version) {
  if (!records_.on_job_written(record, version)) return;
  on_job_record_changed(record.spec.id);
  read_unknown_dependencies();
}

void ControllerProcess::write_records() {
  if (write_in_flight_ || !leads() || !records_.loaded()) return;
  const auto writes =
      scheduler_->plan_writes(env_.now(), static_cast<size_t>(settings().state_txn_ops));
  if (writes.empty()) return;
  const auto transaction = record_transaction(writes, records_.term().version);
  env_.digest.add(env_.now(), controller_, transaction);
  write_in_flight_ = true;
  connections_.store.request(
      controller_, StoreChannel::RequestKind::Transaction,
      connections_.store.transaction(transaction.preconditions,
                                     to_store_changes(transaction.mutations),
                                     WriterTerm{election_->term(), nonce_}),
      [writes, generation = generation_](ControllerProcess& self, const StoreReply& reply) {
        if (self.is_current(generation)) self.on_records_written(writes, reply);
      });
}

void ControllerProcess::on_records_written(const std::vector<RecordWrite>& writes,
                                           const StoreReply& reply) {
  const bool committed = reply.ok();
  if (committed)
    for (const auto& write : writes) apply_written(write, reply.revision);
  for (const auto& write : writes)
    scheduler_->on_write_answered(write, committed, reply.revision, env_.now());
  if (committed) {
    write_in_flight_ = false;
    scheduler_->request_round();
    return dispatch();
  }
  // The transaction failed or its outcome is unknown: read the records to find out what still has
  // to be written.
  read_records([generation = generation_](ControllerProcess& self, bool) {
    if (generation == self.generation_) self.write_in_flight_ = false;
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
      records_.on_host_written(write.host, *write.host_record, revision);
    else
      records_.on_host_deleted(write.host, revision);
  } else if (write.finished) {
    const auto& record = *write.record;
    records_.on_finished_written(write.job, {record.state, record.done.count(), record.ended_ms});
    on_job_record_changed(write.job);
  } else {
    on_job_written(*write.record, revision);
  }
}

}  // namespace sumacquay::simulation
