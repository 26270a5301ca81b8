#pragma once
#include "jobs/spec.h"
#include "net/http_server.h"

namespace sumacquay {

/// Tells operators when more users and workers come than there are sockets: one line for a span in
/// which connections were closed with their answers, or refused. Called by the node at each tick.
class ConnectionLog {
 public:
  /// `pause`: the least time between two lines.
  explicit ConnectionLog(Seconds pause) : pause_(pause) {}

  /// True if it wrote a line.
  bool observe(Seconds now, const ConnectionCounts& counts);

 private:
  Seconds pause_;
  Seconds next_ = 0;
  ConnectionCounts told_;
};

}  // namespace sumacquay
