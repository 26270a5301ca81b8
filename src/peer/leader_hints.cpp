#include "peer/leader_hints.h"

namespace sumacquay {

void LeaderHints::take(const wire::PeerHeartbeat& heartbeat) {
  if (heartbeat.fragment) return receive_fragment(heartbeat, *heartbeat.fragment);
  if (heartbeat.part != wire::PeerHeartbeatPart::StatusOnly)
    apply_fragments(heartbeat.part, {&heartbeat});
}

void LeaderHints::receive_fragment(const wire::PeerHeartbeat& heartbeat,
                                   const wire::PeerHeartbeatFragment& fragment) {
  if (fragment.part == wire::PeerHeartbeatPart::StatusOnly ||
      fragment.fragments > kMaxPeerHeartbeatFragments)
    return;
  Batch& batch = batches_[fragment.part];
  const std::pair<uint64_t, uint64_t> term_and_batch{heartbeat.term, fragment.batch};
  if (term_and_batch < batch.term_and_batch) return;
  if (term_and_batch > batch.term_and_batch) {
    if (!batch.received.empty()) apply_batch(fragment.part, batch);
    batch = {term_and_batch, fragment.fragments, {}, false};
  }
  if (fragment.fragments != batch.fragments || batch.applied) return;
  batch.received.emplace(fragment.index, heartbeat);
  if (batch.complete()) apply_batch(fragment.part, batch);
}

/// Applies the received fragments of the batch and releases them.
void LeaderHints::apply_batch(wire::PeerHeartbeatPart part, Batch& batch) {
  std::vector<const wire::PeerHeartbeat*> fragments;
  for (const auto& [index, heartbeat] : batch.received) fragments.push_back(&heartbeat);
  apply_fragments(part, fragments);
  batch.received.clear();
  batch.applied = true;
}

void LeaderHints::apply_fragments(wire::PeerHeartbeatPart part,
                                  const std::vector<const wire::PeerHeartbeat*>& fragments) {
  if (part == wire::PeerHeartbeatPart::Counts) {
    counts_.clear();
    for (const auto* heartbeat : fragments)
      for (const auto& count : heartbeat->counts) counts_[count.job] = count;
    return;
  }
  images_.clear();
  booting_.clear();
  for (const auto* heartbeat : fragments) {
    images_.insert(images_.end(), heartbeat->images.begin(), heartbeat->images.end());
    booting_.insert(booting_.end(), heartbeat->booting.begin(), heartbeat->booting.end());
  }
  hints_received_at_ = Clock::now();
}

wire::JobProgress LeaderHints::counts(const std::string& job) const {
  const auto it = counts_.find(job);
  return it == counts_.end() ? wire::JobProgress{job, 0, 0} : it->second;
}

std::vector<ListedMachine> LeaderHints::booting() const {
  const double age = std::chrono::duration<double>(Clock::now() - hints_received_at_).count();
  auto machines = booting_;
  for (auto& machine : machines) machine.age_s += age;
  return machines;
}

}  // namespace sumacquay
