#pragma once
#include <cstdint>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace sumacquay {

/// Set of task numbers stored as ranges, which is compact for arrays whose tasks finish roughly in
/// order.
class TaskRangeSet {
 public:
  bool contains(uint32_t number) const {
    const auto after = ranges_.upper_bound(number);
    return after != ranges_.begin() && std::prev(after)->second > number;
  }

  /// Adds a number; returns whether it was missing.
  bool add(uint32_t number) {
    if (contains(number)) return false;
    uint32_t first = number;
    uint32_t last = number + 1;
    const auto next = ranges_.find(last);
    if (next != ranges_.end()) {
      last = next->second;
      ranges_.erase(next);
    }
    const auto after = ranges_.lower_bound(number);
    if (after != ranges_.begin() && std::prev(after)->second == number) {
      first = std::prev(after)->first;
      ranges_.erase(first);
    }
    ranges_[first] = last;
    ++count_;
    return true;
  }

  /// The smallest number not below `number` that is not in the set.
  uint32_t next_missing(uint32_t number) const {
    const auto after = ranges_.upper_bound(number);
    if (after != ranges_.begin() && std::prev(after)->second > number)
      return std::prev(after)->second;
    return number;
  }

  /// Number of elements.
  uint32_t count() const { return count_; }
  /// Number of ranges.
  size_t range_count() const { return ranges_.size(); }
  bool operator==(const TaskRangeSet& other) const { return ranges_ == other.ranges_; }

  /// A subset of at most `max_ranges` ranges. Ranges that contain numbers of `preferred` come
  /// first, so that a record of limited size loses no number that it already contains, then the
  /// lowest others.
  TaskRangeSet subset_of_ranges(size_t max_ranges, const TaskRangeSet& preferred) const {
    if (ranges_.size() <= max_ranges) return *this;
    TaskRangeSet out;
    for (const auto& [first, last] : preferred.ranges_) {
      if (out.ranges_.size() >= max_ranges) return out;
      if (contains(first)) out.insert_range(*std::prev(ranges_.upper_bound(first)));
    }
    for (const auto& range : ranges_) {
      if (out.ranges_.size() >= max_ranges) return out;
      out.insert_range(range);
    }
    return out;
  }

  /// Run-length encoding used in stored records: alternating lengths of gaps and ranges, starting
  /// at 0, two small integers for each range.
  std::vector<uint32_t> to_lengths() const {
    std::vector<uint32_t> out;
    uint32_t previous_end = 0;
    for (const auto& [first, last] : ranges_) {
      out.push_back(first - previous_end);
      out.push_back(last - first);
      previous_end = last;
    }
    return out;
  }

  /// Decodes the output of to_lengths() into `out`. Returns false and leaves `out` unchanged if the
  /// lengths are not a valid encoding of a set of numbers below `end`.
  static bool from_lengths(const std::vector<uint32_t>& lengths, uint32_t end, TaskRangeSet& out) {
    if (lengths.size() % 2) return false;
    uint64_t previous_end = 0;
    TaskRangeSet decoded;
    for (size_t i = 0; i < lengths.size(); i += 2) {
      const uint64_t first = previous_end + lengths[i];
      const uint64_t last = first + lengths[i + 1];
      if (last > end || lengths[i + 1] == 0 || (i > 0 && lengths[i] == 0)) return false;
      decoded.ranges_[static_cast<uint32_t>(first)] = static_cast<uint32_t>(last);
      decoded.count_ += lengths[i + 1];
      previous_end = last;
    }
    out = std::move(decoded);
    return true;
  }

 private:
  void insert_range(const std::pair<const uint32_t, uint32_t>& range) {
    if (ranges_.insert(range).second) count_ += range.second - range.first;
  }

  std::map<uint32_t, uint32_t> ranges_;  ///< first -> one past last; ranges are never adjacent
  uint32_t count_ = 0;
};

}  // namespace sumacquay
