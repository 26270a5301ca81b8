#pragma once
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wire/peer_heartbeat.h"

/// What the leader tells beside its term: counts for users, and hints for a successor. Kept by
/// `PeerHeartbeats` on every node. Nothing that safety needs rests on it.
namespace sumacquay {

/// Pieces of a batch that are sent and kept: each has up to 64 KiB.
inline constexpr size_t kMaxPeerHeartbeatFragments = 256;

/// Takes in heartbeats of leaders. What comes in several fragments is shown once all have come, in
/// any order; if one is lost, what has come of them is shown as soon as the next batch begins.
class LeaderHints {
 public:
  using Clock = std::chrono::steady_clock;

  void take(const wire::PeerHeartbeat& heartbeat);

  wire::JobProgress counts(const std::string& job) const;
  const std::vector<wire::CachedImageHint>& images() const { return images_; }
  /// Machines that were rented and not heard yet, their ages as of now.
  std::vector<ListedMachine> booting() const;

 private:
  /// The fragments of one batch that have come.
  struct Batch {
    std::pair<uint64_t, uint64_t> term_and_number{0, 0};
    uint64_t fragments = 0;
    std::map<uint64_t, wire::PeerHeartbeat> come;  ///< by index
    bool applied = false;                          ///< late fragments and repeats are of no use
    bool complete() const { return come.size() == fragments; }
  };

  void receive_fragment(const wire::PeerHeartbeat& heartbeat,
                        const wire::PeerHeartbeatFragment& fragment);
  void show(wire::PeerHeartbeatPart part, Batch& batch);
  void show(wire::PeerHeartbeatPart part, const std::vector<const wire::PeerHeartbeat*>& fragments);

  std::map<wire::PeerHeartbeatPart, Batch> batches_;
  std::map<std::string, wire::JobProgress> counts_;
  std::vector<wire::CachedImageHint> images_;
  std::vector<ListedMachine> booting_;
  Clock::time_point hints_heard_{};
};

}  // namespace sumacquay
