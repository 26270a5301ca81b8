#include "store/load_generation.h"

#include <chrono>
#include <memory>
#include <utility>

namespace sumacquay {

HttpCallback LoadGeneration::unless_reloaded(std::function<void(const HttpResult&)> done) const {
  return [this, generation = current_, done = std::move(done)](const HttpResult& result) {
    if (generation == current_) done(result);
  };
}

void LoadGeneration::schedule_unless_reloaded(double delay_s, std::function<void()> action) {
  schedule(delay_s, [this, generation = current_, action = std::move(action)] {
    if (generation == current_) action();
  });
}

void LoadGeneration::schedule(double delay_s, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(
      io_, std::chrono::microseconds(static_cast<long long>(delay_s * 1e6)));
  timer->async_wait([timer, action = std::move(action)](auto error) {
    if (!error) action();
  });
}

}  // namespace sumacquay
