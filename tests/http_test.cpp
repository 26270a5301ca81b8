#include "net/http.h"

#include <gtest/gtest.h>

namespace sumacquay {
namespace {

using asio::ip::tcp;

/// A server on an ephemeral port of the loopback interface that echoes requests and never answers
/// those for `/never`.
struct HttpLoopback : ::testing::Test {
  asio::io_context io;
  HttpLimits limits;
  std::unique_ptr<HttpServer> server;
  int handled = 0;

  void serve() {
    server = std::make_unique<HttpServer>(io, Endpoint{"127.0.0.1", 0}, limits,
                                          [this](const HttpRequest& r, const Respond& respond) {
                                            ++handled;
                                            if (r.path == "/never") return;
                                            respond({200, r.method + r.path + r.body, 7});
                                            respond({500, "a second answer goes nowhere", 0});
                                          });
  }

  /// Sends bytes and returns everything received until the server closes the connection.
  std::string send_raw(const std::string& bytes) {
    tcp::socket socket(io);
    std::string received;
    bool closed = false;
    socket.connect({asio::ip::make_address("127.0.0.1"), server->port()});
    asio::write(socket, asio::buffer(bytes));
    std::array<char, 1024> chunk;
    std::function<void()> read = [&] {
      socket.async_read_some(asio::buffer(chunk), [&](auto error, size_t n) {
        if (error) return void(closed = true);
        received.append(chunk.data(), n);
        read();
      });
    };
    read();
    run_until([&] { return closed; });
    return received;
  }

  void run_until(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    io.restart();
    while (!condition() && std::chrono::steady_clock::now() < end)
      io.run_one_for(std::chrono::milliseconds(20));
    EXPECT_TRUE(condition()) << "the condition did not hold within 20 s";
  }

  void run_for(std::chrono::milliseconds time) {
    io.restart();
    io.run_for(time);
  }

  /// Occupies `count` connections with requests that get no answer.
  void occupy_connections(HttpClient& slow, int count) {
    for (int i = 0; i < count; ++i)
      slow.request("POST", "/never", "", 20, [](const HttpResult&) {});
    run_until([&] { return handled == count; });
  }

