#pragma once
#include <algorithm>

/// Adaptive concurrency. It only counts; the caller sends the requests and measures them.
namespace sumacquay {

/// A limit on requests in progress that adapts to the measured latency: it grows while answers come
/// about as fast as they ever do, and shrinks when they take a multiple of that.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(double min_limit, double max_limit)
      : min_limit_(min_limit), max_limit_(max_limit), limit_(max_limit / 2) {}

  /// Counts one more request; false, and it must not be sent, if there are too many.
  [[nodiscard]] bool enter() {
    if (in_progress_ >= limit_) return false;
    ++in_progress_;
    return true;
  }

  /// Counts a request as answered after so many seconds.
  void leave(double latency_s) {
    --in_progress_;
    // The fastest of late; it creeps up so that a lasting change becomes the new baseline.
    fastest_s_ = fastest_s_ <= 0 ? latency_s : std::min(fastest_s_ * 1.002, latency_s);
    const double baseline_s = std::max(fastest_s_, kMinBaselineSeconds);
    if (latency_s > kSlowFactor * baseline_s)
      limit_ = std::max(min_limit_, limit_ * 0.98);
    else if (in_progress_ * 2 >= limit_)
      limit_ = std::min(max_limit_, limit_ + 1);
  }

  double limit() const { return limit_; }
  int in_progress() const { return in_progress_; }

 private:
  static constexpr double kMinBaselineSeconds = 0.02;  ///< faster answers count as this fast
  static constexpr double kSlowFactor = 8;             ///< so many times the baseline is slow

  double min_limit_;
  double max_limit_;
  double limit_;
  double fastest_s_ = 0;
  int in_progress_ = 0;
};

}  // namespace sumacquay
