#pragma once
#include <functional>
#include <map>

#include "jobs/spec.h"

namespace sumacquay::simulation {

/// Virtual time and scheduled events. Events due at the same time run in the order in which they
/// were scheduled.
class EventLoop {
 public:
  using Event = std::function<void()>;

  Seconds now() const { return now_; }
  void schedule(Seconds delay, Event event);
  /// Advances the time without running events.
  void advance(Seconds step) { now_ += step; }
  /// Runs all due events, including events that they schedule without delay.
  void run_due();

 private:
  Seconds now_ = 100;
  std::multimap<Seconds, Event> events_;
};

}  // namespace sumacquay::simulation
