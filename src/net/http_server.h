#pragma once
#include <asio.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <unordered_set>

#include "config/settings.h"
#include "net/http_message.h"

/// HTTP/1.1 server over Asio, for users, workers and other nodes. It knows nothing of what the
/// bodies mean.
namespace sumacquay {

/// Answers one request; may be called later, and at most once. Copies share the one answer.
using Respond = std::function<void(HttpReply)>;
using HttpHandler = std::function<void(const HttpRequest&, Respond)>;

/// Limits of one server. Every resource that a peer could use up has one.
struct HttpLimits {
  size_t body_bytes = size_t{64} * 1024;
  size_t header_bytes = size_t{8} * 1024;
  size_t connections = 300;  ///< open at once, all together
  /// Of these, connections that only get a refusal: 503 with the time to come back.
  size_t refusals = 0;
  /// So many may stay open after an answer. Beyond them an answer closes its connection, so that
  /// more peers than connections are served in turn, and none loses a request to the closing.
  size_t kept_open = 300;
  // Connections past these are closed by a sweep, up to a quarter of the shorter one late.
  double request_s = 5;  ///< for one request to arrive whole
  double idle_s = 120;   ///< between requests
  /// Idle for longer than this, a connection is closed in favour of one that is used.
  double stale_s = 120;
};

/// Counts of a server's connections, for metrics.
struct ConnectionCounts {
  size_t open = 0;
  /// Closed with an answer, since the start, because more peers connected than can be kept.
  size_t closed_after_answer = 0;
  /// Refused, since the start, because all connections were taken, with an answer or without.
  size_t refused = 0;
};

/// Keeps connections alive, takes one request at a time on each, and is bounded everywhere. What is
/// over a limit is answered 413, and what isn't HTTP 400; then the connection is closed. A peer
/// that finds no place is refused at once, and never waits for others to leave.
class HttpServer {
 public:
  /// Listens at once; throws std::system_error if the address can't be bound.
  HttpServer(asio::io_context& io, const Endpoint& at, HttpLimits limits, HttpHandler handler);
  ~HttpServer();

  /// The port it listens on, also where the system chose one.
  unsigned short port() const;

  /// Closes all connections; new ones are accepted as before.
  void close_all();

  ConnectionCounts counts() const { return {connections_.size(), closed_after_answer_, refused_}; }

 private:
  class Connection;
  /// The longest idle first. Entries are connections that the server owns.
  using IdleConnections = std::list<Connection*>;
  void accept();
  void accept_later();
  void add_connection(asio::ip::tcp::socket socket);
  size_t max_served() const { return limits_.connections - limits_.refusals; }
  bool may_stay_open();
  void close_longest_idle();
  void sweep_later();
  void sweep();

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  asio::steady_timer sweep_timer_;
  bool sweeping_ = false;  ///< the timer runs, since there are connections
  HttpLimits limits_;
  HttpHandler handler_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  IdleConnections idle_;
  size_t closed_after_answer_ = 0;
  size_t refused_ = 0;
};

}  // namespace sumacquay
