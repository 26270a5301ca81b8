#include "node/oversized_request_log.h"

#include "logging/log_event.h"

namespace sumacquay {

bool OversizedRequestLog::observe(Seconds now, const OversizedRequests& requests) {
  if (now < next_log_at_ || requests.count == last_logged_count_) return false;
  next_log_at_ = now + min_interval_;
  log_warning("requests_too_large", log_field("count", requests.count - last_logged_count_),
              log_field("path", requests.latest_target),
              log_field("address", requests.latest_peer));
  last_logged_count_ = requests.count;
  return true;
}

}  // namespace sumacquay
