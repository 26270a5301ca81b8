#include "node/write_pacing.h"

#include <algorithm>

namespace sumacquay {
namespace {

/// Minimum size of a transaction: a finished job is deleted under one key and written under
/// another.
constexpr size_t kFewestChanges = 2;
/// How long transactions stay at the minimum size after a refusal, in heartbeat periods.
constexpr double kCautionHeartbeats = 30;

/// Maximum changes per transaction. Also limited by the accepted changes per second, because a
/// larger transaction might never be accepted.
size_t changes_within_limits(const Settings& settings) {
  const auto in_a_second = static_cast<size_t>(settings.state_write_rps);
  const auto in_a_transaction = static_cast<size_t>(settings.state_txn_ops);
  return std::max(kFewestChanges, std::min(in_a_second, in_a_transaction));
}

}  // namespace

WritePacing::WritePacing(const Settings& settings)
    : most_changes_(changes_within_limits(settings)),
      heartbeat_period_s_(settings.heartbeat_period_s) {}

size_t WritePacing::most_changes(Seconds now) const {
  return now < cautious_until_ ? kFewestChanges : most_changes_;
}

void WritePacing::too_large(Seconds now) {
  paused_until_ = now + heartbeat_period_s_;
  cautious_until_ = now + kCautionHeartbeats * heartbeat_period_s_;
}

}  // namespace sumacquay
