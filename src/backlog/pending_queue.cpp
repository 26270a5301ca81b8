#include "backlog/pending_queue.h"

#include <algorithm>

namespace sumacquay {

void PendingQueue::put(const std::string& name, size_t priority) {
  const auto known = places_.find(name);
  if (known != places_.end()) {
    if (known->second.priority == priority) return;
    names_[known->second.priority].erase(known->second.at);
    places_.erase(known);
  }
  Names& names = names_[priority];
  names.push_back(name);
  places_[name] = {priority, std::prev(names.end())};
}

std::optional<std::string> PendingQueue::pop() {
  auto* const names =
      std::find_if(names_.begin(), names_.end(), [](const Names& n) { return !n.empty(); });
  if (names == names_.end()) return std::nullopt;
  std::string name = std::move(names->front());
  names->pop_front();
  places_.erase(name);
  return name;
}

}  // namespace sumacquay
