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

/// The client of the state service, which is a consensus-backed key-value store. This module owns
/// the connections to it, the queues of requests and the node's part of the rate limits. It must
/// not know what keys and values mean (see wire/records.h) and does not cache them (see
/// record_cache.h).
namespace sumacquay {

/// What became of a transaction.
enum class TransactionOutcome {
  Committed,
  PreconditionFailed,  ///< nothing was changed
  NoLease,             ///< the lease of a value has ended: nothing was changed
  TooLarge,  ///< without a lease in it: the service's limits are lower now; nothing was changed
  Refused,   ///< not executed: over a limit, or an outage
  Unknown,   ///< may have been executed, or may still be
};

/// The outcome of a transaction and what the store said of it.
struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::Unknown;
  uint64_t revision = 0;            ///< at which it was committed; 0 unless it was
  std::vector<std::string> failed;  ///< keys whose preconditions failed
};

/// Which requests go first when the state service's rate limits are near.
enum class RequestPriority {
  Leadership,  ///< never waits for the budget
  Record,      ///< users and the leader's records wait for it
  Background,  ///< nobody waits for it in particular
};
inline constexpr size_t kPriorities = 3;

/// Transactions, leases, reads and watches within the node's part of the state service's rate
/// limits. RecordCache, ElectionDriver, RecordWriter and Frontend call it.
///
/// The contract of every `done`: it is called exactly once, from the io_context and never from
/// inside the call that it was passed to. It is not called any more once the client is destroyed.
/// A request that was not executed can be told from one that may have been: the former has an
/// answer with an error status, the latter has none (`HttpResult::answered`).
///
/// Not thread-safe: everything happens on the io_context. Durations are in seconds.
class KeyValueStoreClient {
 public:
  KeyValueStoreClient(asio::io_context& io, const Settings& settings);

  /// Makes all mutations if every precondition holds, else none.
  void compare_and_swap(RequestPriority priority,
                        const std::vector<wire::Precondition>& preconditions,
                        const std::vector<wire::Mutation>& mutations,
                        std::function<void(TransactionResult)> done);

  /// Reads a path of wire/store_messages.h. `done` gets status 429 if the queue is full, or if the
  /// service refused the request for its rate until the deadline had passed.
  void read(RequestPriority priority, const std::string& target, HttpDone done);

  /// Asks for changes that the service may wait for as long as `wait_s`. Never waits for the
  /// budget; watches have a connection of their own.
  void watch(const std::string& target, double wait_s, HttpDone done);

  /// Asks for a new lease of this length. `done` gets none if there is no lease, or none that is
  /// known: one that was granted without an answer ends by itself.
  void grant(double ttl_s, std::function<void(std::optional<uint64_t>)> done);

  enum class Renewal {
    Renewed,
    Ended,   ///< the service no longer knows the lease
    Failed,  ///< it may or may not have been renewed
  };
  /// Renews a lease. Never waits for the budget nor in a queue.
  void renew(uint64_t lease, double deadline_s, std::function<void(Renewal)> done);

  /// Ends a lease before its time.
  void revoke(uint64_t lease, HttpDone done);

  /// Steady time of the last answer that shows the service serving this node.
  std::chrono::steady_clock::time_point last_served() const { return last_served_; }

 private:
  /// A request that is sent, or waits for its share of the rate limits.
  struct Request {
    std::string method, target, body;
    double writes = 0;  ///< mutations in it, as the limit on writes counts them
    HttpDone done;
    std::chrono::steady_clock::time_point submitted_at{};
  };

  /// Token bucket that holds one second's worth. It may go below zero: requests of leadership and
  /// large transactions overdraw it.
  class TokenBucket {
   public:
    explicit TokenBucket(double rate) : rate_(rate), burst_(rate), level_(rate) {}
    void refill(double elapsed_s) { level_ = std::min(burst_, level_ + rate_ * elapsed_s); }
    /// Whether `count` can be taken and the `reserve`, a fraction of a burst, still be left.
    bool has(double count, double reserve) const { return level_ >= count + reserve * burst_; }
    void take(double count) { level_ -= count; }
    /// To be called when the service refuses a request: the node's budget was too large.
    void drain() { level_ = std::min(level_, 0.0); }

   private:
    double rate_, burst_, level_;
  };

  /// Puts a request into its queue and sends what the budget allows.
  void submit(RequestPriority priority, Request request);
  void refill_buckets();
  void send_queued();
  bool within_budget(RequestPriority priority, const Request& request) const;
  void send_first(RequestPriority priority);
  void send_queued_later();
  void send(HttpClient& client, Request request);
  void send_until_accepted(RequestPriority priority, Request request);
  std::deque<Request>& queue(RequestPriority priority) {
    return queues_[static_cast<size_t>(priority)];
  }
  /// Wraps a callback so that the answer's status updates the budget and `last_served`.
  HttpDone with_status_tracking(HttpDone done);

  asio::io_context& io_;
  double deadline_s_;
  HttpClient urgent_, normal_, watches_;  ///< pools of their own: none keeps another waiting
  std::array<std::deque<Request>, kPriorities> queues_;
  TokenBucket request_budget_, write_budget_;
  asio::steady_timer queue_timer_;
  bool queue_timer_armed_ = false;
  std::chrono::steady_clock::time_point refilled_at_, last_served_;
};

}  // namespace sumacquay
