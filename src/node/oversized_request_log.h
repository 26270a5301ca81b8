#pragma once
#include "jobs/spec.h"
#include "net/http_server.h"

namespace sumacquay {

/// Logs when requests are refused with status 413 because they exceed a size limit: at most one
/// line for each interval, which names the latest request. Called by the node at each tick. Owns
/// the count of the last line.
class OversizedRequestLog {
 public:
  /// `min_interval`: the minimum interval between two lines.
  explicit OversizedRequestLog(Seconds min_interval) : min_interval_(min_interval) {}

  /// Logs a line if one is due and requests were refused; returns whether it did.
  bool observe(Seconds now, const OversizedRequests& requests);

 private:
  Seconds min_interval_;
  Seconds next_log_at_ = 0;
  size_t last_logged_count_ = 0;
};

}  // namespace sumacquay
