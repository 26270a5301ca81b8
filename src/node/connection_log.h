#pragma once
#include "jobs/spec.h"
#include "net/http_server.h"

namespace sumacquay {

/// Logs when more users and workers connect than there are sockets: one line for a span in which
/// connections were closed with their answers, or refused. Called by the node at each tick. It owns
/// the counts of the last line and must not know why connections were closed.
class ConnectionLog {
 public:
  /// `pause`: the least time between two lines, in seconds.
  explicit ConnectionLog(Seconds pause) : pause_(pause) {}

  /// True if it wrote a line.
  bool observe(Seconds now, const ConnectionCounts& counts);

 private:
  Seconds pause_;
  Seconds next_ = 0;
  ConnectionCounts logged_;
};

}  // namespace sumacquay
