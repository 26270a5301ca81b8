#include "node/write_pacing.h"

#include <algorithm>

namespace sumacquay {
namespace {

/// Minimum size of a transaction: a finished job is deleted under one key and written under
/// another.
constexpr size_t kMinChanges = 2;
/// How long transactions stay at the minimum size after a refusal, in heartbeat periods.
constexpr double kReducedSizeHeartbeatPeriods = 30;

/// Maximum changes per transaction. Also limited by the accepted changes per second, because a
/// larger transaction might never be accepted.
size_t max_changes_within_limits(const Settings& settings) {
  const auto per_second = static_cast<size_t>(settings.state_write_rps);
  const auto per_transaction = static_cast<size_t>(settings.state_txn_ops);
  return std::max(kMinChanges, std::min(per_second, per_transaction));
}

}  // namespace

WritePacing::WritePacing(const Settings& settings)
    : max_changes_(max_changes_within_limits(settings)),
      heartbeat_period_s_(settings.heartbeat_period_s) {}

size_t WritePacing::max_changes(Seconds now) const {
  return now < reduced_until_ ? kMinChanges : max_changes_;
}

void WritePacing::on_transaction_too_large(Seconds now) {
  paused_until_ = now + heartbeat_period_s_;
  reduced_until_ = now + kReducedSizeHeartbeatPeriods * heartbeat_period_s_;
}

}  // namespace sumacquay
