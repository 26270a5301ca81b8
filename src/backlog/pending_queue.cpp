#include "backlog/pending_queue.h"

#include <algorithm>

namespace sumacquay {

void PendingQueue::put(const std::string& name, size_t priority) {
  const auto queued = entries_.find(name);
  if (queued != entries_.end()) {
    if (queued->second.priority == priority) return;
    queues_[queued->second.priority].erase(queued->second.position);
    entries_.erase(queued);
  }
  NameList& queue = queues_[priority];
  queue.push_back(name);
  entries_[name] = {priority, std::prev(queue.end())};
}

std::optional<std::string> PendingQueue::pop() {
  auto* const queue = std::find_if(queues_.begin(), queues_.end(),
                                   [](const NameList& names) { return !names.empty(); });
  if (queue == queues_.end()) return std::nullopt;
  std::string name = std::move(queue->front());
  queue->pop_front();
  entries_.erase(name);
  return name;
}

}  // namespace sumacquay
