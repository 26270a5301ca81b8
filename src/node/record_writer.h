#pragma once
#include <functional>
#include <vector>

#include "config/settings.h"
#include "node/active_scheduler.h"
#include "node/write_pacing.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"

namespace sumacquay {

/// Writes the records that the leader wants written. Called by the node after each tick of the
/// scheduler.
///
/// Guarantees that one transaction at a time is under way, that what it wrote is in this node's
/// copy of the records before the scheduler is told of it, and that after a failure or without an
/// answer nothing more is written before the records have been read again. No refusal is final:
/// what was refused is wanted again, in smaller transactions (see WritePacing).
class RecordWriter {
 public:
  /// `committed` is called after each transaction that was carried out.
  RecordWriter(const Settings& settings, KeyValueStoreClient& store, RecordCache& record_cache,
               ActiveScheduler& scheduler, std::function<void()> committed);
  /// The caller has made sure that this node may act as the leader.
  void write_planned_records();
  /// A new period of leading begins: answers to earlier writes no longer count.
  void reset() { state_ = State::Idle; }

 private:
  enum class State {
    Idle,
    Writing,
    Rereading,  ///< a write failed, or nobody knows: the records are read before the next
  };
  void on_answer(const std::vector<RecordWrite>& writes, const TransactionResult& result);
  void update_copy(const RecordWrite& write, uint64_t revision);
  void reread(const TransactionResult& result);

  KeyValueStoreClient& store_;
  RecordCache& record_cache_;
  ActiveScheduler& scheduler_;
  std::function<void()> committed_;
  State state_ = State::Idle;
  WritePacing pacing_;
};

}  // namespace sumacquay
