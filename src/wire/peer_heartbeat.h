#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/worker_heartbeat.h"
#include "leadership/lease_delegation.h"

/// What controllers tell one another at a steady pace: who leads, and what a successor could use.
/// Safety rests on terms and delegations alone; the rest are hints. Controllers of two versions
/// talk to one another during an upgrade: fields may be added, and none may change its meaning. The
/// peers module calls it.
namespace sumacquay::wire {

namespace path {
inline constexpr const char* kPeerHeartbeat = "/heartbeat";
}  // namespace path

/// How far a job is, as users are told it.
struct JobProgress {
  std::string job;
  uint32_t done = 0, running = 0;
};

/// An image that a machine holds, as far as the leader can tell.
struct CachedImageHint {
  std::string machine, image;
  double gb = 0;
};

/// What a heartbeat says beside the status about terms. Together the parts of a large fleet would
/// take more than a body may.
enum class PeerHeartbeatPart { StatusOnly, Counts, Hints };

/// The place of a heartbeat among several that tell together what is too long for one body.
struct PeerHeartbeatFragment {
  uint64_t batch = 0;      ///< rises with each telling of the sender's process
  uint64_t index = 0;      ///< from 0
  uint64_t fragments = 1;  ///< of the batch
  PeerHeartbeatPart part = PeerHeartbeatPart::StatusOnly;  ///< what the batch tells
};

struct PeerHeartbeat {
  /// Of the fragments of a batch the first alone has its part, and the others are plain beats: a
  /// version that knows no fragments takes in the first one as if it were all.
  PeerHeartbeatPart part = PeerHeartbeatPart::StatusOnly;
  std::optional<PeerHeartbeatFragment> fragment;
  std::string node;
  uint64_t term = 0;
  bool leading = false;
  bool served = false;  ///< by the state service, not long ago
  DelegationStatus status;
  std::optional<Delegation> delegation;  ///< for whom this answers
  std::vector<JobProgress> counts;
  std::vector<CachedImageHint> images;  ///< by machine, each one's most recently used last
  std::vector<ListedMachine> booting;   ///< rented and not heard yet
};

std::string encode_peer_heartbeat(const PeerHeartbeat& heartbeat);

/// The same within a body's limit: in one fragment if it fits, else in as many as it takes. Each
/// has the status about terms; the lists are shared out in their order. `batch` numbers what is
/// told.
std::vector<std::string> encode_peer_heartbeat_fragments(const PeerHeartbeat& heartbeat,
                                                         uint64_t batch, size_t limit);

/// None if any part of it is invalid, except the delegation and its status: they read as missing.
std::optional<PeerHeartbeat> decode_peer_heartbeat(std::string_view body);

}  // namespace sumacquay::wire
