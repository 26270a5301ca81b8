#include "node/connection_log.h"

#include "logging/log_event.h"

namespace sumacquay {

bool ConnectionLog::observe(Seconds now, const ConnectionCounts& counts) {
  if (now < next_log_at_) return false;
  next_log_at_ = now + min_interval_;
  const size_t closed = counts.closed_after_answer - last_logged_.closed_after_answer;
  const size_t refused = counts.refused - last_logged_.refused;
  last_logged_ = counts;
  if (closed == 0 && refused == 0) return false;
  log_info("sockets_exhausted", log_field("open", counts.open), log_field("closed", closed),
           log_field("refused", refused));
  return true;
}

}  // namespace sumacquay
