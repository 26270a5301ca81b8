#pragma once
#include <algorithm>
#include <array>
#include <asio.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "net/http_client.h"
#include "wire/store_messages.h"

/// Client of the consensus-backed key-value store. This module owns the connections to the store,
/// the request queues and the node's share of the rate limits. Keys and values are opaque to it
/// (see wire/records.h for their encoding, record_cache.h for caching).
namespace sumacquay {

/// Outcome of a transaction.
enum class TransactionOutcome {
  Committed,
  PreconditionFailed,  ///< not committed
  NoLease,             ///< not committed: the lease of a value has expired
  /// Not committed: exceeds a limit of the store. Transactions keep to the limits in the settings,
  /// so the store's limits have been lowered. Only for transactions without a lease.
  TooLarge,
  Refused,  ///< not executed: rate limited, or the store is unavailable
  Unknown,  ///< no conclusive response: may have been committed, or may be committed later
};

/// Outcome of a transaction, with the details from the store's response.
struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::Unknown;
  uint64_t revision = 0;            ///< of the commit; 0 if not committed
  std::vector<std::string> failed;  ///< keys whose preconditions failed
};

/// Order in which requests are sent when the node is close to the store's rate limits.
enum class RequestPriority {
  Leadership,  ///< bypasses the budget
  Record,      ///< writes of records, including submissions, and the reads of a load
  Background,  ///< read barriers, lookups of finished jobs and probes of the store
};
inline constexpr size_t kPriorities = 3;

/// Sends transactions, lease requests, reads and watches within the node's share of the store's
/// rate limits. Used by RecordCache, ElectionDriver, RecordWriter and Frontend.
///
/// Every `done` callback is called exactly once, from the io_context and never from inside the call
/// that it was passed to, unless the client is destroyed first. A response with an error status
/// means that the request was not executed; without a response (`HttpResult::answered` is false)
/// it may have been.
///
/// Not thread-safe: all calls and callbacks run on the io_context. Durations are in seconds.
class KeyValueStoreClient {
 public:
  KeyValueStoreClient(asio::io_context& io, const Settings& settings);

  /// Applies all mutations atomically if every precondition holds, else none.
  void compare_and_swap(RequestPriority priority,
                        const std::vector<wire::Precondition>& preconditions,
                        const std::vector<wire::Mutation>& mutations,
                        std::function<void(TransactionResult)> done);

  /// Reads a path built by wire/store_messages.h. `done` gets status 429 if the queue is full, or
  /// if the store rate-limited the request until its deadline.
  void read(RequestPriority priority, const std::string& target, HttpCallback done);

  /// Long-polls for changes; the store may hold the request for up to `wait_s`. Bypasses the budget
  /// and uses separate connections.
  void watch(const std::string& target, double wait_s, HttpCallback done);

  /// Requests a new lease with this time to live. `done` gets none if the request failed; a lease
  /// that was granted although the response was lost expires on its own.
  void grant_lease(double ttl_s, std::function<void(std::optional<uint64_t>)> done);

  enum class Renewal {
    Renewed,
    Ended,   ///< the lease has expired or was revoked
    Failed,  ///< no usable response: the lease may or may not have been renewed
  };
  /// Renews a lease. Bypasses the budget and the request queues.
  void renew_lease(uint64_t lease, double timeout_s, std::function<void(Renewal)> done);

  /// Revokes a lease before it expires.
  void revoke_lease(uint64_t lease, HttpCallback done);

  /// Steady time of the last response that shows that the store serves this node, that is, any
  /// response with a status other than 429 and 503.
  std::chrono::steady_clock::time_point last_available_at() const { return last_available_at_; }

 private:
  /// A request that is queued or in flight.
  struct Request {
    std::string method, target, body;
    double writes = 0;  ///< number of mutations, which count against the write limit
    HttpCallback done;
    std::chrono::steady_clock::time_point submitted_at{};
  };

  /// Token bucket with a burst of one second's worth of tokens. The level may become negative:
  /// leadership requests, watches and large transactions overdraw it.
  class TokenBucket {
   public:
    explicit TokenBucket(double rate) : rate_(rate), burst_(rate), tokens_(rate) {}
    void refill(double elapsed_s) { tokens_ = std::min(burst_, tokens_ + rate_ * elapsed_s); }
    /// Whether `count` tokens are available on top of `reserve`, a fraction of the burst.
    bool has_tokens(double count, double reserve) const {
      return tokens_ >= count + reserve * burst_;
    }
    void take(double count) { tokens_ -= count; }
    /// Empties the bucket after a 429 response, which shows that the budget was too large.
    void drain() { tokens_ = std::min(tokens_, 0.0); }

   private:
    double rate_, burst_, tokens_;
  };

  /// Queues a request and sends as many queued requests as the budget allows.
  void submit(RequestPriority priority, Request request);
  void refill_buckets();
  void send_queued();
  bool within_budget(RequestPriority priority, const Request& request) const;
  void send_next(RequestPriority priority);
  void schedule_send_queued();
  void send(HttpClient& client, Request request);
  void send_with_rate_limit_retries(RequestPriority priority, Request request);
  std::deque<Request>& queue(RequestPriority priority) {
    return queues_[static_cast<size_t>(priority)];
  }
  /// Wraps a callback so that the response status updates the budget and last_available_at().
  HttpCallback with_status_tracking(HttpCallback done);

  asio::io_context& io_;
  double request_timeout_s_;
  /// Separate connection pools, so that none delays another.
  HttpClient urgent_client_, normal_client_, watch_client_;
  std::array<std::deque<Request>, kPriorities> queues_;
  TokenBucket request_budget_, write_budget_;
  asio::steady_timer queue_timer_;
  bool queue_timer_armed_ = false;
  std::chrono::steady_clock::time_point refilled_at_, last_available_at_;
};

}  // namespace sumacquay
