#include "node/record_writer.h"

#include <spdlog/spdlog.h>

#include "dispatch/record_transaction.h"
#include "node/steady_time.h"

namespace sumacquay {

RecordWriter::RecordWriter(const Settings& settings, StoreClient& store, Mirror& mirror,
                           ActiveScheduler& scheduler, std::function<void()> committed)
    : store_(store),
      mirror_(mirror),
      scheduler_(scheduler),
      committed_(std::move(committed)),
      pacing_(settings) {}

void RecordWriter::write_wanted() {
  if (state_ != State::Idle || !mirror_.loaded()) return;
  if (!pacing_.may_write(steady_now())) return;
  const size_t most_changes = pacing_.most_changes(steady_now());
  const auto writes = scheduler_->wanted_writes(steady_now(), most_changes);
  if (writes.empty()) return;
  const auto transaction = record_transaction(writes, mirror_.term().version);
  state_ = State::Writing;
  store_.transact(Urgency::Record, transaction.guards, encode(transaction.changes),
                  [this, writes, generation = scheduler_.generation()](const TxnResult& result) {
                    if (scheduler_.get(generation)) on_answer(writes, result);
                  });
}

void RecordWriter::on_answer(const std::vector<RecordWrite>& writes, const TxnResult& result) {
  const bool committed = result.outcome == TxnOutcome::Committed;
  if (result.outcome == TxnOutcome::TooLarge) {
    spdlog::warn("a transaction of {} records is too large for the state service", writes.size());
    pacing_.too_large(steady_now());
  }
  if (committed)
    for (const auto& write : writes) update_copy(write, result.revision);
  if (!scheduler_) return;
  for (const auto& write : writes)
    scheduler_->write_done(write, committed, result.revision, steady_now());
  if (!committed) return reread(result);
  state_ = State::Idle;
  scheduler_->request_round();
  committed_();
}

void RecordWriter::update_copy(const RecordWrite& write, uint64_t revision) {
  if (!write.host.empty())
    mirror_.wrote_host(write.host, write.host_record ? &*write.host_record : nullptr, revision);
  else if (write.finished)
    mirror_.wrote_finished(write.job, {write.record->state, write.record->done.count()}, revision);
  else
    mirror_.wrote_job(*write.record, revision);
}

/// What the records say now decides what is still to be written.
void RecordWriter::reread(const TxnResult& result) {
  for (const auto& key : result.failed)
    if (key == keys::kTerm) spdlog::info("the term has changed");
  state_ = State::Rereading;
  mirror_.read_barrier([this, generation = scheduler_.generation()](bool) {
    if (generation == scheduler_.generation()) state_ = State::Idle;
  });
}

}  // namespace sumacquay
