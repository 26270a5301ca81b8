#include "net/http.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>

namespace sumacquay {
namespace {

using asio::ip::tcp;
constexpr const char* kContentType = "application/msgpack";

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

std::chrono::milliseconds as_ms(double seconds) {
  return std::chrono::milliseconds(static_cast<long long>(seconds * 1000));
}

tcp::endpoint to_asio(const Endpoint& e) {
  return tcp::endpoint(asio::ip::make_address(e.host), e.port);
}

}  // namespace

class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection> {
 public:
  Connection(HttpServer& server, tcp::socket socket)
      : server_(&server), socket_(std::move(socket)), timer_(socket_.get_executor()) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }

  void start() {
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    read();
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
  std::optional<std::chrono::steady_clock::time_point> idle_since() const {
    if (state_ != State::Reading || started_) return std::nullopt;
    return idle_since_;
  }

 private:
  enum class State { Reading, Handling, Writing, Closed };

  void read() {
    state_ = State::Reading;
    if (!started_) idle_since_ = std::chrono::steady_clock::now();
    arm(started_ ? server_->limits_.request_s : server_->limits_.idle_s);
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](auto error, size_t n) {
                              if (error || self->state_ == State::Closed || !self->server_)
                                return self->close();
                              self->consume(n);
                            });
  }

  void arm(double seconds) {
    timer_.expires_after(as_ms(seconds));
    timer_.async_wait([self = shared_from_this()](auto error) {
      if (!error) self->close();
    });
  }

  void consume(size_t n) {
    if (!started_) {
      // The time for a whole request counts from its first byte, so a dribbling sender can't hold
      // a socket for ever.
      started_ = true;
      deadline_ = std::chrono::steady_clock::now() + as_ms(server_->limits_.request_s);
    }
    const size_t used = http_parser_execute(&parser_, &settings(), chunk_.data(), n);
    if (oversized_) return refuse(413);
    if (!complete_ && (parser_.http_errno != HPE_OK || used != n)) return refuse(400);
    if (!complete_) {
      if (std::chrono::steady_clock::now() > deadline_) return close();
      return read();
    }
    handle();
  }

  void handle() {
    state_ = State::Handling;
    timer_.cancel();
    HttpRequest request;
    request.method = http_method_str(static_cast<http_method>(parser_.method));
    const auto mark = target_.find('?');
    request.path = target_.substr(0, mark);
    if (mark != std::string::npos) request.query = target_.substr(mark + 1);
    request.body = std::move(body_);
    std::weak_ptr<Connection> weak = shared_from_this();
    auto answered = std::make_shared<bool>(false);
    server_->handler_(request, [weak, answered](HttpReply reply) {
      if (*answered) return;
      *answered = true;
      if (auto self = weak.lock()) self->write(std::move(reply), false);
    });
  }

  void refuse(int status) { write(HttpReply{status, {}, 0}, true); }

  void write(HttpReply reply, bool last) {
    if (state_ == State::Closed) return;
    state_ = State::Writing;
    const bool keep = !last && http_should_keep_alive(&parser_);
    out_ = "HTTP/1.1 " + std::to_string(reply.status) + " " + reason(reply.status) +
           "\r\nContent-Type: " + kContentType +
           "\r\nContent-Length: " + std::to_string(reply.body.size());
    if (reply.retry_after_s > 0) out_ += "\r\nRetry-After: " + std::to_string(reply.retry_after_s);
    out_ += keep ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n";
    out_ += reply.body;
    if (!server_) return close();
    arm(server_->limits_.request_s);
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this(), keep](auto error, size_t) {
                        if (error || !keep || !self->server_) return self->close();
                        self->next();
                      });
  }

  void next() {
    started_ = complete_ = false;
    header_bytes_ = 0;
    target_.clear();
    body_.clear();
    body_.shrink_to_fit();
    out_.clear();
    out_.shrink_to_fit();
    http_parser_init(&parser_, HTTP_REQUEST);
    read();
  }

  bool count_header(size_t n) {
    header_bytes_ += n;
    oversized_ = header_bytes_ > server_->limits_.header_bytes;
    return !oversized_;
  }

  static Connection& self(http_parser* p) { return *static_cast<Connection*>(p->data); }

  static const http_parser_settings& settings() {
    static const http_parser_settings value = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_url = [](http_parser* p, const char* at, size_t n) {
        self(p).target_.append(at, n);
        return self(p).count_header(n) ? 0 : 1;
      };
      s.on_header_field = [](http_parser* p, const char*, size_t n) {
        return self(p).count_header(n) ? 0 : 1;
      };
      s.on_header_value = s.on_header_field;
      s.on_body = [](http_parser* p, const char* at, size_t n) {
        Connection& c = self(p);
        c.oversized_ = c.body_.size() + n > c.server_->limits_.body_bytes;
        if (c.oversized_) return 1;
        c.body_.append(at, n);
        return 0;
      };
      s.on_message_complete = [](http_parser* p) {
        self(p).complete_ = true;
        http_parser_pause(p, 1);  // nothing is pipelined: what follows is dropped
        return 0;
      };
      return s;
    }();
    return value;
  }

  HttpServer* server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  State state_ = State::Reading;
  http_parser parser_{};
  std::array<char, 2048> chunk_{};
  std::string target_, body_, out_;
  size_t header_bytes_ = 0;
  bool started_ = false, complete_ = false, oversized_ = false;
  std::chrono::steady_clock::time_point deadline_{}, idle_since_{};
};

