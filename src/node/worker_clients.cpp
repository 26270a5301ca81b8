#include "node/worker_clients.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// A worker is sent one batch of commands at a time; requests that overlap with it are queued.
constexpr size_t kConnectionsPerWorker = 1;
constexpr size_t kMaxQueuedRequestsPerWorker = 4;

/// Parses an IP address and a port; nothing if either is invalid.
std::optional<Endpoint> parse_address(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  Endpoint endpoint;
  endpoint.host = address.substr(0, colon);
  asio::error_code not_an_ip_address;
  asio::ip::make_address(endpoint.host, not_an_ip_address);
  const char* const end = address.data() + address.size();
  const auto port = std::from_chars(address.data() + colon + 1, end, endpoint.port);
  const bool valid_port = port.ec == std::errc() && port.ptr == end && endpoint.port > 0;
  if (not_an_ip_address || !valid_port) return std::nullopt;
  return endpoint;
}

}  // namespace

std::shared_ptr<HttpClient> WorkerClients::find_or_create(const std::string& address) {
  const auto found = by_address_.find(address);
  if (found != by_address_.end()) {
    pool_.splice(pool_.end(), pool_, found->second);
    return found->second->client;
  }
  if (pool_.size() >= limit_ && !evict_least_recently_used()) return nullptr;
  const auto endpoint = parse_address(address);
  if (!endpoint) {
    log_error("worker_address_unusable", log_field("address", address));
    return nullptr;
  }
  auto client = std::make_shared<HttpClient>(io_, *endpoint, kConnectionsPerWorker,
                                             kMaxQueuedRequestsPerWorker);
  by_address_[address] = pool_.insert(pool_.end(), {address, client});
  return client;
}

bool WorkerClients::all_busy() const {
  return pool_.size() >= limit_ && least_recently_used_idle() == pool_.end();
}

void WorkerClients::clear() {
  by_address_.clear();
  pool_.clear();
}

/// Returns the least recently used client that is idle, or the end if all are busy. Stops at the
/// first match, since visiting thousands of clients per command would cost more than the command.
WorkerClients::Pool::const_iterator WorkerClients::least_recently_used_idle() const {
  return std::find_if(pool_.begin(), pool_.end(),
                      [](const PooledClient& pooled) { return pooled.client->in_progress() == 0; });
}

bool WorkerClients::evict_least_recently_used() {
  const auto idle = least_recently_used_idle();
  if (idle == pool_.end()) return false;
  by_address_.erase(idle->address);
  pool_.erase(idle);
  return true;
}

}  // namespace sumacquay
