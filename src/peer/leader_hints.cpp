#include "peer/leader_hints.h"

namespace sumacquay {

void LeaderHints::take(const wire::PeerHeartbeat& heartbeat) {
  if (heartbeat.fragment) return receive_fragment(heartbeat, *heartbeat.fragment);
  if (heartbeat.part != wire::PeerHeartbeatPart::StatusOnly) show(heartbeat.part, {&heartbeat});
}

void LeaderHints::receive_fragment(const wire::PeerHeartbeat& heartbeat,
                                   const wire::PeerHeartbeatFragment& fragment) {
  if (fragment.part == wire::PeerHeartbeatPart::StatusOnly ||
      fragment.fragments > kMaxPeerHeartbeatFragments)
    return;
  Batch& batch = batches_[fragment.part];
  const std::pair<uint64_t, uint64_t> term_and_number{heartbeat.term, fragment.batch};
  if (term_and_number < batch.term_and_number) return;
  if (term_and_number > batch.term_and_number) {
    if (!batch.come.empty()) show(fragment.part, batch);
    batch = {term_and_number, fragment.fragments, {}, false};
  }
  if (fragment.fragments != batch.fragments || batch.applied) return;
  batch.come.emplace(fragment.index, heartbeat);
  if (batch.complete()) show(fragment.part, batch);
}

/// Applies the received fragments of the batch and releases them.
void LeaderHints::show(wire::PeerHeartbeatPart part, Batch& batch) {
  std::vector<const wire::PeerHeartbeat*> fragments;
  for (const auto& [index, heartbeat] : batch.come) fragments.push_back(&heartbeat);
  show(part, fragments);
  batch.come.clear();
  batch.applied = true;
}

void LeaderHints::show(wire::PeerHeartbeatPart part,
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
  hints_heard_ = Clock::now();
}

wire::JobProgress LeaderHints::counts(const std::string& job) const {
  const auto it = counts_.find(job);
  return it == counts_.end() ? wire::JobProgress{job, 0, 0} : it->second;
}

std::vector<ListedMachine> LeaderHints::booting() const {
  const double age = std::chrono::duration<double>(Clock::now() - hints_heard_).count();
  auto machines = booting_;
  for (auto& machine : machines) machine.age_s += age;
  return machines;
}

}  // namespace sumacquay
