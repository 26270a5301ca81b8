#pragma once
#include "config/settings.h"
#include "store/key_value_store_client.h"

namespace sumacquay {

/// Whether the state service serves this node, judged by the age of its last answer. Owns nothing;
/// it must not know who leads. Used for readiness, for the outage log and for own heartbeats.
class StateServiceHealth {
 public:
  StateServiceHealth(const Settings& settings, const KeyValueStoreClient& store)
      : settings_(settings), store_(store) {}
  /// True while the last answer is younger than a fixed share of the workers' lease.
  [[nodiscard]] bool served() const;

 private:
  const Settings& settings_;
  const KeyValueStoreClient& store_;
};

}  // namespace sumacquay
