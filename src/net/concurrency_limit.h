#pragma once
#include <algorithm>

/// Adaptive concurrency limiting, without I/O: the caller handles the requests and measures them.
namespace sumacquay {

/// A limit on requests in progress that adapts to the measured latency. It grows while latency
/// stays near the baseline, which is the lowest recent latency, and shrinks when latency is a
/// multiple of the baseline.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(double min_limit, double max_limit)
      : min_limit_(min_limit), max_limit_(max_limit), limit_(max_limit / 2) {}

  /// Counts one more request. Returns false if the limit is reached; the request must then be
  /// rejected.
  [[nodiscard]] bool try_acquire() {
    if (in_progress_ >= limit_) return false;
    ++in_progress_;
    return true;
  }

  /// Counts a request as completed, with the latency measured.
  void release(double latency_s) {
    --in_progress_;
    // The minimum grows by 0.2 % per request, so that a lasting rise in latency becomes the new
    // baseline.
    min_latency_s_ = min_latency_s_ <= 0 ? latency_s : std::min(min_latency_s_ * 1.002, latency_s);
    const double baseline_s = std::max(min_latency_s_, kMinBaselineSeconds);
    if (latency_s > kSlowLatencyRatio * baseline_s)
      limit_ = std::max(min_limit_, limit_ * 0.98);
    else if (in_progress_ * 2 >= limit_)
      limit_ = std::min(max_limit_, limit_ + 1);
  }

  double limit() const { return limit_; }
  int in_progress() const { return in_progress_; }

 private:
  static constexpr double kMinBaselineSeconds = 0.02;  ///< lower bound of the baseline
  static constexpr double kSlowLatencyRatio = 8;       ///< latency above this multiple is slow

  double min_limit_;
  double max_limit_;
  double limit_;
  double min_latency_s_ = 0;
  int in_progress_ = 0;
};

}  // namespace sumacquay
