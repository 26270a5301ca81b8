#include "net/http_server.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "net/asio_conversions.h"
#include "net/http_parsing.h"
#include "net/nonblocking_write.h"

namespace sumacquay {
namespace {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr size_t kReadBufferBytes = 2048;
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
/// The interval between sweeps, as a fraction of the shorter of the request and idle timeouts.
constexpr double kSweepIntervalRatio = 0.25;

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kServiceUnavailable = 503;
/// The Retry-After value sent to refused peers.
constexpr int kRetryAfterSeconds = 1;

}  // namespace

/// One connection. Its state goes from Idle through Reading and Handling to Writing and back to
/// Idle, until the peer closes it, its deadline passes, or the server closes it.
class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection> {
 public:
  /// Whether requests on the connection are handled or refused.
  enum class Service { Handled, Refused };

  Connection(HttpServer& server, tcp::socket socket, Service service)
      : server_(&server),
        service_(service),
        socket_(std::move(socket)),
        parser_({server.limits_.max_header_bytes, server.limits_.max_body_bytes}) {}

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

  /// The time since the connection became idle. Valid only in state Idle.
  double idle_for_s() const {
    return std::chrono::duration<double>(Clock::now() - idle_since_).count();
  }

 private:
  enum class State {
    Idle,      ///< no byte of the next request received
    Reading,   ///< part of a request received
    Handling,  ///< the handler is processing the request
    Writing,   ///< the response is being sent
    Closed,
  };

  /// Changes the state and keeps the server's list of idle connections consistent with it. All
  /// state changes go through here.
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
    set_deadline(service_ == Service::Handled ? limits.idle_timeout_s : limits.request_timeout_s);
    read();
  }

  void read() {
    socket_.async_read_some(asio::buffer(read_buffer_),
                            [self = shared_from_this()](auto error, size_t size) {
                              if (error || self->state_ == State::Closed || !self->server_)
                                return self->close();
                              self->consume(size);
                            });
  }

  /// Sets the deadline; the server's first sweep after it closes the connection.
  void set_deadline(double seconds) { deadline_ = Clock::now() + to_milliseconds(seconds); }

  void consume(size_t size) {
    if (state_ == State::Idle) begin_request();
    switch (parser_.parse({read_buffer_.data(), size})) {
      case ParseProgress::Incomplete:
        return read();
      case ParseProgress::Complete:
        return handle();
      case ParseProgress::TooLarge:
        return refuse_oversized();
      case ParseProgress::Invalid:
        return refuse(kBadRequest);
    }
  }

  /// Starts the request timeout at the first byte, so that a peer that sends slowly can't occupy a
  /// socket indefinitely.
  void begin_request() {
    enter(State::Reading);
    set_deadline(server_->limits_.request_timeout_s);
  }

  void handle() {
    if (service_ == Service::Refused) return refuse(kServiceUnavailable, kRetryAfterSeconds);
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

  void refuse_oversized() {
    OversizedRequests& oversized = server_->oversized_requests_;
    ++oversized.count;
    oversized.latest_target = parser_.target();
    asio::error_code error;
    const auto peer = socket_.remote_endpoint(error);
    oversized.latest_peer = error ? std::string() : peer.address().to_string();
    refuse(kPayloadTooLarge);
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
    response_bytes_ = serialize_reply(reply, keep_alive);
    set_deadline(server_->limits_.request_timeout_s);
    asio::error_code error;
    const size_t sent = write_without_blocking(socket_, response_bytes_, error);
    if (error || sent == response_bytes_.size()) return on_written(error, keep_alive);
    asio::async_write(socket_, asio::buffer(response_bytes_) + sent,
                      [self = shared_from_this(), keep_alive](auto write_error, size_t) {
                        self->on_written(write_error, keep_alive);
                      });
  }

  void on_written(const asio::error_code& error, KeepAlive keep_alive) {
    if (error || keep_alive == KeepAlive::No || !server_) return close();
    parser_.reset();
    response_bytes_ = std::string();
    wait_for_request();
  }

  HttpServer* server_;  ///< null after the server is destroyed
  Service service_;
  tcp::socket socket_;
  State state_ = State::Idle;
  std::optional<IdleConnections::iterator> idle_entry_;  ///< set while idle and handled
  HttpRequestParser parser_;
  std::array<char, kReadBufferBytes> read_buffer_{};
  std::string response_bytes_;
  Clock::time_point deadline_ = Clock::time_point::max();  ///< closed after this
  Clock::time_point idle_since_{};                         ///< valid while idle
};

HttpServer::HttpServer(asio::io_context& io, const Endpoint& listen_address, HttpLimits limits,
                       HttpHandler handler)
    : io_(io),
      acceptor_(io),
      accept_retry_timer_(io),
      sweep_timer_(io),
      limits_(limits),
      handler_(std::move(handler)) {
  const auto endpoint = to_tcp_endpoint(listen_address);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();  // the system's maximum backlog: a whole fleet may reconnect at once
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
  const auto connections = connections_;  // a copy, since each removes itself from the set
  for (const auto& connection : connections) connection->close();
}

void HttpServer::accept() {
  acceptor_.async_accept(io_, [this](auto error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) return retry_accept();
    add_connection(std::move(socket));
    accept();
  });
}

/// Retries after a delay. The process is out of sockets, and an immediate retry would busy-loop.
void HttpServer::retry_accept() {
  accept_retry_timer_.expires_after(kAcceptRetryDelay);
  accept_retry_timer_.async_wait([this](auto error) {
    if (!error) accept();
  });
}

void HttpServer::add_connection(tcp::socket socket) {
  if (connections_.size() >= max_served()) close_longest_idle();
  const bool served = connections_.size() < max_served();
  if (!served) ++refused_;
  if (connections_.size() >= limits_.max_connections) return;
  const auto service = served ? Connection::Service::Handled : Connection::Service::Refused;
  auto connection = std::make_shared<Connection>(*this, std::move(socket), service);
  connections_.insert(connection);
  connection->start();
  if (!sweep_scheduled_) schedule_sweep();
}

/// One timer checks all deadlines: a timer for each connection would be reset several times a
/// request.
void HttpServer::schedule_sweep() {
  sweep_scheduled_ = true;
  const double shortest_s = std::min(limits_.request_timeout_s, limits_.idle_timeout_s);
  sweep_timer_.expires_after(to_milliseconds(shortest_s * kSweepIntervalRatio));
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
  sweep_scheduled_ = false;
  if (!connections_.empty()) schedule_sweep();
}

/// Whether a connection stays open after the response being sent. If too many are open, a stale
/// connection is closed in its place: an inactive user's rather than that of a worker which sends
/// heartbeats regularly.
bool HttpServer::may_stay_open() {
  if (connections_.size() <= limits_.max_kept_alive) return true;
  if (!idle_.empty() && idle_.front()->idle_for_s() > limits_.stale_after_s) {
    close_longest_idle();
    return true;
  }
  ++closed_after_answer_;
  return false;
}

/// Closes the connection that has been idle the longest; does nothing if no connection is idle.
void HttpServer::close_longest_idle() {
  if (!idle_.empty()) idle_.front()->close();
}

}  // namespace sumacquay
