#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/worker_heartbeat.h"
#include "leadership/lease_delegation.h"

/// The heartbeats that controllers send one another periodically: who leads, and what a successor
/// could use. Safety rests on terms and delegations alone; the rest are hints. Controllers of two
/// versions exchange them during an upgrade: fields may be added, and none may change its meaning.
/// The peer module calls it.
namespace sumacquay::wire {

namespace path {
inline constexpr const char* kPeerHeartbeat = "/heartbeat";
}  // namespace path

/// A job's progress as users see it: how many of its tasks are done, and how many run.
struct JobProgress {
  std::string job;
  uint32_t done = 0, running = 0;
};

/// An image that a machine has in its cache, as far as the leader knows.
struct CachedImageHint {
  std::string machine, image;
  double gb = 0;
};

/// What a heartbeat carries besides the status about terms. Together the parts of a large fleet
/// would exceed the limit on a body.
enum class PeerHeartbeatPart { StatusOnly, Counts, Hints };

/// The place of a heartbeat in a batch, which carries what is too long for one body.
struct PeerHeartbeatFragment {
  uint64_t batch = 0;      ///< increases with each batch of the sender's process
  uint64_t index = 0;      ///< from 0
  uint64_t fragments = 1;  ///< of the batch
  PeerHeartbeatPart part = PeerHeartbeatPart::StatusOnly;  ///< what the batch carries
};

/// What one controller says to another: its term, and hints for a successor.
struct PeerHeartbeat {
  /// Of the fragments of a batch the first alone has the batch's part, and the others are
  /// StatusOnly: a version that knows no fragments reads the first one as if it were the whole.
  PeerHeartbeatPart part = PeerHeartbeatPart::StatusOnly;
  std::optional<PeerHeartbeatFragment> fragment;
  std::string node;
  uint64_t term = 0;
  bool leading = false;
  bool served = false;  ///< the key-value store answered the sender not long ago
  DelegationStatus status;
  std::optional<Delegation> delegation;  ///< for whom this answers
  std::vector<JobProgress> counts;
  std::vector<CachedImageHint> images;  ///< by machine, each machine's most recently used last
  std::vector<ListedMachine> booting;   ///< rented, and without a heartbeat so far
};

std::string encode_peer_heartbeat(const PeerHeartbeat& heartbeat);

/// The same within a body's limit: in one fragment if it fits, else in as many as it takes. Each
/// has the status about terms; the lists are split in their order. `batch`: see
/// PeerHeartbeatFragment.
std::vector<std::string> encode_peer_heartbeat_fragments(const PeerHeartbeat& heartbeat,
                                                         uint64_t batch, size_t limit);

/// None if any part of it is invalid, except the delegation and its status: they read as missing.
std::optional<PeerHeartbeat> decode_peer_heartbeat(std::string_view body);

}  // namespace sumacquay::wire
