#pragma once
#include <array>
#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace sumacquay {

/// Names that wait for something to be done about them, each once. They leave by urgency, the most
/// urgent first, and within one urgency in the order in which they came.
class PendingQueue {
 public:
  static constexpr size_t kPriorities = 4;

  /// Puts a name in; `priority`: 0 is the most urgent. One that waits already keeps its place,
  /// unless its urgency is another now.
  void put(const std::string& name, size_t priority = 0);
  /// Takes the next name out; none: the queue is empty.
  std::optional<std::string> pop();
  bool empty() const { return places_.empty(); }
  size_t size() const { return places_.size(); }

 private:
  using Names = std::list<std::string>;
  struct Place {
    size_t priority = 0;
    Names::iterator at;
  };

  std::array<Names, kPriorities> names_;
  std::unordered_map<std::string, Place> places_;
};

}  // namespace sumacquay
