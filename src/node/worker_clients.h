#pragma once
#include <asio.hpp>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/http.h"

namespace sumacquay {

/// Pool of HTTP clients for workers. Called by the ActionExecutor for commands and probes. Holds at
/// most `limit` clients, so that commands to a large fleet leave sockets for other purposes. A
/// client with a request in flight is never evicted.
class WorkerClients {
 public:
  WorkerClients(asio::io_context& io, size_t limit) : io_(io), limit_(limit) {}
  /// Returns the client for a worker's address; null if the address is invalid, or if the limit is
  /// reached and all clients are busy. At the limit, evicts the least recently used idle client.
  std::shared_ptr<HttpClient> find_or_create(const std::string& address);
  /// Removes all clients from the pool, including busy ones.
  void clear();
  /// Whether the limit is reached and every client has a request in flight.
  bool all_busy() const;
  size_t size() const { return pool_.size(); }

 private:
  /// A client and its worker's address.
  struct PooledClient {
    std::string address;
    std::shared_ptr<HttpClient> client;
  };
  using Pool = std::list<PooledClient>;
  Pool::const_iterator least_recently_used_idle() const;
  bool evict_least_recently_used();

  asio::io_context& io_;
  size_t limit_;
  Pool pool_;  ///< least recently used first
  std::unordered_map<std::string, Pool::iterator> by_address_;
};

}  // namespace sumacquay
