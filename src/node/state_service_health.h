#pragma once
#include "config/settings.h"
#include "store/key_value_store_client.h"

namespace sumacquay {

/// Determines from the age of the state service's last answer whether the service is available to
/// this node, independently of which node leads. Used for readiness, the outage log and this node's
/// peer heartbeats. Owns nothing.
class StateServiceHealth {
 public:
  StateServiceHealth(const Settings& settings, const KeyValueStoreClient& store)
      : settings_(settings), store_(store) {}
  /// Whether the last answer is younger than a fixed fraction of the worker lease.
  [[nodiscard]] bool available() const;

 private:
  const Settings& settings_;
  const KeyValueStoreClient& store_;
};

}  // namespace sumacquay
