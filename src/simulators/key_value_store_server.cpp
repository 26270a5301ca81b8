#include "simulators/key_value_store_server.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "node/steady_time.h"
#include "simulators/messages.h"

namespace sumacquay::simulators {
namespace {

constexpr Seconds kRateLimitBurst = 1;
constexpr size_t kMaxLogChanges = 10000;
constexpr size_t kMaxPageItems = 1000;
constexpr size_t kMaxPageBytes = size_t{512} * 1024;
constexpr Seconds kMaxWatchWait = 60;
constexpr Seconds kTickInterval = 0.05;
constexpr size_t kMaxConnections = 2000;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;

HttpLimits server_limits() {
  HttpLimits limits;
  limits.max_connections = kMaxConnections;
  limits.max_body_bytes = size_t{128} * 1024;
  return limits;
}

uint64_t parse_number(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

StoredChange to_stored_change(const KeyValueStore<std::string>::Change& change) {
  return {change.key, change.deletes() ? std::string() : *change.value, change.lease,
          change.version};
}

std::string key_in_path(const HttpRequest& request) {
  const std::string prefix = std::string(wire::path::kStore) + "/";
  return request.path.substr(std::min(prefix.size(), request.path.size()));
}

}  // namespace

KeyValueStoreServer::KeyValueStoreServer(asio::io_context& io, const Endpoint& endpoint,
                                         KeyValueStoreServerOptions options)
    : io_(io),
      options_(options),
      request_limit_(options.requests_per_s, kRateLimitBurst),
      write_limit_(options.writes_per_s, kRateLimitBurst),
      timer_(io),
      server_(io, endpoint, server_limits(),
              [this](const HttpRequest& request, const Respond& respond) {
                handle(request, respond);
              }) {
  on_tick();
}

std::optional<std::string> KeyValueStoreServer::value(const std::string& key) const {
  const auto* item = store_.find(key);
  if (!item) return std::nullopt;
  return *item->value;
}

void KeyValueStoreServer::handle(const HttpRequest& request, const Respond& respond) {
  ++counts_.requests;
  counts_.bytes_in += request.body.size();
  if (!request_limit_.try_acquire(1, steady_now())) {
    ++counts_.refused;
    return send_delayed(respond, {kTooManyRequests, {}, 0});
  }
  if (request.path == wire::path::kChanges) return add_watch(request, respond);
  send_delayed(respond, route(request));
  answer_due_watches();
}

HttpReply KeyValueStoreServer::route(const HttpRequest& request) {
  if (request.path == wire::path::kTransaction) return compare_and_swap(request);
  if (request.path == wire::path::kStore) return list_page(request);
  if (request.path.starts_with(wire::path::kStore)) return read(request);
  if (request.path.starts_with(wire::path::kLeases)) return handle_lease_request(request);
  return {kNotFound, {}, 0};
}

HttpReply KeyValueStoreServer::compare_and_swap(const HttpRequest& request) {
  const auto transaction = parse_transaction(request.body);
  if (!transaction) return {kBadRequest, {}, 0};
  const auto writes = static_cast<double>(transaction->mutations.size());
  if (!write_limit_.try_acquire(writes, steady_now())) {
    ++counts_.refused;
    return {kTooManyRequests, {}, 0};
  }
  counts_.writes += transaction->mutations.size();
  std::vector<Store::Change> changes;
  for (const auto& change : transaction->mutations)
    changes.push_back(change.value.empty() ? Store::remove(change.key)
                                           : Store::put(change.key, change.value, change.lease));
  if (!store_.leases_alive(changes)) return {kBadRequest, wire::error_body("no such lease"), 0};
  const auto revision = store_.compare_and_swap(transaction->preconditions, std::move(changes));
  if (!revision)
    return {
        kConflict,
        conflict_body(store_.failed_preconditions(transaction->preconditions), store_.revision()),
        0};
  store_.trim_log(kMaxLogChanges);
  return {kOk, revision_body(*revision), 0};
}

HttpReply KeyValueStoreServer::read(const HttpRequest& request) const {
  const auto* item = store_.find(key_in_path(request));
  if (!item) return {kNotFound, revision_body(store_.revision()), 0};
  return {kOk, item_body(to_stored_change(*item)), 0};
}

HttpReply KeyValueStoreServer::list_page(const HttpRequest& request) const {
  const std::string prefix = query_parameter(request.query, "under");
  const std::string after = query_parameter(request.query, "after");
  const uint64_t requested_limit = parse_number(query_parameter(request.query, "most"));
  const size_t limit =
      requested_limit ? std::min<size_t>(requested_limit, kMaxPageItems) : kMaxPageItems;
  std::vector<StoredChange> items;
  size_t bytes = 0;
  auto item =
      after < prefix ? store_.items().lower_bound(prefix) : store_.items().upper_bound(after);
  for (; item != store_.items().end() && item->first.starts_with(prefix); ++item) {
    if (items.size() == limit || bytes > kMaxPageBytes)
      return {kOk, items_body(items, true, store_.revision()), 0};
    items.push_back(to_stored_change(item->second));
    bytes += item->first.size() + item->second.value->size();
  }
  return {kOk, items_body(items, false, store_.revision()), 0};
}

HttpReply KeyValueStoreServer::handle_lease_request(const HttpRequest& request) {
  const std::string prefix = std::string(wire::path::kLeases) + "/";
  if (request.path == wire::path::kLeases) {
    const auto duration = parse_lease_duration_s(request.body);
    if (!duration) return {kBadRequest, {}, 0};
    return {kOk, lease_body(store_.grant_lease(steady_now(), *duration)), 0};
  }
  const uint64_t lease = parse_number(request.path.substr(prefix.size()));
  if (request.method == "DELETE") {
    store_.revoke_lease(lease);
    return {kOk, lease_body(lease), 0};
  }
  const bool renewed = store_.renew_lease(lease, steady_now());
  return {renewed ? kOk : kNotFound, lease_body(lease), 0};
}

void KeyValueStoreServer::add_watch(const HttpRequest& request, const Respond& respond) {
  constexpr double kMillisecondsPerSecond = 1000;
  const auto wait_ms =
      static_cast<double>(parse_number(query_parameter(request.query, "block_ms")));
  const Seconds wait = std::min(wait_ms / kMillisecondsPerSecond, kMaxWatchWait);
  Watch watch{query_parameter(request.query, "under"),
              parse_number(query_parameter(request.query, "after")), steady_now() + wait, respond};
  if (wait <= 0 || has_changes(watch)) return send_delayed(respond, changes_reply(watch));
  watches_.push_back(std::move(watch));
}

HttpReply KeyValueStoreServer::changes_reply(const Watch& watch) const {
  if (!store_.log_covers(watch.after_revision)) return {kGone, {}, 0};
  std::vector<StoredChange> matching;
  for (const auto& change : store_.changes_after(watch.after_revision))
    if (change.key.starts_with(watch.prefix)) matching.push_back(to_stored_change(change));
  return {kOk, changes_body(matching, store_.revision()), 0};
}

bool KeyValueStoreServer::has_changes(const Watch& watch) const {
  if (!store_.log_covers(watch.after_revision)) return true;
  const auto changes = store_.changes_after(watch.after_revision);
  return std::any_of(changes.begin(), changes.end(), [&](const Store::Change& change) {
    return change.key.starts_with(watch.prefix);
  });
}

void KeyValueStoreServer::answer_due_watches() {
  const Seconds now = steady_now();
  watches_.remove_if([&](const Watch& watch) {
    if (now < watch.ends_at && (watch.after_revision >= store_.revision() || !has_changes(watch)))
      return false;
    send_delayed(watch.respond, changes_reply(watch));
    return true;
  });
}

void KeyValueStoreServer::send_delayed(const Respond& respond, HttpReply reply) {
  auto timer = std::make_shared<asio::steady_timer>(io_, to_microseconds(options_.latency_s));
  timer->async_wait([this, timer, respond, reply = std::move(reply)](auto error) {
    if (!error) send(respond, reply);
  });
}

void KeyValueStoreServer::send(const Respond& respond, const HttpReply& reply) {
  counts_.bytes_out += reply.body.size();
  respond(reply);
}

void KeyValueStoreServer::on_tick() {
  store_.expire_leases(steady_now());
  answer_due_watches();
  timer_.expires_after(to_microseconds(kTickInterval));
  timer_.async_wait([this](auto error) {
    if (!error) on_tick();
  });
}

}  // namespace sumacquay::simulators
