#pragma once
#include <algorithm>

namespace sumacquay {

/// A limit on requests in progress that follows measured times: it grows while answers come about
/// as fast as they can, and shrinks when they take a multiple of that.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(double least, double most) : least_(least), most_(most), limit_(most / 2) {}

  bool enter() {
    if (in_progress_ >= limit_) return false;
    ++in_progress_;
    return true;
  }

  void leave(double seconds) {
    --in_progress_;
    // The fastest of late; it creeps up so that a lasting change becomes the new measure.
    best_ = best_ <= 0 ? seconds : std::min(best_ * 1.002, seconds);
    const double floor = std::max(best_, kFloor);
    if (seconds > kSlow * floor)
      limit_ = std::max(least_, limit_ * 0.98);
    else if (in_progress_ * 2 >= limit_)
      limit_ = std::min(most_, limit_ + 1);
  }

  double limit() const { return limit_; }
  int in_progress() const { return in_progress_; }

 private:
  static constexpr double kFloor = 0.02;  ///< seconds below which nothing counts as slow
  static constexpr double kSlow = 8;      ///< so many times the fastest is slow
  double least_, most_, limit_;
  double best_ = 0;
  int in_progress_ = 0;
};

}  // namespace sumacquay
