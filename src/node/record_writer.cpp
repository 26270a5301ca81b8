#include "node/record_writer.h"

#include "dispatch/record_transaction.h"
#include "logging/log_event.h"
#include "node/steady_time.h"

namespace sumacquay {

RecordWriter::RecordWriter(const Settings& settings, KeyValueStoreClient& store,
                           RecordCache& record_cache, ActiveScheduler& scheduler,
                           std::function<void()> on_committed)
    : store_(store),
      record_cache_(record_cache),
      scheduler_(scheduler),
      on_committed_(std::move(on_committed)),
      pacing_(settings) {}

void RecordWriter::write_planned_records() {
  if (state_ != State::Idle || !record_cache_.loaded()) return;
  if (!pacing_.may_write(steady_now())) return;
  const size_t max_changes = pacing_.max_changes(steady_now());
  const auto writes = scheduler_->plan_writes(steady_now(), max_changes);
  if (writes.empty()) return;
  const auto transaction = record_transaction(writes, record_cache_.term().version);
  state_ = State::Writing;
  store_.compare_and_swap(
      RequestPriority::Record, transaction.preconditions, encode(transaction.mutations),
      [this, writes, generation = scheduler_.generation()](const TransactionResult& result) {
        if (scheduler_.get(generation)) on_answer(writes, result);
      });
}

void RecordWriter::on_answer(const std::vector<RecordWrite>& writes,
                             const TransactionResult& result) {
  const bool committed = result.outcome == TransactionOutcome::Committed;
  if (result.outcome == TransactionOutcome::TooLarge) {
    log_warning("transaction_too_large", log_field("count", writes.size()));
    pacing_.on_transaction_too_large(steady_now());
  }
  if (committed)
    for (const auto& write : writes) update_cache(write, result.revision);
  if (!scheduler_) return;
  for (const auto& write : writes)
    scheduler_->on_write_answered(write, committed, result.revision, steady_now());
  if (!committed) return refresh_records(result);
  state_ = State::Idle;
  scheduler_->request_round();
  on_committed_();
}

void RecordWriter::update_cache(const RecordWrite& write, uint64_t revision) {
  if (!write.host.empty())
    record_cache_.on_host_written(write.host, write.host_record ? &*write.host_record : nullptr,
                                  revision);
  else if (write.finished)
    record_cache_.on_finished_written(write.job, {write.record->state, write.record->done.count()},
                                      revision);
  else
    record_cache_.on_job_written(*write.record, revision);
}

/// Reads the records again before the next write, because their current state determines what still
/// has to be written.
void RecordWriter::refresh_records(const TransactionResult& result) {
  for (const auto& key : result.failed)
    if (key == keys::kTerm) log_info("term_changed");
  state_ = State::RefreshingRecords;
  record_cache_.read_barrier([this, generation = scheduler_.generation()](bool) {
    if (generation == scheduler_.generation()) state_ = State::Idle;
  });
}

}  // namespace sumacquay
