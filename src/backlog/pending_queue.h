#pragma once
#include <array>
#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

/// The queue of the dispatch backlog. Names are opaque to it.
namespace sumacquay {

/// A priority queue of unique names. Names leave it by priority, and names of the same priority in
/// the order in which they were added.
class PendingQueue {
 public:
  static constexpr size_t kPriorities = 4;

  /// Adds a name. `priority` is below kPriorities, and 0 is the most urgent. A name that is already
  /// queued keeps its position, unless its priority changes.
  void put(const std::string& name, size_t priority = 0);
  /// Removes and returns the next name; `nullopt` if the queue is empty.
  std::optional<std::string> pop();
  bool empty() const { return entries_.empty(); }
  size_t size() const { return entries_.size(); }

 private:
  using NameList = std::list<std::string>;
  /// The priority of a queued name and its position in the list of that priority.
  struct Entry {
    size_t priority = 0;
    NameList::iterator position;
  };

  std::array<NameList, kPriorities> queues_;
  std::unordered_map<std::string, Entry> entries_;
};

}  // namespace sumacquay
