#include "node/connection_log.h"

#include <spdlog/spdlog.h>

namespace sumacquay {

bool ConnectionLog::observe(Seconds now, const ConnectionCounts& counts) {
  if (now < next_) return false;
  next_ = now + pause_;
  const size_t closed = counts.closed_after_answer - told_.closed_after_answer;
  const size_t refused = counts.refused - told_.refused;
  told_ = counts;
  if (closed == 0 && refused == 0) return false;
  spdlog::info("more connections than sockets: {} open, {} closed with their answer, {} refused",
               counts.open, closed, refused);
  return true;
}

}  // namespace sumacquay
