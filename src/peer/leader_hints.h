#pragma once
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wire/peer_heartbeat.h"

/// The leader's hints in peer heartbeats: job progress for users, and cached images and booting
/// machines for a successor. Kept by `PeerHeartbeats` on every node. Correctness does not depend on
/// them.
namespace sumacquay {

/// Maximum number of fragments of a batch that are sent and kept; each has up to 64 KiB.
inline constexpr size_t kMaxPeerHeartbeatFragments = 256;

/// Holds the latest hints of the leader and reassembles those that are split into fragments.
///
/// A fragmented batch is applied once all its fragments have been received, in any order. If a
/// fragment is lost, the received ones are applied when a fragment of a newer batch arrives.
class LeaderHints {
 public:
  using Clock = std::chrono::steady_clock;

  /// Applies a heartbeat of the leader; fragments are kept until their batch is complete.
  void apply(const wire::PeerHeartbeat& heartbeat);

  /// The job's last reported progress; zeros if none was reported.
  wire::JobProgress job_progress(const std::string& job) const;
  const std::vector<wire::CachedImageHint>& images() const { return images_; }
  /// Machines that were requested and have not sent a heartbeat yet, with their current ages.
  std::vector<ListedMachine> booting() const;

 private:
  /// The received fragments of one batch.
  struct Batch {
    std::pair<uint64_t, uint64_t> term_and_batch{0, 0};
    uint64_t fragment_count = 0;
    std::map<uint64_t, wire::PeerHeartbeat> received;  ///< by index
    bool applied = false;                              ///< late and repeated fragments are ignored
    bool complete() const { return received.size() == fragment_count; }
  };

  void receive_fragment(const wire::PeerHeartbeat& heartbeat,
                        const wire::PeerHeartbeatFragment& fragment);
  void apply_batch(wire::PeerHeartbeatPart part, Batch& batch);
  void apply_fragments(wire::PeerHeartbeatPart part,
                       const std::vector<const wire::PeerHeartbeat*>& fragments);

  std::map<wire::PeerHeartbeatPart, Batch> batches_;
  std::map<std::string, wire::JobProgress> job_progress_;
  std::vector<wire::CachedImageHint> images_;
  std::vector<ListedMachine> booting_;
  Clock::time_point hints_received_at_{};
};

}  // namespace sumacquay
