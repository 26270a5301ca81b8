#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/actions.h"
#include "jobs/spec.h"

namespace sumacquay {

/// Identifies an offering of the cloud: a machine type in a zone, on demand or as spot.
struct OfferingKey {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const OfferingKey&) const = default;
};

/// Tracks the requests to the cloud for machines: names them, retries those whose outcome is
/// unknown, and backs off from offerings that the cloud has refused.
class ScaleOutRequests {
 public:
  explicit ScaleOutRequests(uint64_t term) : term_(term) {}

  /// Creates a request with a name that no leader uses again. It is in flight until `complete`.
  ScaleOut create(const OfferingKey& offering, int count);
  /// Whether any request is in flight, so that the number of its machines is not known yet.
  bool any_in_flight() const { return !in_flight_.empty(); }
  /// Returns the requests whose retry is due, each once per call of `retry_after`.
  std::vector<ScaleOut> due_for_retry(Seconds now);
  /// Schedules a retry of a request whose outcome is unknown. The name stays the same, so the retry
  /// allocates no further machines if the request was already carried out.
  void retry_after(const ScaleOut& request, Seconds now, Seconds delay);
  /// Completes a request with the number of machines that the cloud granted, 0 if it refused. Fewer
  /// machines than requested count as a refusal; each consecutive refusal of an offering doubles
  /// its backoff, up to a limit. Returns false if the request is not in flight.
  bool complete(const ScaleOut& request, size_t granted, Seconds now);
  /// Whether the offering is in backoff after a refusal.
  bool backing_off(const OfferingKey& offering, Seconds now) const;

 private:
  /// A request without a final answer.
  struct OpenRequest {
    ScaleOut request;
    std::optional<Seconds> retry_at;  ///< none: a response is awaited
  };
  /// The consecutive refusals of an offering and the end of its backoff.
  struct Refusals {
    Seconds until = 0;
    int consecutive = 0;
  };
  uint64_t term_;
  uint64_t next_number_ = 1;
  std::map<std::string, OpenRequest> in_flight_;  ///< by name
  std::map<OfferingKey, Refusals> refusals_;
};

}  // namespace sumacquay
