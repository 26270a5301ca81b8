#include "net/http_server.h"

#include <array>
#include <chrono>
#include <optional>
#include <utility>

#include "net/asio_conversions.h"
#include "net/http_parsing.h"

namespace sumacquay {
namespace {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr size_t kChunkBytes = 2048;
constexpr std::chrono::milliseconds kAcceptRetry{50};

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;

}  // namespace

/// One connection. It goes from Idle over Reading and Handling to Writing and back, until it is
/// closed by its peer, by a timer, or by the server.
class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection> {
 public:
  Connection(HttpServer& server, tcp::socket socket)
      : server_(&server),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        parser_({server.limits_.header_bytes, server.limits_.body_bytes}) {}

  void start() {
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    wait_for_request();
  }

  void close() {
    if (state_ == State::Closed) return;
    state_ = State::Closed;
    asio::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    if (server_) server_->connections_.erase(shared_from_this());
  }

  void forget_server() { server_ = nullptr; }

  /// Since when nothing has been asked; none: a request is under way.
  std::optional<Clock::time_point> idle_since() const {
    if (state_ != State::Idle) return std::nullopt;
    return idle_since_;
  }

 private:
  enum class State {
    Idle,      ///< nothing of the next request has come
    Reading,   ///< a part of it has
    Handling,  ///< the handler has it
    Writing,   ///< the reply goes out
    Closed,
  };

  void wait_for_request() {
    state_ = State::Idle;
    idle_since_ = Clock::now();
    close_after(server_->limits_.idle_s);
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

  void close_after(double seconds) {
    timer_.expires_after(to_milliseconds(seconds));
    timer_.async_wait([self = shared_from_this()](auto error) {
      if (!error) self->close();
    });
  }

  void consume(size_t size) {
    if (state_ == State::Idle) begin_request();
    switch (parser_.parse({chunk_.data(), size})) {
      case ParseProgress::Incomplete:
        return read_on();
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
    state_ = State::Reading;
    deadline_ = Clock::now() + to_milliseconds(server_->limits_.request_s);
  }

  void read_on() {
    if (Clock::now() > deadline_) return close();
    close_after(server_->limits_.request_s);
    read();
  }

  void handle() {
    state_ = State::Handling;
    timer_.cancel();
    const HttpRequest request = parser_.take_request();
    auto answered = std::make_shared<bool>(false);
    server_->handler_(request, [weak = weak_from_this(), answered](const HttpReply& reply) {
      if (*answered) return;
      *answered = true;
      if (auto self = weak.lock()) self->write(reply, self->parser_.keep_alive());
    });
  }

  void refuse(int status) { write(HttpReply{status, {}, 0}, KeepAlive::No); }

  void write(const HttpReply& reply, KeepAlive keep_alive) {
    if (state_ == State::Closed) return;
    state_ = State::Writing;
    out_ = serialize_reply(reply, keep_alive);
    if (!server_) return close();
    close_after(server_->limits_.request_s);
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this(), keep_alive](auto error, size_t) {
                        if (error || keep_alive == KeepAlive::No || !self->server_)
                          return self->close();
                        self->next_request();
                      });
  }

  void next_request() {
    parser_.reset();
    out_ = std::string();
    wait_for_request();
  }

  HttpServer* server_;  ///< null once it is gone
  tcp::socket socket_;
  asio::steady_timer timer_;
  State state_ = State::Idle;
  HttpRequestParser parser_;
  std::array<char, kChunkBytes> chunk_{};
  std::string out_;
  Clock::time_point deadline_{};    ///< of the request under way
  Clock::time_point idle_since_{};  ///< while idle
};

HttpServer::HttpServer(asio::io_context& io, const Endpoint& at, HttpLimits limits,
                       HttpHandler handler)
    : io_(io), acceptor_(io), retry_(io), limits_(limits), handler_(std::move(handler)) {
  const auto endpoint = to_tcp_endpoint(at);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();  // as many as the system takes: a whole fleet may come back at once
  accept();
}

HttpServer::~HttpServer() {
  for (const auto& connection : connections_) connection->forget_server();
}

unsigned short HttpServer::port() const {
  return acceptor_.local_endpoint().port();
}

void HttpServer::close_all() {
  const auto connections = connections_;  // each takes itself off the list
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
  if (connections_.size() >= limits_.connections) close_idlest();
  if (connections_.size() >= limits_.connections) return;
  auto connection = std::make_shared<Connection>(*this, std::move(socket));
  connections_.insert(connection);
  connection->start();
}

/// Where more machines and users keep connections than there are sockets, the one that has been
/// idle longest gives way: that of a user who has left rather than that of a worker that reports.
void HttpServer::close_idlest() {
  std::shared_ptr<Connection> idlest;
  for (const auto& connection : connections_) {
    if (!connection->idle_since()) continue;
    if (!idlest || *connection->idle_since() < *idlest->idle_since()) idlest = connection;
  }
  if (idlest) idlest->close();
}

}  // namespace sumacquay
