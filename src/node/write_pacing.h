#pragma once
#include <cstddef>

#include "config/settings.h"
#include "jobs/spec.h"

namespace sumacquay {

/// When the leader's records may be written, and in how large transactions. The record writer asks
/// it before each transaction.
///
/// The state service may come to refuse what it took before. After a transaction that was too large
/// this pauses for a heartbeat period, and for a while lets through only the fewest changes that
/// are of use, so that one record that is too large keeps no others back.
class WritePacing {
 public:
  explicit WritePacing(const Settings& settings);

  bool may_write(Seconds now) const { return now >= paused_until_; }
  /// The most changes of a transaction that is sent now.
  size_t most_changes(Seconds now) const;
  /// The service has refused a transaction for its size.
  void too_large(Seconds now);

 private:
  size_t most_changes_;
  Seconds heartbeat_period_s_;
  Seconds paused_until_ = 0;
  Seconds cautious_until_ = 0;
};

}  // namespace sumacquay