HttpServer::HttpServer(asio::io_context& io, const Endpoint& at, HttpLimits limits,
                       HttpHandler handler)
    : io_(io), acceptor_(io), retry_(io), limits_(limits), handler_(std::move(handler)) {
  const auto endpoint = to_asio(at);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();  // as many as the system takes: a whole fleet may come back at once
  accept();
}

HttpServer::~HttpServer() {
  for (auto& c : connections_) c->forget_server();
}

unsigned short HttpServer::port() const {
  return acceptor_.local_endpoint().port();
}

void HttpServer::close_all() {
  const auto copy = connections_;
  for (auto& c : copy) c->close();
}

void HttpServer::accept() {
  acceptor_.async_accept(io_, [this](auto error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      // Out of sockets: accepting at once again would spin.
      retry_.expires_after(std::chrono::milliseconds(50));
      retry_.async_wait([this](auto e) {
        if (!e) accept();
      });
      return;
    }
    if (connections_.size() >= limits_.connections) close_idlest();
    if (connections_.size() < limits_.connections) {
      auto c = std::make_shared<Connection>(*this, std::move(socket));
      connections_.insert(c);
      c->start();
    }
    accept();
  });
}

/// Where more machines and users keep connections than there are sockets, the one that has been
/// idle longest gives way: that of a user who has left rather than that of a worker that reports.
void HttpServer::close_idlest() {
  std::shared_ptr<Connection> idlest;
  for (const auto& c : connections_)
    if (c->idle_since() && (!idlest || *c->idle_since() < *idlest->idle_since())) idlest = c;
  if (idlest) idlest->close();
}

struct HttpClient::Job {
  std::string head_and_body;
  std::chrono::steady_clock::time_point deadline;
  HttpDone done;
  bool finished = false;
  std::unique_ptr<asio::steady_timer> timer;

  void finish(HttpResult result) {
    if (finished) return;
    finished = true;
    if (timer) timer->cancel();
    auto callback = std::move(done);
    callback(std::move(result));
  }
};

class HttpClient::Connection : public std::enable_shared_from_this<HttpClient::Connection> {
 public:
  Connection(HttpClient& client, asio::io_context& io)
      : client_(&client), alive_(client.alive_), socket_(io) {}

  void run(std::shared_ptr<Job> job) {
    job_ = std::move(job);
    body_.clear();
    complete_ = false;
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    if (state_ == State::Idle) return write();
    state_ = State::Connecting;
    socket_.async_connect(to_asio(client_->to_), [self = shared_from_this()](auto error) {
      if (error) return self->end(false);
      asio::error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->write();
    });
  }

  void end(bool answered) {
    if (state_ == State::Closed) return;
    const bool reusable = answered && http_should_keep_alive(&parser_);
    HttpResult result;
    result.answered = answered;
    if (answered) {
      result.status = static_cast<int>(parser_.status_code);
      result.body = std::move(body_);
    }
    body_ = std::string();
    auto job = std::move(job_);
    if (reusable) {
      state_ = State::Idle;
    } else {
      close();
    }
    if (*alive_) client_->finished(shared_from_this(), reusable);
    if (job) job->finish(std::move(result));
  }

