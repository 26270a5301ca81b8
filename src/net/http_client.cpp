#include "net/http_client.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "net/asio_conversions.h"
#include "net/http_parsing.h"
#include "net/nonblocking_write.h"

namespace sumacquay {
namespace {

using asio::ip::tcp;

using Clock = std::chrono::steady_clock;

constexpr size_t kReadBufferBytes = 4096;
/// The largest bodies are the changes that a watch returns after a long absence, thousands of
/// records.
constexpr size_t kMaxBodyBytes = 4 << 20;

}  // namespace

/// A request that is queued or in progress.
struct HttpClient::PendingRequest {
  std::string bytes;  ///< head and body
  HttpCallback done;
  bool finished = false;
  Clock::time_point deadline;

  void finish(HttpResult result) {
    if (finished) return;
    finished = true;
    const HttpCallback callback = std::move(done);
    callback(std::move(result));
  }
};

/// One connection of the pool, with at most one request at a time.
class HttpClient::Connection : public std::enable_shared_from_this<HttpClient::Connection> {
 public:
  Connection(HttpClient& client, asio::io_context& io)
      : client_(&client), alive_(client.alive_), socket_(io), parser_(kMaxBodyBytes) {}

  /// Sends a request; connects first unless the connection is already open.
  void run(std::shared_ptr<PendingRequest> request) {
    request_ = std::move(request);
    parser_.reset();
    if (state_ == State::Idle)
      write();
    else
      connect();
  }

  /// Completes the request with the response that was received.
  void succeed() {
    if (state_ == State::Closed) return;
    HttpResult result;
    result.answered = true;
    result.status = parser_.status();
    result.body = parser_.take_body();
    finish(std::move(result), parser_.keep_alive() == KeepAlive::Yes);
  }

  /// Completes the request without a response. Closes the connection, since a late response could
  /// not be distinguished from the response to the next request.
  void fail() {
    if (state_ == State::Closed) return;
    parser_.take_body();
    finish({}, false);
  }

  void close() {
    state_ = State::Closed;
    asio::error_code ignored;
    socket_.close(ignored);
  }

  const std::shared_ptr<PendingRequest>& request() const { return request_; }

  /// Whether the connection is idle and still open on both sides.
  bool reusable() {
    if (state_ != State::Idle) return false;
    // A restarted peer has closed its side. Detecting that here avoids a failed request.
    asio::error_code error;
    char byte;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

 private:
  enum class State { New, Connecting, Busy, Idle, Closed };

  void connect() {
    state_ = State::Connecting;
    socket_.async_connect(to_tcp_endpoint(client_->server_),
                          [self = shared_from_this()](auto error) {
                            if (error) return self->fail();
                            asio::error_code ignored;
                            self->socket_.set_option(tcp::no_delay(true), ignored);
                            self->socket_.non_blocking(true, ignored);
                            self->write();
                          });
  }

  void write() {
    state_ = State::Busy;
    asio::error_code error;
    const size_t sent = write_without_blocking(socket_, request_->bytes, error);
    const auto on_written = [self = shared_from_this(), request = request_](auto write_error,
                                                                            size_t) {
      if (write_error && self->request_ == request) self->fail();
    };
    if (error)
      asio::post(socket_.get_executor(), [on_written, error] { on_written(error, 0); });
    else if (sent < request_->bytes.size())
      asio::async_write(socket_, asio::buffer(request_->bytes) + sent, on_written);
    read();
  }

  void read() {
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this(), request = request_](auto error, size_t size) {
          if (self->state_ != State::Busy || self->request_ != request) return;
          if (error) return self->fail();
          self->consume(size);
        });
  }

  void consume(size_t size) {
    switch (parser_.parse({read_buffer_.data(), size})) {
      case ParseProgress::Incomplete:
        return read();
      case ParseProgress::Complete:
        return succeed();
      case ParseProgress::TooLarge:
      case ParseProgress::Invalid:
        return fail();
    }
  }

  /// Detaches and releases the connection before it runs the request's callback, since the callback
  /// may start the next request on this connection.
  void finish(HttpResult result, bool keep_open) {
    const auto request = std::exchange(request_, nullptr);
    if (keep_open)
      state_ = State::Idle;
    else
      close();
    if (*alive_) client_->release(shared_from_this(), keep_open);
    if (request) request->finish(std::move(result));
  }

