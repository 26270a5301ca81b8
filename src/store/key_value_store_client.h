#pragma once
#include <array>
#include <asio.hpp>
#include <deque>
#include <functional>

#include "config/settings.h"
#include "net/http_client.h"
#include "wire/store_messages.h"

namespace sumacquay {

/// What became of a transaction.
enum class TransactionOutcome {
  Committed,
  PreconditionFailed,  ///< a guard failed: nothing was changed
  NoLease,             ///< the lease of a value has ended: nothing was changed
  TooLarge,  ///< without a lease in it: the service's limits are lower now; nothing was changed
  Refused,   ///< not executed: over a limit, or an outage
  Unknown,   ///< may have been executed, or may still be
};

struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::Unknown;
  uint64_t revision = 0;
  std::vector<std::string> failed;  ///< keys whose guards failed
};

/// Who goes first when the state service's limits are near.
enum class RequestPriority { Leadership, Record, Background };
inline constexpr size_t kPriorities = 3;

/// Client of the state service: transactions, leases, reads and watches within the node's part of
/// the service's rate limits. Called by the mirror, the election, the writer of records and the
/// frontend. Guarantees that leadership's requests never wait for the budget, that each `done` is
/// called once and never from inside the call that asked, and that a refused request is told apart
/// from one that may have been executed.
class KeyValueStoreClient {
 public:
  KeyValueStoreClient(asio::io_context& io, const Settings& settings);

  void compare_and_swap(RequestPriority priority,
                        const std::vector<wire::Precondition>& preconditions,
                        const std::vector<wire::Mutation>& changes,
                        std::function<void(TransactionResult)> done);
  void read(RequestPriority priority, const std::string& target, HttpDone done);
  void watch(const std::string& target, double wait_s, HttpDone done);
  void grant(double ttl_s, std::function<void(std::optional<uint64_t>)> done);
  enum class Renewal { Renewed, Ended, Failed };
  void renew(uint64_t lease, double deadline_s, std::function<void(Renewal)> done);
  void revoke(uint64_t lease, HttpDone done);

  /// Steady time of the last answer that shows the service serving this node.
  std::chrono::steady_clock::time_point last_served() const { return last_served_; }

 private:
  struct Request {
    std::string method, target, body;
    double writes = 0;  ///< changes in it, as the limit on writes counts them
    HttpDone done;
    std::chrono::steady_clock::time_point asked_at{};
  };
  /// Token bucket that holds a second's worth. It may go below zero: leadership overdraws it.
  class TokenBucket {
   public:
    explicit TokenBucket(double rate) : rate_(rate), burst_(rate), level_(rate) {}
    void refill(double elapsed_s) { level_ = std::min(burst_, level_ + rate_ * elapsed_s); }
    /// Whether `n` can be taken and this part of a burst still be left.
    bool has(double n, double reserve) const { return level_ >= n + reserve * burst_; }
    void take(double n) { level_ -= n; }
    /// The service has refused a request: the node's budget was too large.
    void drain() { level_ = std::min(level_, 0.0); }

   private:
    double rate_, burst_, level_;
  };

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
  HttpDone observe(HttpDone done);

  asio::io_context& io_;
  double deadline_s_;
  HttpClient urgent_, normal_, watches_;  ///< pools of their own: none keeps another waiting
  std::array<std::deque<Request>, kPriorities> queues_;
  TokenBucket requests_, writes_;
  asio::steady_timer timer_;
  bool timer_armed_ = false;
  std::chrono::steady_clock::time_point refilled_, last_served_;
};

}  // namespace sumacquay
