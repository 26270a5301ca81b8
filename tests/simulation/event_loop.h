#pragma once
#include <functional>
#include <map>

#include "jobs/spec.h"

namespace sumacquay::simulation {

/// Virtual time and the events scheduled in it. Events due at the same time run in the command in
/// which they were scheduled.
class EventLoop {
 public:
  using Event = std::function<void()>;

  Seconds now() const { return now_; }
  void schedule(Seconds delay, Event event);
  /// Moves the time on without running anything.
  void advance(Seconds step) { now_ += step; }
  /// Runs all events that are due, including those that they schedule for now.
  void run_due();

 private:
  Seconds now_ = 100;
  std::multimap<Seconds, Event> events_;
};

}  // namespace sumacquay::simulation