  HttpClient* client_;
  std::shared_ptr<bool> alive_;
  tcp::socket socket_;
  State state_ = State::New;
  HttpResponseParser parser_;
  std::array<char, kReadBufferBytes> read_buffer_{};
  std::shared_ptr<PendingRequest> request_;
};

HttpClient::HttpClient(asio::io_context& io, Endpoint server, size_t max_connections,
                       size_t max_queued)
    : io_(io),
      server_(std::move(server)),
      max_connections_(max_connections),
      max_queued_(max_queued),
      deadline_timer_(io) {}

HttpClient::~HttpClient() {
  *alive_ = false;
  for (const auto& connection : busy_) connection->close();
}

void HttpClient::request(const std::string& method, const std::string& target,
                         const std::string& body, double deadline_s, HttpCallback done) {
  auto request = std::make_shared<PendingRequest>();
  request->done = std::move(done);
  request->bytes = serialize_request(method, target, server_.to_string(), body);
  if (queue_.size() >= max_queued_) {
    asio::post(io_, [request] { request->finish({}); });
    return;
  }
  request->deadline = Clock::now() + to_milliseconds(deadline_s);
  queue_.push_back(request);
  schedule_expiry(request->deadline);
  start_next();
}

/// One timer serves all requests. It is not rescheduled when a request completes: most requests
/// complete before their deadline, and a new request's deadline is seldom earlier than the one
/// scheduled.
void HttpClient::schedule_expiry(Clock::time_point deadline) {
  if (expiry_scheduled_at_ && *expiry_scheduled_at_ <= deadline) return;
  expiry_scheduled_at_ = deadline;
  deadline_timer_.expires_at(deadline);
  deadline_timer_.async_wait([this, alive = alive_](auto error) {
    if (error || !*alive) return;
    expiry_scheduled_at_.reset();
    expire_overdue();
  });
}

/// A request's callback may send further requests or destroy this client.
void HttpClient::expire_overdue() {
  const auto now = Clock::now();
  const auto alive = alive_;
  for (const auto& request : requests_in_progress()) {
    if (request->finished || now < request->deadline) continue;
    expire(request);
    if (!*alive) return;
  }
  for (const auto& request : requests_in_progress()) schedule_expiry(request->deadline);
}

std::vector<std::shared_ptr<HttpClient::PendingRequest>> HttpClient::requests_in_progress() const {
  std::vector<std::shared_ptr<PendingRequest>> requests(queue_.begin(), queue_.end());
  for (const auto& connection : busy_)
    if (connection->request()) requests.push_back(connection->request());
  return requests;
}

/// Completes a request whose deadline has passed.
void HttpClient::expire(const std::shared_ptr<PendingRequest>& request) {
  const auto queued = std::find(queue_.begin(), queue_.end(), request);
  if (queued != queue_.end()) {
    queue_.erase(queued);
    return request->finish({});
  }
  const auto sending = std::find_if(busy_.begin(), busy_.end(), [&](const auto& connection) {
    return connection->request() == request;
  });
  if (sending == busy_.end()) return;
  const auto connection = *sending;  // a copy, since fail() erases the element
  connection->fail();
}

void HttpClient::start_next() {
  while (!queue_.empty() && busy_.size() < max_connections_) {
    const auto connection = acquire_connection();
    auto request = queue_.front();
    queue_.pop_front();
    busy_.insert(connection);
    connection->run(std::move(request));
  }
}

/// Returns a reusable idle connection, or else a new one.
std::shared_ptr<HttpClient::Connection> HttpClient::acquire_connection() {
  while (!idle_.empty()) {
    auto connection = idle_.back();
    idle_.pop_back();
    if (connection->reusable()) return connection;
    connection->close();
  }
  return std::make_shared<Connection>(*this, io_);
}

void HttpClient::release(const std::shared_ptr<Connection>& connection, bool reusable) {
  busy_.erase(connection);
  if (reusable) idle_.push_back(connection);
  asio::post(io_, [this, alive = alive_] {
    if (*alive) start_next();
  });
}

}  // namespace sumacquay
