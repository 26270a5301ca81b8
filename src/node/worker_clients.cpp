#include "node/worker_clients.h"

#include <spdlog/spdlog.h>

#include <charconv>
#include <optional>

namespace sumacquay {
namespace {

/// A worker gets one order at a time; the few more that may meet wait for the connection.
constexpr size_t kConnectionsPerWorker = 1;
constexpr size_t kQueuedPerWorker = 4;

/// An IP address and a port.
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

std::shared_ptr<HttpClient> WorkerClients::find_or_open(const std::string& address, Seconds now) {
  const auto known = clients_.find(address);
  if (known != clients_.end()) {
    known->second.used = now;
    return known->second.client;
  }
  if (clients_.size() >= limit_ && !drop_longest_unused()) return nullptr;
  const auto endpoint = parse_address(address);
  if (!endpoint) {
    spdlog::error("a worker has no usable address: {}", address);
    return nullptr;
  }
  auto client =
      std::make_shared<HttpClient>(io_, *endpoint, kConnectionsPerWorker, kQueuedPerWorker);
  clients_[address] = {client, now};
  return client;
}

/// False: all are busy.
bool WorkerClients::drop_longest_unused() {
  auto oldest = clients_.end();
  for (auto it = clients_.begin(); it != clients_.end(); ++it) {
    if (it->second.client->in_progress() > 0) continue;
    if (oldest == clients_.end() || it->second.used < oldest->second.used) oldest = it;
  }
  if (oldest == clients_.end()) return false;
  clients_.erase(oldest);
  return true;
}

}  // namespace sumacquay
