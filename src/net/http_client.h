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

/// HTTP/1.1 client over Asio, for workers, the cloud, the key-value store and other nodes. It knows
/// nothing of what the bodies mean.
namespace sumacquay {

/// Called with what became of a request.
using HttpDone = std::function<void(HttpResult)>;

/// A client for one address with a bounded pool of connections and a bounded queue. Requests that
/// find no free connection wait in the order in which they came.
class HttpClient {
 public:
  HttpClient(asio::io_context& io, Endpoint to, size_t max_connections, size_t max_queued);
  /// Closes all connections. Requests in progress are dropped without a callback.
  ~HttpClient();

  /// Calls `done` exactly once, never from inside this call, and at the latest when the deadline
  /// has passed, which counts from now; but not once the client is gone.
  void request(const std::string& method, const std::string& target, const std::string& body,
               double deadline_s, HttpDone done);

  /// Requests without an answer, those that are queued included.
  size_t in_progress() const { return busy_.size() + queue_.size(); }

 private:
  class Connection;
  struct PendingRequest;
  using Clock = std::chrono::steady_clock;
  void wake_by(Clock::time_point deadline);
  void expire_overdue();
  std::vector<std::shared_ptr<PendingRequest>> requests_in_progress() const;
  void expire(const std::shared_ptr<PendingRequest>& request);
  void start_next();
  std::shared_ptr<Connection> acquire_connection();
  void release(const std::shared_ptr<Connection>& connection, bool reusable);

  asio::io_context& io_;
  Endpoint to_;
  size_t max_connections_;
  size_t max_queued_;
  std::deque<std::shared_ptr<PendingRequest>> queue_;
  std::deque<std::shared_ptr<Connection>> idle_;  ///< the one used last is at the back
  std::unordered_set<std::shared_ptr<Connection>> busy_;
  asio::steady_timer deadline_timer_;
  std::optional<Clock::time_point> wakes_at_;  ///< no later than the first deadline
  /// Lets callbacks that run later see whether this client still exists.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumacquay
