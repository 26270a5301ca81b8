#pragma once
#include <functional>
#include <vector>

#include "config/settings.h"
#include "node/active_scheduler.h"
#include "node/write_pacing.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"

namespace sumacquay {

/// Writes the records that the scheduler plans to the state service. Called by SchedulerDriver
/// after each tick of the scheduler and after each committed transaction. Owns the state of the
/// current write and the write pacing.
///
/// Guarantees that at most one transaction is in flight, and that committed records are in the
/// record cache before the scheduler is notified. After a failed transaction, or one with an
/// unknown outcome, nothing is written until the records have been read again. A refused write is
/// not final: the scheduler plans it again, in smaller transactions if it was too large (see
/// WritePacing).
class RecordWriter {
 public:
  /// `on_committed` is called after each committed transaction.
  RecordWriter(const Settings& settings, KeyValueStoreClient& store, RecordCache& record_cache,
               ActiveScheduler& scheduler, std::function<void()> on_committed);
  /// Sends the next planned transaction if none is in flight and the pacing allows it. Requires
  /// that this node may act as leader.
  void write_planned_records();
  /// Discards the state of earlier writes, when this node begins to lead.
  void reset() { state_ = State::Idle; }

 private:
  enum class State {
    Idle,
    Writing,
    RefreshingRecords,  ///< after a write that failed or may have failed, before the next one
  };
  void on_answer(const std::vector<RecordWrite>& writes, const TransactionResult& result);
  void update_cache(const RecordWrite& write, uint64_t revision);
  void refresh_records(const TransactionResult& result);

  KeyValueStoreClient& store_;
  RecordCache& record_cache_;
  ActiveScheduler& scheduler_;
  std::function<void()> on_committed_;
  State state_ = State::Idle;
  WritePacing pacing_;
};

}  // namespace sumacquay
