#include "simulation/event_loop.h"

#include <utility>

namespace sumacquay::simulation {

void EventLoop::schedule(Seconds delay, Event event) {
  events_.emplace(now_ + delay, std::move(event));
}

void EventLoop::run_due() {
  while (!events_.empty() && events_.begin()->first <= now_) {
    const Event event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
}

}  // namespace sumacquay::simulation