  void close() {
    state_ = State::Closed;
    asio::error_code ignored;
    socket_.close(ignored);
  }

  const std::shared_ptr<Job>& job() const { return job_; }

  bool usable() {
    if (state_ != State::Idle) return false;
    // A peer that restarted has closed its side: seen here instead of as a failed request.
    asio::error_code error;
    socket_.non_blocking(true, error);
    char byte;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

 private:
  enum class State { New, Connecting, Busy, Idle, Closed };
  static constexpr size_t kMaxBody = 4 << 20;

  void write() {
    state_ = State::Busy;
    asio::async_write(socket_, asio::buffer(job_->head_and_body),
                      [self = shared_from_this(), job = job_](auto error, size_t) {
                        if (error && self->job_ == job) self->end(false);
                      });
    read();
  }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this(), job = job_](
                                                      auto error, size_t n) {
      if (self->state_ != State::Busy || self->job_ != job) return;
      if (error) return self->end(false);
      const size_t used = http_parser_execute(&self->parser_, &settings(), self->chunk_.data(), n);
      if (self->complete_) return self->end(true);
      if (self->parser_.http_errno != HPE_OK || used != n) return self->end(false);
      self->read();
    });
  }

  static Connection& self(http_parser* p) { return *static_cast<Connection*>(p->data); }

  static const http_parser_settings& settings() {
    static const http_parser_settings value = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_body = [](http_parser* p, const char* at, size_t n) {
        if (self(p).body_.size() + n > kMaxBody) return 1;
        self(p).body_.append(at, n);
        return 0;
      };
      s.on_message_complete = [](http_parser* p) {
        self(p).complete_ = true;
        return 0;
      };
      return s;
    }();
    return value;
  }

  HttpClient* client_;
  std::shared_ptr<bool> alive_;
  tcp::socket socket_;
  State state_ = State::New;
  http_parser parser_{};
  std::array<char, 4096> chunk_{};
  std::string body_;
  bool complete_ = false;
  std::shared_ptr<Job> job_;
};

HttpClient::HttpClient(asio::io_context& io, Endpoint to, size_t max_connections, size_t max_queued)
    : io_(io), to_(std::move(to)), max_connections_(max_connections), max_queued_(max_queued) {}

HttpClient::~HttpClient() {
  *alive_ = false;
  for (auto& c : busy_) c->close();
}

void HttpClient::request(const std::string& method, const std::string& target, std::string body,
                         double deadline_s, HttpDone done) {
  auto job = std::make_shared<Job>();
  job->done = std::move(done);
  job->deadline = std::chrono::steady_clock::now() + as_ms(deadline_s);
  job->head_and_body = method + " " + target + " HTTP/1.1\r\nHost: " + to_.text() +
                       "\r\nContent-Type: " + kContentType +
                       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (queue_.size() >= max_queued_) {
    asio::post(io_, [job] { job->finish({}); });
    return;
  }
  job->timer = std::make_unique<asio::steady_timer>(io_, job->deadline);
  queue_.push_back(job);
  std::weak_ptr<bool> alive = alive_;
  job->timer->async_wait([this, alive, weak = std::weak_ptr<Job>(job)](auto error) {
    auto job = weak.lock();
    auto still = alive.lock();
    if (error || !job || job->finished || !still || !*still) return;
    const auto queued = std::find(queue_.begin(), queue_.end(), job);
    if (queued != queue_.end()) {
      queue_.erase(queued);
      return job->finish({});
    }
    const auto busy = busy_;
    for (auto& c : busy)
      if (c->job() == job) return c->end(false);
  });
  start_next();
}

void HttpClient::start_next() {
  while (!queue_.empty() && busy_.size() < max_connections_) {
    std::shared_ptr<Connection> c;
    while (!idle_.empty() && !c) {
      if (idle_.back()->usable())
        c = idle_.back();
      else
        idle_.back()->close();
      idle_.pop_back();
    }
    if (!c) c = std::make_shared<Connection>(*this, io_);
    auto job = queue_.front();
    queue_.pop_front();
    busy_.insert(c);
    c->run(std::move(job));
  }
}

void HttpClient::finished(const std::shared_ptr<Connection>& connection, bool reusable) {
  busy_.erase(connection);
  if (reusable) idle_.push_back(connection);
  asio::post(io_, [this, alive = alive_] {
    if (*alive) start_next();
  });
}

}  // namespace sumacquay
