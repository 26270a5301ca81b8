#pragma once
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wire/heartbeat.h"

/// What the leader tells beside its term: counts for users, and hints for a successor. Kept by
/// `Peers` on every node. Nothing that safety needs rests on it.
namespace sumacquay {

/// Pieces of a batch that are sent and kept: each has up to 64 KiB.
inline constexpr size_t kMostHeartbeatPieces = 256;

/// Takes in heartbeats of leaders. What comes in several pieces is shown once all have come, in any
/// order; if one is lost, what has come of them is shown as soon as the next batch begins.
class LeaderDetails {
 public:
  using Clock = std::chrono::steady_clock;

  void take(const wire::Heartbeat& heartbeat);

  wire::RunningCount counts(const std::string& job) const;
  const std::vector<wire::HeldImage>& images() const { return images_; }
  /// Machines that were rented and not heard yet, their ages as of now.
  std::vector<ListedMachine> booting() const;

 private:
  /// The pieces of one batch that have come.
  struct Batch {
    std::pair<uint64_t, uint64_t> term_and_number{0, 0};
    uint64_t pieces = 0;
    std::map<uint64_t, wire::Heartbeat> come;  ///< by index
    bool shown = false;                        ///< late pieces and repeats are of no use
    bool complete() const { return come.size() == pieces; }
  };

  void take_piece(const wire::Heartbeat& heartbeat, const wire::HeartbeatPiece& piece);
  void show(wire::HeartbeatPart part, Batch& batch);
  void show(wire::HeartbeatPart part, const std::vector<const wire::Heartbeat*>& pieces);

  std::map<wire::HeartbeatPart, Batch> batches_;
  std::map<std::string, wire::RunningCount> counts_;
  std::vector<wire::HeldImage> images_;
  std::vector<ListedMachine> booting_;
  Clock::time_point hints_heard_{};
};

}  // namespace sumacquay
