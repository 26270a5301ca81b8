#include "peer/leader_hints.h"

namespace sumacquay {

void LeaderHints::apply(const wire::PeerHeartbeat& heartbeat) {
  if (heartbeat.fragment) return receive_fragment(heartbeat, *heartbeat.fragment);
  if (heartbeat.part != wire::PeerHeartbeatPart::StatusOnly)
    apply_fragments(heartbeat.part, {&heartbeat});
}

void LeaderHints::receive_fragment(const wire::PeerHeartbeat& heartbeat,
                                   const wire::PeerHeartbeatFragment& fragment) {
  if (fragment.part == wire::PeerHeartbeatPart::StatusOnly ||
      fragment.fragment_count > kMaxPeerHeartbeatFragments)
    return;
  Batch& batch = batches_[fragment.part];
  const std::pair<uint64_t, uint64_t> term_and_batch{heartbeat.term, fragment.batch_number};
  if (term_and_batch < batch.term_and_batch) return;
  if (term_and_batch > batch.term_and_batch) {
    if (!batch.received.empty()) apply_batch(fragment.part, batch);
    batch = {term_and_batch, fragment.fragment_count, {}, false};
  }
  if (fragment.fragment_count != batch.fragment_count || batch.applied) return;
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
  if (part == wire::PeerHeartbeatPart::JobProgress) {
    job_progress_.clear();
    for (const auto* heartbeat : fragments)
      for (const auto& count : heartbeat->job_progress) job_progress_[count.job] = count;
    return;
  }
  images_.clear();
  booting_.clear();
  for (const auto* heartbeat : fragments) {
    images_.insert(images_.end(), heartbeat->cached_images.begin(), heartbeat->cached_images.end());
    booting_.insert(booting_.end(), heartbeat->booting_machines.begin(),
                    heartbeat->booting_machines.end());
  }
  hints_received_at_ = Clock::now();
}

wire::JobProgress LeaderHints::job_progress(const std::string& job) const {
  const auto it = job_progress_.find(job);
  return it == job_progress_.end() ? wire::JobProgress{job, 0, 0} : it->second;
}

std::vector<ListedMachine> LeaderHints::booting() const {
  const double age = std::chrono::duration<double>(Clock::now() - hints_received_at_).count();
  auto machines = booting_;
  for (auto& machine : machines) machine.age_s += age;
  return machines;
}

}  // namespace sumacquay
