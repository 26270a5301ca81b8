#pragma once
#include <asio.hpp>
#include <list>
#include <memory>
#include <string>

#include "config/settings.h"
#include "net/http.h"
#include "simulators/key_value_store.h"
#include "simulators/token_bucket.h"

namespace sumacquay::simulators {

/// Rate limits and latency of the simulated key-value store.
struct KeyValueStoreServerOptions {
  double requests_per_s = 1000;
  double writes_per_s = 120;
  Seconds latency_s = 0.005;  ///< delay of each response
};

/// Counters of the simulated key-value store since its start.
struct KeyValueStoreServerCounts {
  uint64_t requests = 0;
  uint64_t writes = 0;                   ///< puts and deletes
  uint64_t refused = 0;                  ///< rate limited: answered 429
  uint64_t bytes_in = 0, bytes_out = 0;  ///< bodies only
};

/// HTTP server on loopback that simulates the key-value store, with its rate limits: reads, paged
/// lists, transactions, leases and watches. All data is kept in memory; any number of controllers
/// may connect.
class KeyValueStoreServer {
 public:
  KeyValueStoreServer(asio::io_context& io, const Endpoint& endpoint,
                      KeyValueStoreServerOptions options);

  const KeyValueStoreServerCounts& counts() const { return counts_; }
  /// The encoded value of a key; none if the key does not exist.
  std::optional<std::string> value(const std::string& key) const;
  size_t keys() const { return store_.items().size(); }

 private:
  using Store = KeyValueStore<std::string>;
  /// A pending request for the changes after a revision.
  struct Watch {
    std::string prefix;
    uint64_t after_revision = 0;
    Seconds ends_at = 0;
    Respond respond;
  };

  void handle(const HttpRequest& request, const Respond& respond);
  HttpReply route(const HttpRequest& request);
  HttpReply compare_and_swap(const HttpRequest& request);
  HttpReply read(const HttpRequest& request) const;
  HttpReply list_page(const HttpRequest& request) const;
  HttpReply handle_lease_request(const HttpRequest& request);
  void add_watch(const HttpRequest& request, const Respond& respond);
  HttpReply changes_reply(const Watch& watch) const;
  bool has_changes(const Watch& watch) const;
  void answer_due_watches();
  void send_delayed(const Respond& respond, HttpReply reply);
  void send(const Respond& respond, const HttpReply& reply);
  void on_tick();

  asio::io_context& io_;
  KeyValueStoreServerOptions options_;
  Store store_;
  TokenBucket request_limit_, write_limit_;
  KeyValueStoreServerCounts counts_;
  std::list<Watch> watches_;
  asio::steady_timer timer_;
  HttpServer server_;
};

}  // namespace sumacquay::simulators