  HttpResult send_request(HttpClient& client, const std::string& path, const std::string& body,
                          double deadline) {
    std::optional<HttpResult> result;
    client.request("POST", path, body, deadline,
                   [&](const HttpResult& answer) { result = answer; });
    EXPECT_FALSE(result.has_value()) << "the callback must not run inside request()";
    run_until([&] { return result.has_value(); });
    return result.value_or(HttpResult{});
  }
};

TEST_F(HttpLoopback, AnswersAndKeepsConnections) {
  serve();
  HttpClient client(io, {"127.0.0.1", server->port()}, 2, 4);
  for (int i = 0; i < 3; ++i) {
    const auto r = send_request(client, "/a?x=1", "body", 5);
    EXPECT_TRUE(r.ok());
    EXPECT_EQ(r.body, "POST/abody");
  }
  EXPECT_EQ(client.in_progress(), 0u);
  const std::string text = send_raw("GET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_NE(text.find("Retry-After: 7"), std::string::npos);
  EXPECT_NE(text.find("GET/b"), std::string::npos);
}

TEST_F(HttpLoopback, RejectsMalformedAndOversizedRequestsAndClosesConnection) {
  limits.max_body_bytes = 1000;
  limits.max_header_bytes = 500;
  serve();
  EXPECT_NE(send_raw("this is not HTTP\r\n\r\n").find("400"), std::string::npos);
  EXPECT_NE(send_raw("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'))
                .find("413"),
            std::string::npos);
  EXPECT_NE(send_raw("GET /" + std::string(600, 'x') + " HTTP/1.1\r\n\r\n").find("413"),
            std::string::npos);
  EXPECT_EQ(handled, 0);
}

TEST_F(HttpLoopback, CountsOversizedRequestsWithTargetAndPeer) {
  limits.max_body_bytes = 1000;
  serve();
  send_raw("POST /in-limit HTTP/1.1\r\nConnection: close\r\nContent-Length: 1000\r\n\r\n" +
           std::string(1000, 'x'));
  EXPECT_EQ(server->oversized_requests().count, 0u);
  send_raw("POST /too-large HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'));
  EXPECT_EQ(server->oversized_requests().count, 1u);
  EXPECT_EQ(server->oversized_requests().latest_target, "/too-large");
  EXPECT_EQ(server->oversized_requests().latest_peer, "127.0.0.1");
}

TEST_F(HttpLoopback, TimesOutSlowRequestsAndIdleConnections) {
  limits.request_timeout_s = 0.05;
  limits.idle_timeout_s = 0.05;
  serve();
  EXPECT_EQ(send_raw("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"), "");
  EXPECT_EQ(send_raw(""), "");
  EXPECT_EQ(handled, 0);
}

// Every further handler costs another poll of all sockets, and on a machine with few cores also
// another wait.
TEST_F(HttpLoopback, RequestOnOpenConnectionRunsOneServerAndTwoClientHandlers) {
  serve();
  asio::io_context client_io;
  HttpClient client(client_io, {"127.0.0.1", server->port()}, 1, 1);
  size_t at_server = 0;
  size_t at_client = 0;
  for (int i = 0; i < 3; ++i) {  // the first one opens the connection
    bool answered = false;
    at_server = at_client = 0;
    client.request("POST", "/a", "body", 5, [&](const HttpResult& r) { answered = r.ok(); });
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!answered && std::chrono::steady_clock::now() < end) {
      at_server += io.poll();
      at_client += client_io.poll();
    }
    at_server += io.poll();
    at_client += client_io.poll();
    ASSERT_TRUE(answered) << "no answer to request " << i << " within 20 s";
  }
  EXPECT_EQ(at_server, 1u);
  EXPECT_LE(at_client, 2u);
}

// With more machines than the server's share of sockets, the last ones to connect found no free
// socket while idle connections stayed open.
TEST_F(HttpLoopback, ClosesLongestIdleConnectionAtLimit) {
  limits.max_connections = 2;
  serve();
  const Endpoint server_address{"127.0.0.1", server->port()};
  HttpClient first(io, server_address, 1, 1);
  HttpClient second(io, server_address, 1, 1);
  HttpClient third(io, server_address, 1, 1);
  EXPECT_TRUE(send_request(first, "/a", "", 2).ok());
  EXPECT_TRUE(send_request(second, "/b", "", 2).ok());
  EXPECT_TRUE(send_request(first, "/a", "", 2).ok());
  EXPECT_TRUE(send_request(third, "/c", "", 2).ok());
  EXPECT_EQ(handled, 4);
  bool unanswered = true;
  first.request("POST", "/never", "", 5, [&](const HttpResult&) { unanswered = false; });
  third.request("POST", "/never", "", 5, [&](const HttpResult&) { unanswered = false; });
  run_until([&] { return handled == 6; });
  EXPECT_FALSE(send_request(second, "/b", "", 1).ok())
      << "busy connections are not closed for new ones";
  EXPECT_TRUE(unanswered);
}

// With more workers than sockets each worker is still answered, some over connections that stay
// open, the others over a connection that is closed after the answer.
TEST_F(HttpLoopback, ServesMorePeersThanConnectionsInTurn) {
  constexpr int kPeers = 40;
  limits.max_connections = 12;
  limits.reserved_refusal_connections = 2;
  limits.max_kept_alive = 8;
  serve();
  std::vector<std::unique_ptr<HttpClient>> peers;
  peers.reserve(kPeers);
  for (int i = 0; i < kPeers; ++i)
    peers.push_back(std::make_unique<HttpClient>(io, Endpoint{"127.0.0.1", server->port()}, 1, 1));
  constexpr int kRounds = 3;
  for (int round = 0; round < kRounds; ++round)
    for (const auto& peer : peers) EXPECT_TRUE(send_request(*peer, "/a", "", 2).ok());
  EXPECT_EQ(handled, kPeers * kRounds);
  EXPECT_LE(server->counts().open, limits.max_kept_alive + 1);
  EXPECT_EQ(server->counts().refused, 0u);
  const size_t peers_without_kept_connection = kPeers - limits.max_kept_alive;
  EXPECT_EQ(server->counts().closed_after_answer, peers_without_kept_connection * kRounds)
      << "kept connections are reused, and none is closed for another peer";
}

// The case of all workers reconnecting at once while some answers are slow.
TEST_F(HttpLoopback, RefusesPeerBeyondLimitWithRetryAfter) {
  limits.max_connections = 4;
  limits.reserved_refusal_connections = 2;
  limits.max_kept_alive = 2;
  serve();
  HttpClient slow(io, {"127.0.0.1", server->port()}, 2, 2);
  occupy_connections(slow, 2);
  const std::string refusal = send_raw("GET /b HTTP/1.1\r\n\r\n");
  EXPECT_NE(refusal.find("503"), std::string::npos);
  EXPECT_NE(refusal.find("Retry-After: 1"), std::string::npos);
  EXPECT_NE(refusal.find("Connection: close"), std::string::npos);
  EXPECT_EQ(handled, 2);
  EXPECT_EQ(server->counts().refused, 1u);
}

TEST_F(HttpLoopback, ClosesConnectionBeyondRefusalLimitAtOnce) {
  limits.max_connections = 2;
  limits.reserved_refusal_connections = 1;
  limits.max_kept_alive = 1;
  serve();
  HttpClient slow(io, {"127.0.0.1", server->port()}, 1, 1);
  occupy_connections(slow, 1);
  tcp::socket silent(io);
  silent.connect({asio::ip::make_address("127.0.0.1"), server->port()});
  run_until([&] { return server->counts().refused == 1; });
  const auto before = std::chrono::steady_clock::now();
  EXPECT_EQ(send_raw("GET /b HTTP/1.1\r\n\r\n"), "");
  EXPECT_LT(std::chrono::steady_clock::now() - before, std::chrono::seconds(2));
  EXPECT_EQ(server->counts().open, limits.max_connections);
}

// Connections of users who have left stay open for minutes; they must not displace those over which
// workers send heartbeats.
TEST_F(HttpLoopback, ClosesStaleConnectionInFavourOfUsedOne) {
  limits.max_connections = 4;
  limits.max_kept_alive = 1;
  limits.stale_after_s = 0.02;
  serve();
  const Endpoint server_address{"127.0.0.1", server->port()};
  HttpClient departed_user(io, server_address, 1, 1);
  HttpClient worker(io, server_address, 1, 1);
  EXPECT_TRUE(send_request(departed_user, "/a", "", 2).ok());
  run_for(std::chrono::milliseconds(60));
  EXPECT_TRUE(send_request(worker, "/b", "", 2).ok());
  EXPECT_EQ(server->counts().closed_after_answer, 0u);
  EXPECT_EQ(server->counts().open, 1u);
  EXPECT_TRUE(send_request(worker, "/b", "", 2).ok());
  EXPECT_EQ(handled, 3);
}

TEST_F(HttpLoopback, ClientTimesOutOnSilentServerAndBoundsItsQueue) {
  serve();
  HttpClient client(io, {"127.0.0.1", server->port()}, 1, 1);
  EXPECT_FALSE(send_request(client, "/never", "", 0.05).answered);
  EXPECT_TRUE(send_request(client, "/a", "", 5).ok()) << "the next request gets a new connection";
  std::vector<bool> answers;
  for (int i = 0; i < 3; ++i)
    client.request("POST", "/a", "", 5,
                   [&](const HttpResult& r) { answers.push_back(r.answered); });
  run_until([&] { return answers.size() == 3; });
  EXPECT_EQ(std::count(answers.begin(), answers.end(), true), 2)
      << "one request in progress, one queued, one refused";
}

TEST_F(HttpLoopback, ClientReconnectsAfterServerClosedConnection) {
  serve();
  HttpClient client(io, {"127.0.0.1", server->port()}, 1, 1);
  EXPECT_TRUE(send_request(client, "/a", "", 5).ok());
  server->close_all();
  EXPECT_TRUE(send_request(client, "/a", "", 5).ok())
      << "a connection that the server closed is not reused";
}

}  // namespace
}  // namespace sumacquay
