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

/// What can be requested: a machine type in a zone, on demand or as spot.
struct OfferingKey {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const OfferingKey&) const = default;
};

/// The requests to the cloud for machines: names them, repeats those whose outcome is unknown, and
/// backs off from offers that the cloud refused.
class ScaleOutRequests {
 public:
  explicit ScaleOutRequests(uint64_t term) : term_(term) {}

  /// A new request, under a name that no leader uses again; it is open until it is settled.
  ScaleOut open(const OfferingKey& offering, int count);
  /// Whether any request is open: what it brings is not known yet.
  bool any_in_flight() const { return !open_.empty(); }
  /// Open requests that are to be sent again by now. Each is returned once.
  std::vector<ScaleOut> due_for_retry(Seconds now);
  /// The outcome is unknown: sent again after `delay`, under the same name, so that it rents
  /// nothing more if it was carried out.
  void retry_after(const ScaleOut& rent, Seconds now, Seconds delay);
  /// The cloud has answered with so many machines, none if it refused. False if the request is not
  /// open. Fewer than were asked for count as a refusal, each in a row of them for twice as long.
  bool complete(const ScaleOut& rent, size_t rented, Seconds now);
  /// Whether the cloud refused this not long ago.
  bool backing_off(const OfferingKey& offering, Seconds now) const;

 private:
  /// A request without a final answer.
  struct OpenRequest {
    ScaleOut rent;
    std::optional<Seconds> repeat_at;  ///< none: an answer is awaited
  };
  /// How often in a row the cloud has refused an offering.
  struct Refusals {
    Seconds until = 0;
    int in_a_row = 0;
  };
  uint64_t term_;
  uint64_t next_number_ = 1;
  std::map<std::string, OpenRequest> open_;  ///< by name
  std::map<OfferingKey, Refusals> refusals_;
};

}  // namespace sumacquay
