#pragma once
#include <asio.hpp>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/http.h"

namespace sumacquay {

/// HTTP clients for workers, kept for reuse. Called by the ActionExecutor for commands and probes.
/// Guarantees that there are never more than `limit`, so that commands to a large fleet leave
/// sockets for all else, and that a client with a request under way is kept.
class WorkerClients {
 public:
  WorkerClients(asio::io_context& io, size_t limit) : io_(io), limit_(limit) {}
  /// The client for a worker's address, none if the address can't be used or if all clients are
  /// busy. At the limit the idle one that has been unused longest is dropped.
  std::shared_ptr<HttpClient> find_or_open(const std::string& address);
  void clear();
  /// Whether the limit is reached and every client has a request under way.
  bool all_busy() const;
  size_t size() const { return pool_.size(); }

 private:
  /// A client and the address that it is connected to.
  struct PooledClient {
    std::string address;
    std::shared_ptr<HttpClient> client;
  };
  using Pool = std::list<PooledClient>;
  Pool::const_iterator longest_unused() const;
  bool drop_longest_unused();

  asio::io_context& io_;
  size_t limit_;
  Pool pool_;  ///< the longest unused first
  std::unordered_map<std::string, Pool::iterator> by_address_;
};

}  // namespace sumacquay
