#pragma once
#include <cstddef>

#include "config/settings.h"
#include "jobs/spec.h"

namespace sumacquay {

/// Throttles the leader's record writes: limits when a transaction may be sent and how many changes
/// it may contain. RecordWriter consults it before each transaction. Owns the backoff state.
///
/// The state service may lower its limits while it runs. After a transaction is refused as too
/// large, writes pause for one heartbeat period, and transactions then stay at the minimum size for
/// a while, so that one record that is too large does not block the others.
class WritePacing {
 public:
  explicit WritePacing(const Settings& settings);

  /// Whether a transaction may be sent now.
  bool may_write(Seconds now) const { return now >= paused_until_; }
  /// Maximum number of changes in a transaction that is sent now.
  size_t max_changes(Seconds now) const;
  /// Handles a transaction that the state service has refused as too large.
  void on_transaction_too_large(Seconds now);

 private:
  size_t max_changes_;
  Seconds heartbeat_period_s_;
  Seconds paused_until_ = 0;
  Seconds reduced_until_ = 0;
};

}  // namespace sumacquay
