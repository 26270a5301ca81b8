#pragma once
#include <cstddef>

#include "fleet/machine.h"

namespace sumacquay {

/// Tells operators when more users and workers come than there are sockets: one line for a span in
/// which connections were closed with their answers, or refused. Called by the node at each tick.
class ConnectionLog {
 public:
  /// `pause`: the least time between two lines.
  explicit ConnectionLog(Seconds pause) : pause_(pause) {}

  struct Counts {
    size_t open = 0;
    size_t closed_after_answer = 0;  ///< since the start
    size_t refused = 0;              ///< since the start
  };
  /// True if it wrote a line.
  bool observe(Seconds now, const Counts& counts);

 private:
  Seconds pause_;
  Seconds next_ = 0;
  Counts told_;
};

}  // namespace sumacquay
