#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/report.h"
#include "leadership/delegation.h"

/// What controllers tell one another at a steady pace: who leads, and what a successor could use.
/// Safety rests on terms and delegations alone; the rest are hints. Controllers of two versions
/// talk to one another during an upgrade: fields may be added, and none may change its meaning. The
/// peers module calls it.
namespace sumacquay::wire {

namespace path {
inline constexpr const char* kHeartbeat = "/heartbeat";
}  // namespace path

/// How far a job is, as users are told it.
struct RunningCount {
  std::string job;
  uint32_t done = 0, running = 0;
};

/// An image that a machine holds, as far as the leader can tell.
struct HeldImage {
  std::string machine, image;
  double gb = 0;
};

/// What a heartbeat says beside the status about terms. Together the parts of a large fleet would
/// take more than a body may.
enum class HeartbeatPart { Beat, Counts, Hints };

struct Heartbeat {
  HeartbeatPart part = HeartbeatPart::Beat;
  std::string node;
  uint64_t term = 0;
  bool leading = false;
  bool served = false;  ///< by the state service, not long ago
  DelegateStatus status;
  std::optional<Delegation> delegation;  ///< for whom this answers
  std::vector<RunningCount> counts;
  std::vector<HeldImage> images;       ///< by machine, each one's most recently used last
  std::vector<ListedMachine> booting;  ///< rented and not heard yet
};

std::string encode_heartbeat(const Heartbeat& heartbeat);

/// The same within a body's limit: what is too much is left out, the status about terms never.
std::string encode_heartbeat_within(Heartbeat heartbeat, size_t limit);

/// None if any part of it is invalid, except the delegation and its status: they read as missing.
std::optional<Heartbeat> decode_heartbeat(std::string_view body);

}  // namespace sumacquay::wire
