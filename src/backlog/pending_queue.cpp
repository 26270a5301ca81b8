#include "backlog/pending_queue.h"

#include <algorithm>

namespace sumacquay {

void PendingQueue::put(const std::string& name, size_t priority) {
  const auto queued = places_.find(name);
  if (queued != places_.end()) {
    if (queued->second.priority == priority) return;
    names_[queued->second.priority].erase(queued->second.position);
    places_.erase(queued);
  }
  Names& names = names_[priority];
  names.push_back(name);
  places_[name] = {priority, std::prev(names.end())};
}

std::optional<std::string> PendingQueue::pop() {
  auto* const names = std::find_if(names_.begin(), names_.end(),
                                   [](const Names& waiting) { return !waiting.empty(); });
  if (names == names_.end()) return std::nullopt;
  std::string name = std::move(names->front());
  names->pop_front();
  places_.erase(name);
  return name;
}

}  // namespace sumacquay
