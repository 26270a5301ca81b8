#pragma once
#include <cstdint>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace sumacquay {

/// A set of task numbers kept as ranges: small for arrays that finish roughly in order.
class Ranges {
 public:
  bool contains(uint32_t n) const {
    auto it = spans_.upper_bound(n);
    return it != spans_.begin() && std::prev(it)->second > n;
  }

  bool add(uint32_t n) {
    if (contains(n)) return false;
    uint32_t first = n;
    uint32_t last = n + 1;
    auto next = spans_.find(last);
    if (next != spans_.end()) {
      last = next->second;
      spans_.erase(next);
    }
    auto before = spans_.lower_bound(n);
    if (before != spans_.begin() && std::prev(before)->second == n) {
      first = std::prev(before)->first;
      spans_.erase(first);
    }
    spans_[first] = last;
    ++count_;
    return true;
  }

  /// The first number from n on that is not in the set.
  uint32_t next_missing(uint32_t n) const {
    auto it = spans_.upper_bound(n);
    if (it != spans_.begin() && std::prev(it)->second > n) return std::prev(it)->second;
    return n;
  }

  uint32_t count() const { return count_; }
  size_t spans() const { return spans_.size(); }
  bool operator==(const Ranges& o) const { return spans_ == o.spans_; }

  /// At most so many spans of the set: those that hold numbers of `kept` go first, so that a record
  /// of limited size loses nothing that it holds already, then the first of the others.
  Ranges first_spans(size_t most, const Ranges& kept) const {
    if (spans_.size() <= most) return *this;
    Ranges out;
    for (const auto& [first, last] : kept.spans_) {
      if (out.spans_.size() >= most) return out;
      if (contains(first)) out.insert_span(*std::prev(spans_.upper_bound(first)));
    }
    for (const auto& span : spans_) {
      if (out.spans_.size() >= most) return out;
      out.insert_span(span);
    }
    return out;
  }

  /// Alternating lengths of gap and run from 0 on: two small integers a span.
  std::vector<uint32_t> to_lengths() const {
    std::vector<uint32_t> out;
    uint32_t at = 0;
    for (const auto& [first, last] : spans_) {
      out.push_back(first - at);
      out.push_back(last - first);
      at = last;
    }
    return out;
  }

  static bool from_lengths(const std::vector<uint32_t>& lengths, uint32_t most, Ranges& out) {
    if (lengths.size() % 2) return false;
    uint64_t at = 0;
    Ranges r;
    for (size_t i = 0; i < lengths.size(); i += 2) {
      const uint64_t first = at + lengths[i];
      const uint64_t last = first + lengths[i + 1];
      if (last > most || lengths[i + 1] == 0 || (i > 0 && lengths[i] == 0)) return false;
      r.spans_[static_cast<uint32_t>(first)] = static_cast<uint32_t>(last);
      r.count_ += lengths[i + 1];
      at = last;
    }
    out = std::move(r);
    return true;
  }

 private:
  void insert_span(const std::pair<const uint32_t, uint32_t>& span) {
    if (spans_.insert(span).second) count_ += span.second - span.first;
  }

  std::map<uint32_t, uint32_t> spans_;  ///< first -> one past last; never touching
  uint32_t count_ = 0;
};

}  // namespace sumacquay
