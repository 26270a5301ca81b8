#pragma once
#include <asio.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_set>

#include "config/settings.h"
#include "net/http_message.h"

/// HTTP/1.1 server over Asio for requests from users, workers and other controllers. Bodies are
/// opaque bytes.
namespace sumacquay {

/// Sends the response to one request. May be called after the handler has returned. Only the first
/// call, also among copies, has an effect.
using Respond = std::function<void(HttpReply)>;
using HttpHandler = std::function<void(const HttpRequest&, Respond)>;

/// Limits of one server. Every resource that a peer could exhaust is limited.
struct HttpLimits {
  size_t max_body_bytes = size_t{64} * 1024;
  size_t max_header_bytes = size_t{8} * 1024;
  size_t max_connections = 300;  ///< open connections of all kinds
  /// Part of `max_connections`, reserved for rejecting requests with 503 and Retry-After when all
  /// others are taken.
  size_t reserved_refusal_connections = 0;
  /// Above this number of open connections, a response closes its connection. More peers than
  /// connections are thus served in turn, and no request is lost, since the response announces the
  /// closing (`Connection: close`).
  size_t max_kept_alive = 300;
  // Timeouts, in seconds. A periodic sweep closes connections past them, late by up to a quarter of
  // the shorter timeout.
  double request_timeout_s = 5;  ///< to receive a whole request, or to send a response
  double idle_timeout_s = 120;   ///< between requests
  /// A connection that has been idle for longer may be closed to keep a recently used one open.
  double stale_after_s = 120;
};

/// Counts of a server's connections, for metrics.
struct ConnectionCounts {
  size_t open = 0;
  /// Closed after a response since the start, because more than `HttpLimits::max_kept_alive` were
  /// open.
  size_t closed_after_answer = 0;
  /// Refused since the start, with or without a response, because all connections were taken.
  size_t refused = 0;
};

/// Requests that a server has refused since the start because they exceed a size limit.
struct OversizedRequests {
  size_t count = 0;
  std::string latest_target;  ///< request target of the latest one, as far as it was received
  std::string latest_peer;    ///< IP address that the latest one came from
};

/// Serves one request at a time on each of a bounded number of keep-alive connections. A request
/// that exceeds a size limit gets status 413, one that is not valid HTTP status 400; then the
/// connection is closed. When all connections are taken, a new one is refused immediately rather
/// than queued until another closes.
class HttpServer {
 public:
  /// Starts to listen; throws std::system_error if the address can't be bound.
  HttpServer(asio::io_context& io, const Endpoint& listen_address, HttpLimits limits,
             HttpHandler handler);
  ~HttpServer();

  /// The port it listens on; if port 0 was requested, the one that the system chose.
  unsigned short port() const;

  /// Closes all open connections. The server still accepts new ones.
  void close_all();

  ConnectionCounts counts() const { return {connections_.size(), closed_after_answer_, refused_}; }
  const OversizedRequests& oversized_requests() const { return oversized_requests_; }

 private:
  class Connection;
  /// Idle connections that the server owns, the longest idle first.
  using IdleConnections = std::list<Connection*>;
  void accept();
  void retry_accept();
  void add_connection(asio::ip::tcp::socket socket);
  size_t max_served() const {
    return limits_.max_connections - limits_.reserved_refusal_connections;
  }
  bool may_stay_open();
  void close_longest_idle();
  void schedule_sweep();
  void sweep();

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  asio::steady_timer sweep_timer_;
  bool sweep_scheduled_ = false;  ///< whether `sweep_timer_` is scheduled
  HttpLimits limits_;
  HttpHandler handler_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  IdleConnections idle_;
  size_t closed_after_answer_ = 0;
  size_t refused_ = 0;
  OversizedRequests oversized_requests_;
};

}  // namespace sumacquay
