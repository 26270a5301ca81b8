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

/// The place of a heartbeat among several that tell together what is too long for one body.
struct HeartbeatPiece {
  uint64_t batch = 0;                        ///< rises with each telling of the sender's process
  uint64_t index = 0;                        ///< from 0
  uint64_t pieces = 1;                       ///< of the batch
  HeartbeatPart part = HeartbeatPart::Beat;  ///< what the batch tells
};

struct Heartbeat {
  /// Of the pieces of a batch the first alone has its part, and the others are plain beats: a
  /// version that knows no pieces takes in the first one as if it were all.
  HeartbeatPart part = HeartbeatPart::Beat;
  std::optional<HeartbeatPiece> piece;
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

/// The same within a body's limit: in one piece if it fits, else in as many as it takes. Each has
/// the status about terms; the lists are shared out in their order. `batch` numbers what is told.
std::vector<std::string> encode_heartbeat_pieces(const Heartbeat& heartbeat, uint64_t batch,
                                                 size_t limit);

/// None if any part of it is invalid, except the delegation and its status: they read as missing.
std::optional<Heartbeat> decode_heartbeat(std::string_view body);

}  // namespace sumacquay::wire
