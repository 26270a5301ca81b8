#include "dispatch/scale_out_requests.h"

#include <algorithm>

namespace sumacquay {
namespace {

/// Backoff after the first refusal, doubled with each consecutive one up to the limit.
constexpr Seconds kFirstBackOff = 5;
constexpr int kMostDoublings = 4;

}  // namespace

ScaleOut ScaleOutRequests::open(const OfferingKey& offering, int count) {
  // The term is unique to this leader, so no two nodes use the same name.
  const std::string name = "sq-" + std::to_string(term_) + "-" + std::to_string(next_number_++);
  ScaleOut rent{name, offering.type, offering.zone, offering.spot, count};
  open_[name] = {rent, std::nullopt};
  return rent;
}

std::vector<ScaleOut> ScaleOutRequests::due_for_retry(Seconds now) {
  std::vector<ScaleOut> out;
  for (auto& [name, request] : open_) {
    if (!request.repeat_at || now < *request.repeat_at) continue;
    request.repeat_at.reset();
    out.push_back(request.rent);
  }
  return out;
}

void ScaleOutRequests::retry_after(const ScaleOut& rent, Seconds now, Seconds delay) {
  const auto request = open_.find(rent.request);
  if (request != open_.end()) request->second.repeat_at = now + delay;
}

bool ScaleOutRequests::complete(const ScaleOut& rent, size_t rented, Seconds now) {
  if (open_.erase(rent.request) == 0) return false;
  Refusals& refusals = refusals_[{rent.type, rent.zone, rent.spot}];
  if (static_cast<int>(rented) >= rent.count) {
    refusals.in_a_row = 0;
    return true;
  }
  refusals.until = now + kFirstBackOff * (1 << std::min(refusals.in_a_row, kMostDoublings));
  ++refusals.in_a_row;
  return true;
}

bool ScaleOutRequests::backing_off(const OfferingKey& offering, Seconds now) const {
  const auto refusals = refusals_.find(offering);
  return refusals != refusals_.end() && now < refusals->second.until;
}

}  // namespace sumacquay
