#pragma once
#include <asio.hpp>
#include <cstdint>
#include <functional>

#include "net/http_client.h"

namespace sumacquay {

/// Generation counter of the record cache's loads. Loading, watching and reading use it to drop
/// responses and timers that belong to an earlier load. Independent of what is loaded.
class LoadGeneration {
 public:
  explicit LoadGeneration(asio::io_context& io) : io_(io) {}

  uint64_t current() const { return current_; }
  /// Called only by RecordCache, when a load starts.
  void advance() { ++current_; }

  /// Wraps a callback so that it is dropped if a load starts before the response arrives.
  HttpCallback unless_reloaded(std::function<void(const HttpResult&)> done) const;

  /// Runs an action after a delay unless a load starts first. Never runs it from inside this call.
  void schedule_unless_reloaded(double delay_s, std::function<void()> action);
  /// Runs an action after a delay, even if a load starts first. Never runs it from inside this
  /// call.
  void schedule(double delay_s, std::function<void()> action);

 private:
  asio::io_context& io_;
  uint64_t current_ = 0;
};

}  // namespace sumacquay
