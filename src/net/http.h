#pragma once
#include <asio.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "config/settings.h"

namespace sumacquay {

struct HttpRequest {
  std::string method;
  std::string path;   ///< without the query
  std::string query;  ///< what follows the question mark
  std::string body;
};

struct HttpReply {
  int status = 500;
  std::string body;
  int retry_after_s = 0;  ///< 0: no such header
};

/// Answers one request; may be called later, and at most once. Copies share the one answer.
using Respond = std::function<void(HttpReply)>;
using HttpHandler = std::function<void(const HttpRequest&, Respond)>;

struct HttpLimits {
  size_t body_bytes = 64 * 1024;
  size_t header_bytes = 8 * 1024;
  size_t connections = 300;
  double request_s = 5;  ///< for one request to arrive whole
  double idle_s = 120;   ///< between requests
};

/// HTTP/1.1 server: keep-alive, one request at a time on a connection, bounded everywhere.
class HttpServer {
 public:
  HttpServer(asio::io_context& io, const Endpoint& at, HttpLimits limits, HttpHandler handler);
  ~HttpServer();
  unsigned short port() const;
  void close_all();

 private:
  class Connection;
  void accept();
  void close_idlest();
  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  HttpLimits limits_;
  HttpHandler handler_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
};

struct HttpResult {
  bool answered = false;  ///< false: the request may have been executed, or may still be
  int status = 0;
  std::string body;
  bool ok() const { return answered && status == 200; }
};

using HttpDone = std::function<void(HttpResult)>;

/// HTTP/1.1 client for one address with a bounded pool and a bounded queue.
class HttpClient {
 public:
  HttpClient(asio::io_context& io, Endpoint to, size_t max_connections, size_t max_queued);
  ~HttpClient();
  /// Calls `done` exactly once, never from inside this call.
  void request(const std::string& method, const std::string& target, std::string body,
               double deadline_s, HttpDone done);
  size_t in_progress() const { return busy_.size() + queue_.size(); }

 private:
  class Connection;
  struct Job;
  void start_next();
  void finished(const std::shared_ptr<Connection>& connection, bool reusable);
  asio::io_context& io_;
  Endpoint to_;
  size_t max_connections_;
  size_t max_queued_;
  std::deque<std::shared_ptr<Job>> queue_;
  std::deque<std::shared_ptr<Connection>> idle_;
  std::unordered_set<std::shared_ptr<Connection>> busy_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumacquay
