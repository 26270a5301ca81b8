#pragma once
#include <asio.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_set>

#include "config/settings.h"
#include "net/http_message.h"

/// HTTP/1.1 server over Asio, for users, workers and other controllers.
namespace sumacquay {

/// Answers one request; may be called later, and at most once. Copies share the one answer.
using Respond = std::function<void(HttpReply)>;
using HttpHandler = std::function<void(const HttpRequest&, Respond)>;

struct HttpLimits {
  size_t body_bytes = size_t{64} * 1024;
  size_t header_bytes = size_t{8} * 1024;
  size_t connections = 300;
  double request_s = 5;  ///< for one request to arrive whole
  double idle_s = 120;   ///< between requests
};

/// Keeps connections alive, takes one request at a time on each, and is bounded everywhere. What is
/// over a limit is answered 413, and what isn't HTTP 400; then the connection is closed.
class HttpServer {
 public:
  /// Listens at once; throws std::system_error if the address can't be bound.
  HttpServer(asio::io_context& io, const Endpoint& at, HttpLimits limits, HttpHandler handler);
  ~HttpServer();

  /// The port it listens on, also where the system chose one.
  unsigned short port() const;

  /// Closes all connections; new ones are accepted as before.
  void close_all();

 private:
  class Connection;
  void accept();
  void accept_later();
  void add_connection(asio::ip::tcp::socket socket);
  void close_idlest();

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  HttpLimits limits_;
  HttpHandler handler_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
};

}  // namespace sumacquay
