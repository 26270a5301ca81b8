#pragma once
#include "jobs/spec.h"
#include "net/http_server.h"

namespace sumacquay {

/// Logs when more users and workers connect than there are sockets: one line for each interval in
/// which connections were closed after an answer, or refused. Called by the node at each tick. Owns
/// the counts of the last line.
class ConnectionLog {
 public:
  /// `pause`: the minimum interval between two lines.
  explicit ConnectionLog(Seconds pause) : pause_(pause) {}

  /// Logs a line if one is due and connections were closed or refused; returns whether it did.
  bool observe(Seconds now, const ConnectionCounts& counts);

 private:
  Seconds pause_;
  Seconds next_ = 0;
  ConnectionCounts logged_;
};

}  // namespace sumacquay
