#pragma once
#include <array>
#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

/// The queue that the dispatch backlog is made of. It knows nothing of what its names stand for.
namespace sumacquay {

/// A queue of names with priorities, each name once. They leave by priority, and within one
/// priority in the order in which they came.
class PendingQueue {
 public:
  static constexpr size_t kPriorities = 4;

  /// Adds a name. `priority` is below kPriorities, and 0 is the most urgent. A name that is queued
  /// already keeps its place, unless it had another priority.
  void put(const std::string& name, size_t priority = 0);
  /// Removes and returns the next name; none: the queue is empty.
  std::optional<std::string> pop();
  bool empty() const { return places_.empty(); }
  size_t size() const { return places_.size(); }

 private:
  using Names = std::list<std::string>;
  /// Where an entry stands in the queue.
  struct Place {
    size_t priority = 0;
    Names::iterator position;
  };

  std::array<Names, kPriorities> names_;
  std::unordered_map<std::string, Place> places_;
};

}  // namespace sumacquay
