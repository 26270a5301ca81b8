#pragma once
#include "jobs/spec.h"
#include "net/http_server.h"

namespace sumacquay {

/// Logs when more users and workers connect than there are sockets: one line for each interval in
/// which connections were closed after an answer, or refused. Called by the node at each tick. Owns
/// the counts of the last line.
class ConnectionLog {
 public:
  /// `min_interval`: the minimum interval between two lines.
  explicit ConnectionLog(Seconds min_interval) : min_interval_(min_interval) {}

  /// Logs a line if one is due and connections were closed or refused; returns whether it did.
  bool observe(Seconds now, const ConnectionCounts& counts);

 private:
  Seconds min_interval_;
  Seconds next_log_at_ = 0;
  ConnectionCounts last_logged_;
};

}  // namespace sumacquay
