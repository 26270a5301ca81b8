#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "deployment.h"
#include "simulators/token_bucket.h"
#include "wire/json_size.h"
#include "wire/messages.h"
#include "wire/view.h"

namespace review {

/// Stands before the project's stand-in for the key-value store and keeps to the limits of the
/// pages on transactions, which that one does not check: size of a value, changes, conditions and
/// the size in total. The limits can be lowered while it runs.
class StateProxy {
 public:
  struct Limits {
    double value_kb = 8;
    size_t txn_ops = 24;
    double write_rps = 30;
  };
  /// What the proxy does with a request.
  struct Fate {
    std::optional<sumacquay::HttpReply> reply;  ///< answered so, and not passed on
  };
  using Judge = std::function<Fate(const sumacquay::HttpRequest&)>;

  StateProxy(asio::io_context& io, const Endpoint& listen, const Endpoint& store, Limits limits)
      : client_(io, store, 200, 100000),
        writes_(limits.write_rps, 1),
        limits_(limits),
        server_(io, listen, server_limits(),
                [this](const sumacquay::HttpRequest& request, sumacquay::Respond respond) {
                  handle(request, std::move(respond));
                }) {}

  void set_limits(Limits limits) {
    limits_ = limits;
    writes_ = sumacquay::simulators::TokenBucket(limits.write_rps, 1);
  }
  void set_judge(Judge judge) { judge_ = std::move(judge); }
  size_t too_large() const { return too_large_; }

 private:
  static sumacquay::HttpLimits server_limits() {
    sumacquay::HttpLimits limits;
    limits.max_connections = 2000;
    limits.max_kept_alive = 2000;
    limits.max_body_bytes = 256 * 1024;
    return limits;
  }

  bool within_limits(const std::string& body) const {
    const auto transaction = sumacquay::simulators::parse_transaction(body);
    if (!transaction) return true;
    if (transaction->mutations.size() > limits_.txn_ops) return false;
    if (transaction->preconditions.size() > 4 * limits_.txn_ops) return false;
    for (const auto& mutation : transaction->mutations) {
      if (mutation.value.empty()) continue;
      const auto value = sumacquay::wire::Document::parse(mutation.value);
      if (value &&
          static_cast<double>(sumacquay::wire::json_size(value->root())) > limits_.value_kb * 1024)
        return false;
    }
    const auto whole = sumacquay::wire::Document::parse(body);
    return !whole || sumacquay::wire::json_size(whole->root()) <= 64 * 1024;
  }

  void handle(const sumacquay::HttpRequest& request, sumacquay::Respond respond) {
    if (judge_) {
      const Fate fate = judge_(request);
      if (fate.reply) return respond(*fate.reply);
    }
    if (request.path == "/multi") {
      if (!within_limits(request.body)) {
        ++too_large_;
        return respond({400, sumacquay::wire::error_body("too large"), 0});
      }
      const auto transaction = sumacquay::simulators::parse_transaction(request.body);
      const auto count = transaction ? static_cast<double>(transaction->mutations.size()) : 0.0;
      if (!writes_.try_acquire(count, steady_now())) return respond({429, {}, 0});
    }
    std::string target = request.path;
    if (!request.query.empty()) target += "?" + request.query;
    client_.request(request.method, target, request.body, 70,
                    [respond](const sumacquay::HttpResult& result) {
                      respond({result.answered ? result.status : 503, result.body, 0});
                    });
  }

  sumacquay::HttpClient client_;
  sumacquay::simulators::TokenBucket writes_;
  Limits limits_;
  Judge judge_;
  size_t too_large_ = 0;
  sumacquay::HttpServer server_;
};

}  // namespace review
