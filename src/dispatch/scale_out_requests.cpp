#include "dispatch/scale_out_requests.h"

#include <algorithm>

namespace sumacquay {
namespace {

/// Backoff after the first refusal, doubled with each consecutive one up to the limit.
constexpr Seconds kInitialBackoff = 5;
constexpr int kMaxBackoffDoublings = 4;

}  // namespace

ScaleOut ScaleOutRequests::create(const OfferingKey& offering, int count) {
  // The term is unique to this leader, so no two nodes use the same name.
  const std::string name = "sq-" + std::to_string(term_) + "-" + std::to_string(next_number_++);
  ScaleOut request{name, offering.type, offering.zone, offering.spot, count};
  in_flight_[name] = {request, std::nullopt};
  return request;
}

std::vector<ScaleOut> ScaleOutRequests::due_for_retry(Seconds now) {
  std::vector<ScaleOut> out;
  for (auto& [name, entry] : in_flight_) {
    if (!entry.retry_at || now < *entry.retry_at) continue;
    entry.retry_at.reset();
    out.push_back(entry.request);
  }
  return out;
}

void ScaleOutRequests::retry_after(const ScaleOut& request, Seconds now, Seconds delay) {
  const auto entry = in_flight_.find(request.request_name);
  if (entry != in_flight_.end()) entry->second.retry_at = now + delay;
}

bool ScaleOutRequests::complete(const ScaleOut& request, size_t granted, Seconds now) {
  if (in_flight_.erase(request.request_name) == 0) return false;
  Refusals& refusals = refusals_[{request.type, request.zone, request.spot}];
  if (static_cast<int>(granted) >= request.count) {
    refusals.consecutive = 0;
    return true;
  }
  refusals.until =
      now + kInitialBackoff * (1 << std::min(refusals.consecutive, kMaxBackoffDoublings));
  ++refusals.consecutive;
  return true;
}

bool ScaleOutRequests::backing_off(const OfferingKey& offering, Seconds now) const {
  const auto refusals = refusals_.find(offering);
  return refusals != refusals_.end() && now < refusals->second.until;
}

}  // namespace sumacquay
