#pragma once
#include <asio.hpp>
#include <cstdint>
#include <functional>

#include "net/http_client.h"

namespace sumacquay {

/// Counts the loads of the record cache. The steps of the cache (loading, watching, reading) use it
/// to drop answers and timers that belong to an earlier load. It knows nothing of records.
class LoadGeneration {
 public:
  explicit LoadGeneration(asio::io_context& io) : io_(io) {}

  uint64_t current() const { return current_; }
  /// To be called by the cache alone, when a load starts.
  void advance() { ++current_; }

  /// Wraps a callback so that it is not called if a load starts between now and the answer.
  HttpDone unless_reloaded(std::function<void(const HttpResult&)> done) const;

  /// Runs an action later, unless a load starts before. Never from inside this call.
  void schedule_unless_reloaded(double delay_s, std::function<void()> action);
  /// Runs an action later, whatever is loaded in the meantime. Never from inside this call.
  void schedule(double delay_s, std::function<void()> action);

 private:
  asio::io_context& io_;
  uint64_t current_ = 0;
};

}  // namespace sumacquay
