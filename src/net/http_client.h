#pragma once
#include <asio.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "config/settings.h"
#include "net/http_message.h"

/// HTTP/1.1 client over Asio for requests to workers, the cloud, the key-value store and other
/// controllers. Bodies are opaque bytes.
namespace sumacquay {

/// Called with the outcome of a request.
using HttpCallback = std::function<void(HttpResult)>;

/// A client for one address, with a bounded connection pool and a bounded queue. Requests wait for
/// a free connection in first-in, first-out order.
class HttpClient {
 public:
  HttpClient(asio::io_context& io, Endpoint server, size_t max_connections, size_t max_queued);
  /// Closes all connections. Requests in progress are dropped without a callback.
  ~HttpClient();

  /// Calls `done` exactly once, never from inside this call, and at the latest `deadline_s` seconds
  /// from now. `done` is not called after the client is destroyed.
  void request(const std::string& method, const std::string& target, const std::string& body,
               double deadline_s, HttpCallback done);

  /// The number of unanswered requests, including queued ones.
  size_t in_progress() const { return busy_.size() + queue_.size(); }

 private:
  class Connection;
  struct PendingRequest;
  using Clock = std::chrono::steady_clock;
  void schedule_expiry(Clock::time_point deadline);
  void expire_overdue();
  std::vector<std::shared_ptr<PendingRequest>> requests_in_progress() const;
  void expire(const std::shared_ptr<PendingRequest>& request);
  void start_next();
  std::shared_ptr<Connection> acquire_connection();
  void release(const std::shared_ptr<Connection>& connection, bool reusable);

  asio::io_context& io_;
  Endpoint server_;
  size_t max_connections_;
  size_t max_queued_;
  std::deque<std::shared_ptr<PendingRequest>> queue_;
  std::deque<std::shared_ptr<Connection>> idle_;  ///< most recently used at the back
  std::unordered_set<std::shared_ptr<Connection>> busy_;
  asio::steady_timer deadline_timer_;
  std::optional<Clock::time_point> expiry_scheduled_at_;  ///< no later than the earliest deadline
  /// False after destruction; pending callbacks hold a copy and check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumacquay
