#include "peer/leader_details.h"

namespace sumacquay {

void LeaderDetails::take(const wire::Heartbeat& heartbeat) {
  if (heartbeat.piece) return take_piece(heartbeat, *heartbeat.piece);
  if (heartbeat.part != wire::HeartbeatPart::Beat) show(heartbeat.part, {&heartbeat});
}

void LeaderDetails::take_piece(const wire::Heartbeat& heartbeat,
                               const wire::HeartbeatPiece& piece) {
  if (piece.part == wire::HeartbeatPart::Beat || piece.pieces > kMostHeartbeatPieces) return;
  Batch& batch = batches_[piece.part];
  const std::pair<uint64_t, uint64_t> term_and_number{heartbeat.term, piece.batch};
  if (term_and_number < batch.term_and_number) return;
  if (term_and_number > batch.term_and_number) {
    if (!batch.come.empty()) show(piece.part, batch);
    batch = {term_and_number, piece.pieces, {}, false};
  }
  if (piece.pieces != batch.pieces || batch.shown) return;
  batch.come.emplace(piece.index, heartbeat);
  if (batch.complete()) show(piece.part, batch);
}

/// Shows what has come of the batch, and frees it.
void LeaderDetails::show(wire::HeartbeatPart part, Batch& batch) {
  std::vector<const wire::Heartbeat*> pieces;
  for (const auto& [index, heartbeat] : batch.come) pieces.push_back(&heartbeat);
  show(part, pieces);
  batch.come.clear();
  batch.shown = true;
}

void LeaderDetails::show(wire::HeartbeatPart part,
                         const std::vector<const wire::Heartbeat*>& pieces) {
  if (part == wire::HeartbeatPart::Counts) {
    counts_.clear();
    for (const auto* heartbeat : pieces)
      for (const auto& count : heartbeat->counts) counts_[count.job] = count;
    return;
  }
  images_.clear();
  booting_.clear();
  for (const auto* heartbeat : pieces) {
    images_.insert(images_.end(), heartbeat->images.begin(), heartbeat->images.end());
    booting_.insert(booting_.end(), heartbeat->booting.begin(), heartbeat->booting.end());
  }
  hints_heard_ = Clock::now();
}

wire::RunningCount LeaderDetails::counts(const std::string& job) const {
  const auto it = counts_.find(job);
  return it == counts_.end() ? wire::RunningCount{job, 0, 0} : it->second;
}

std::vector<ListedMachine> LeaderDetails::booting() const {
  const double age = std::chrono::duration<double>(Clock::now() - hints_heard_).count();
  auto machines = booting_;
  for (auto& machine : machines) machine.age_s += age;
  return machines;
}

}  // namespace sumacquay
