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
enum class TxnOutcome {
  Committed,
  Conflict,  ///< a guard failed: nothing was changed
  NoLease,   ///< the lease of a value has ended: nothing was changed
  Refused,   ///< not executed: over a limit, or an outage
  Unknown,   ///< may have been executed, or may still be
};

struct TxnResult {
  TxnOutcome outcome = TxnOutcome::Unknown;
  uint64_t revision = 0;
  std::vector<std::string> failed;
};

/// Who goes first when the state service's limits are near.
enum class Urgency { Leadership, Record, Rest };

/// The state service: transactions, leases, reads and watches within the node's rate budget.
class StoreClient {
 public:
  StoreClient(asio::io_context& io, const Settings& settings);

  void transact(Urgency urgency, std::vector<wire::Guard> guards, std::vector<wire::Change> changes,
                std::function<void(TxnResult)> done);
  void read(Urgency urgency, const std::string& target, HttpDone done);
  void watch(const std::string& target, double wait_s, HttpDone done);
  void grant(double ttl_s, std::function<void(std::optional<uint64_t>)> done);
  enum class Renewal { Renewed, Ended, Failed };
  void renew(uint64_t lease, double deadline_s, std::function<void(Renewal)> done);
  void revoke(uint64_t lease, HttpDone done);

  /// Steady time of the last answer that shows the service serving this node.
  std::chrono::steady_clock::time_point last_served() const { return last_served_; }

 private:
  struct Op {
    std::string method, target, body;
    double writes = 0;
    HttpDone done;
    std::chrono::steady_clock::time_point asked_at{};
  };
  class Bucket {
   public:
    explicit Bucket(double rate) : rate_(rate), burst_(rate), level_(rate) {}
    void refill(double dt) { level_ = std::min(burst_, level_ + rate_ * dt); }
    bool has(double n, double reserve) const { return level_ >= n + reserve * burst_; }
    void take(double n) { level_ -= n; }
    void drain() { level_ = std::min(level_, 0.0); }

   private:
    double rate_, burst_, level_;
  };

  void submit(Urgency urgency, Op op);
  void pump();
  void arm();
  void send(HttpClient& client, Op op);
  void send_again_if_refused(Urgency urgency, Op op);
  HttpDone observe(HttpDone done);

  asio::io_context& io_;
  double deadline_s_;
  HttpClient urgent_, normal_, watches_;
  std::array<std::deque<Op>, 3> queues_;
  Bucket requests_, writes_;
  asio::steady_timer timer_;
  bool timer_armed_ = false;
  std::chrono::steady_clock::time_point refilled_, last_served_;
};

}  // namespace sumacquay
