#include "net/http_server.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "net/asio_conversions.h"
#include "net/http_parsing.h"
#include "net/immediate_write.h"

namespace sumacquay {
namespace {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr size_t kChunkBytes = 2048;
constexpr std::chrono::milliseconds kAcceptRetry{50};
/// The pause between two checks for connections past their deadlines / the shortest deadline.
constexpr double kSweepShare = 0.25;

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kUnavailable = 503;
/// After how long a refused peer is asked to come back.
constexpr int kRetryAfterSeconds = 1;

}  // namespace

/// One connection. It goes from Idle over Reading and Handling to Writing and back, until it is
/// closed by its peer, at its deadline, or by the server.
class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection> {
 public:
  /// What becomes of the requests of a connection.
  enum class Service { Handled, Refused };

  Connection(HttpServer& server, tcp::socket socket, Service service)
      : server_(&server),
        service_(service),
        socket_(std::move(socket)),
        parser_({server.limits_.header_bytes, server.limits_.body_bytes}) {}

  void start() {
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    wait_for_request();
  }

  void close() {
    if (state_ == State::Closed) return;
    enter(State::Closed);
    asio::error_code ignored;
    socket_.close(ignored);
    if (server_) server_->connections_.erase(shared_from_this());
  }

  void detach_from_server() {
    server_ = nullptr;
    idle_entry_.reset();
  }

  bool overdue(Clock::time_point now) const { return now > deadline_; }

  /// For how long there has been no request. Only while it is idle.
  double idle_for_s() const {
    return std::chrono::duration<double>(Clock::now() - idle_since_).count();
  }

 private:
  enum class State {
    Idle,      ///< nothing of the next request has come
    Reading,   ///< a part of it has
    Handling,  ///< the handler has it
    Writing,   ///< the reply goes out
    Closed,
  };

  /// The only place that changes the state, and with it the server's list of idle connections.
  void enter(State next) {
    if (idle_entry_) server_->idle_.erase(*idle_entry_);
    idle_entry_.reset();
    state_ = next;
    if (next != State::Idle || service_ == Service::Refused) return;
    idle_since_ = Clock::now();
    idle_entry_ = server_->idle_.insert(server_->idle_.end(), this);
  }

  void wait_for_request() {
    enter(State::Idle);
    const HttpLimits& limits = server_->limits_;
    close_after(service_ == Service::Handled ? limits.idle_s : limits.request_s);
    read();
  }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](auto error, size_t size) {
                              if (error || self->state_ == State::Closed || !self->server_)
                                return self->close();
                              self->consume(size);
                            });
  }

  /// The server's next sweep past this deadline closes the connection.
  void close_after(double seconds) { deadline_ = Clock::now() + to_milliseconds(seconds); }

  void consume(size_t size) {
    if (state_ == State::Idle) begin_request();
    switch (parser_.parse({chunk_.data(), size})) {
      case ParseProgress::Incomplete:
        return read();
      case ParseProgress::Complete:
        return handle();
      case ParseProgress::TooLarge:
        return refuse(kPayloadTooLarge);
      case ParseProgress::Invalid:
        return refuse(kBadRequest);
    }
  }

  /// The time for a whole request counts from its first byte, so a dribbling sender can't hold a
  /// socket for ever.
  void begin_request() {
    enter(State::Reading);
    close_after(server_->limits_.request_s);
  }

  void handle() {
    if (service_ == Service::Refused) return refuse(kUnavailable, kRetryAfterSeconds);
    enter(State::Handling);
    deadline_ = Clock::time_point::max();
    const HttpRequest request = parser_.take_request();
    auto answered = std::make_shared<bool>(false);
    server_->handler_(request, [weak = weak_from_this(), answered](const HttpReply& reply) {
      if (*answered) return;
      *answered = true;
      if (auto self = weak.lock()) self->write(reply, self->parser_.keep_alive());
    });
  }

  void refuse(int status, int retry_after_s = 0) {
    write(HttpReply{status, {}, retry_after_s}, KeepAlive::No);
  }

  void write(const HttpReply& reply, KeepAlive requested) {
    if (state_ == State::Closed) return;
    enter(State::Writing);
    if (!server_) return close();
    const bool stays_open = requested == KeepAlive::Yes && server_->may_stay_open();
    const KeepAlive keep_alive = stays_open ? KeepAlive::Yes : KeepAlive::No;
    out_ = serialize_reply(reply, keep_alive);
    close_after(server_->limits_.request_s);
    asio::error_code error;
    const size_t sent = write_at_once(socket_, out_, error);
    if (error || sent == out_.size()) return written(error, keep_alive);
    asio::async_write(socket_, asio::buffer(out_) + sent,
                      [self = shared_from_this(), keep_alive](auto late, size_t) {
                        self->written(late, keep_alive);
                      });
  }

  void written(const asio::error_code& error, KeepAlive keep_alive) {
    if (error || keep_alive == KeepAlive::No || !server_) return close();
    parser_.reset();
    out_ = std::string();
    wait_for_request();
  }

  HttpServer* server_;  ///< null once it is gone
  Service service_;
  tcp::socket socket_;
  State state_ = State::Idle;
  std::optional<IdleConnections::iterator> idle_entry_;  ///< none while it is not idle
  HttpRequestParser parser_;
  std::array<char, kChunkBytes> chunk_{};
  std::string out_;
  Clock::time_point deadline_ = Clock::time_point::max();  ///< past it the connection is closed
  Clock::time_point idle_since_{};                         ///< while idle
};

