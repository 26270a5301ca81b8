#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/worker_heartbeat.h"
#include "leadership/lease_delegation.h"

/// Heartbeats that controllers exchange periodically: who leads, and hints for a successor. Safety
/// depends only on terms and delegations; everything else is a hint. During an upgrade, controllers
/// of different versions exchange heartbeats: fields may be added, but must not change their
/// meaning. Called by the peer module.
namespace sumacquay::wire {

namespace path {
inline constexpr const char* kPeerHeartbeat = "/heartbeat";
}  // namespace path

/// Progress of a job as shown to users: the numbers of its done and running tasks.
struct JobProgress {
  std::string job;
  uint32_t done = 0, running = 0;
};

/// An image in a machine's cache, as last known to the leader.
struct CachedImageHint {
  std::string machine, image;
  double gb = 0;
};

/// Content of a heartbeat in addition to the term and the delegation status. For a large fleet, all
/// parts together would exceed the limit on the size of a body.
enum class PeerHeartbeatPart { StatusOnly, JobProgress, SuccessorHints };

/// Position of a heartbeat in a batch. A batch carries content that is too large for one body.
struct PeerHeartbeatFragment {
  uint64_t batch_number = 0;    ///< number of the batch; increases within the sender's process
  uint64_t index = 0;           ///< zero-based
  uint64_t fragment_count = 1;  ///< number of fragments in the batch
  PeerHeartbeatPart part = PeerHeartbeatPart::StatusOnly;  ///< content of the batch
};

/// Heartbeat from one controller to another: its term, and hints for a successor.
struct PeerHeartbeat {
  /// In a batch, only the first fragment has the batch's part; the others are StatusOnly. A version
  /// without support for fragments thus reads the first fragment as a complete heartbeat.
  PeerHeartbeatPart part = PeerHeartbeatPart::StatusOnly;
  std::optional<PeerHeartbeatFragment> fragment;
  std::string node;
  uint64_t term = 0;
  bool leading = false;
  bool store_reachable = false;  ///< the key-value store answered the sender recently
  DelegationStatus delegation_status;
  std::optional<Delegation> delegation;  ///< for the receiver; set only in responses
  std::vector<JobProgress> job_progress;
  std::vector<CachedImageHint> cached_images;   ///< grouped by machine; most recently used last
  std::vector<ListedMachine> booting_machines;  ///< provisioned machines without a heartbeat so far
};

std::string encode_peer_heartbeat(const PeerHeartbeat& heartbeat);

/// Encodes a heartbeat within the limit on the size of a body: in one body if it fits, otherwise in
/// as many fragments as needed. Each fragment carries the term and the delegation status; the lists
/// are split in order. `batch` is the number of the batch, see PeerHeartbeatFragment.
std::vector<std::string> encode_peer_heartbeat_fragments(const PeerHeartbeat& heartbeat,
                                                         uint64_t batch_number, size_t limit);

/// Returns none if any part is invalid, except for `store_reachable`, the status, the delegation
/// and the fragment, which read as missing then.
std::optional<PeerHeartbeat> decode_peer_heartbeat(std::string_view body);

}  // namespace sumacquay::wire