HttpServer::HttpServer(asio::io_context& io, const Endpoint& at, HttpLimits limits,
                       HttpHandler handler)
    : io_(io),
      acceptor_(io),
      retry_(io),
      sweep_timer_(io),
      limits_(limits),
      handler_(std::move(handler)) {
  const auto endpoint = to_tcp_endpoint(at);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();  // as many as the system takes: a whole fleet may come back at once
  accept();
}

HttpServer::~HttpServer() {
  idle_.clear();
  for (const auto& connection : connections_) connection->detach_from_server();
}

unsigned short HttpServer::port() const {
  return acceptor_.local_endpoint().port();
}

void HttpServer::close_all() {
  const auto connections = connections_;  // a copy, since each removes itself from the list
  for (const auto& connection : connections) connection->close();
}

void HttpServer::accept() {
  acceptor_.async_accept(io_, [this](auto error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) return accept_later();
    add_connection(std::move(socket));
    accept();
  });
}

/// Out of sockets: accepting at once again would spin.
void HttpServer::accept_later() {
  retry_.expires_after(kAcceptRetry);
  retry_.async_wait([this](auto error) {
    if (!error) accept();
  });
}

void HttpServer::add_connection(tcp::socket socket) {
  if (connections_.size() >= max_served()) close_longest_idle();
  const bool served = connections_.size() < max_served();
  if (!served) ++refused_;
  if (connections_.size() >= limits_.connections) return;
  const auto service = served ? Connection::Service::Handled : Connection::Service::Refused;
  auto connection = std::make_shared<Connection>(*this, std::move(socket), service);
  connections_.insert(connection);
  connection->start();
  if (!sweeping_) sweep_later();
}

/// Deadlines are checked together: a timer for each would be set anew several times a request.
void HttpServer::sweep_later() {
  sweeping_ = true;
  const double shortest_s = std::min(limits_.request_s, limits_.idle_s);
  sweep_timer_.expires_after(to_milliseconds(shortest_s * kSweepShare));
  sweep_timer_.async_wait([this](auto error) {
    if (!error) sweep();
  });
}

void HttpServer::sweep() {
  const auto now = Clock::now();
  std::vector<std::shared_ptr<Connection>> overdue;
  for (const auto& connection : connections_)
    if (connection->overdue(now)) overdue.push_back(connection);
  for (const auto& connection : overdue) connection->close();
  sweeping_ = false;
  if (!connections_.empty()) sweep_later();
}

/// Whether a connection that is being answered stays open. Where too many are, one that nobody uses
/// any more is closed instead: that of a user who has left rather than that of a worker that sends
/// heartbeats.
bool HttpServer::may_stay_open() {
  if (connections_.size() <= limits_.kept_open) return true;
  if (!idle_.empty() && idle_.front()->idle_for_s() > limits_.stale_s) {
    close_longest_idle();
    return true;
  }
  ++closed_after_answer_;
  return false;
}

/// Closes the connection that has been idle the longest, if any is idle.
void HttpServer::close_longest_idle() {
  if (!idle_.empty()) idle_.front()->close();
}

}  // namespace sumacquay
