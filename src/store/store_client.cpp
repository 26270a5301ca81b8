#include "store/store_client.h"

namespace sumacquay {
namespace {

using Clock = std::chrono::steady_clock;

/// A node's part of the service's limits. Bursts come to one node at a time, so the parts add up to
/// more than the whole; 429 empties the node's bucket when they do.
constexpr double kShare = 0.85;
constexpr size_t kMostQueued = 2000;
/// The part of a burst that less urgent requests leave alone.
constexpr std::array<double, 3> kReserve{0.0, 0.1, 0.3};

}  // namespace

StoreClient::StoreClient(asio::io_context& io, const Settings& s)
    : io_(io),
      deadline_s_(s.lease_s * 0.15),
      urgent_(io, s.state, 3, 16),
      normal_(io, s.state, 8, kMostQueued),
      watches_(io, s.state, 2, 4),
      requests_(s.state_rps * kShare),
      writes_(s.state_write_rps * kShare),
      timer_(io),
      refilled_(Clock::now()),
      last_served_(Clock::now()) {}

HttpDone StoreClient::observe(HttpDone done) {
  return [this, done = std::move(done)](HttpResult r) {
    if (r.answered && r.status == 429) requests_.drain();
    if (r.answered && r.status != 503 && r.status != 429) last_served_ = Clock::now();
    done(std::move(r));
  };
}

void StoreClient::send(HttpClient& client, Op op) {
  client.request(op.method, op.target, std::move(op.body), deadline_s_,
                 observe(std::move(op.done)));
}

/// A request over the limit was not executed: it waits for the budget instead of failing, which
/// would cost a user a second and more.
void StoreClient::send_again_if_refused(Urgency urgency, Op op) {
  Op copy = op;
  copy.done = [this, urgency, op = std::move(op)](HttpResult r) {
    const std::chrono::duration<double> age = Clock::now() - op.asked_at;
    if (!r.answered || r.status != 429 || age.count() > deadline_s_) return op.done(std::move(r));
    queues_[static_cast<size_t>(urgency)].push_front(op);
    arm();
  };
  send(normal_, std::move(copy));
}

void StoreClient::submit(Urgency urgency, Op op) {
  auto& queue = queues_[static_cast<size_t>(urgency)];
  if (queue.size() >= kMostQueued) {
    HttpResult refused;
    refused.answered = true;
    refused.status = 429;
    asio::post(io_, [done = std::move(op.done), refused] { done(refused); });
    return;
  }
  op.asked_at = Clock::now();
  queue.push_back(std::move(op));
  pump();
}

void StoreClient::pump() {
  const auto now = Clock::now();
  const double dt = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  requests_.refill(dt);
  writes_.refill(dt);
  for (size_t u = 0; u < queues_.size(); ++u) {
    auto& queue = queues_[u];
    while (!queue.empty()) {
      // Leadership never waits for the budget: a renewal that comes late costs far more than a 429.
      const bool urgent = u == 0;
      const double writes = queue.front().writes;
      if (!urgent && (!requests_.has(1, kReserve[u]) ||
                      (writes > 0 && !writes_.has(std::min(writes, 1.0), 0))))
        break;
      requests_.take(1);
      writes_.take(writes);
      Op op = std::move(queue.front());
      queue.pop_front();
      if (urgent)
        send(urgent_, std::move(op));
      else
        send_again_if_refused(static_cast<Urgency>(u), std::move(op));
    }
  }
  if (!queues_[1].empty() || !queues_[2].empty()) arm();
}

void StoreClient::arm() {
  if (timer_armed_) return;
  timer_armed_ = true;
  timer_.expires_after(std::chrono::milliseconds(10));
  timer_.async_wait([this](auto error) {
    timer_armed_ = false;
    if (!error) pump();
  });
}

void StoreClient::transact(Urgency urgency, std::vector<wire::Guard> guards,
                           std::vector<wire::Change> changes, std::function<void(TxnResult)> done) {
  Op op{"POST", wire::path::kTransaction, wire::transaction_body(guards, changes),
        static_cast<double>(changes.size()), nullptr};
  op.done = [done = std::move(done)](HttpResult r) {
    TxnResult out;
    if (!r.answered) return done(out);
    const auto revision = wire::parse_revision(r.body);
    switch (r.status) {
      case 200:
        out.outcome = revision ? TxnOutcome::Committed : TxnOutcome::Unknown;
        out.revision = revision.value_or(0);
        break;
      case 409:
        out.outcome = TxnOutcome::Conflict;
        out.failed = wire::parse_failed(r.body);
        break;
      case 400:
        out.outcome = TxnOutcome::NoLease;
        break;
      default:
        out.outcome = TxnOutcome::Refused;
    }
    done(std::move(out));
  };
  submit(urgency, std::move(op));
}

void StoreClient::read(Urgency urgency, const std::string& target, HttpDone done) {
  submit(urgency, Op{"GET", target, {}, 0, std::move(done)});
}

void StoreClient::watch(const std::string& target, double wait_s, HttpDone done) {
  requests_.take(1);
  watches_.request("GET", target, {}, wait_s + deadline_s_, observe(std::move(done)));
}

void StoreClient::grant(double ttl_s, std::function<void(std::optional<uint64_t>)> done) {
  submit(Urgency::Leadership,
         Op{"POST", wire::path::kGrants, wire::grant_body(static_cast<uint64_t>(ttl_s * 1000)), 0,
            [done = std::move(done)](HttpResult r) {
              done(r.ok() ? wire::parse_lease(r.body) : std::nullopt);
            }});
}

void StoreClient::renew(uint64_t lease, double deadline_s, std::function<void(Renewal)> done) {
  requests_.take(1);
  urgent_.request("POST", wire::renew_path(lease), {}, deadline_s,
                  observe([done = std::move(done)](HttpResult r) {
                    if (r.ok()) return done(Renewal::Renewed);
                    done(r.answered && r.status == 404 ? Renewal::Ended : Renewal::Failed);
                  }));
}

void StoreClient::revoke(uint64_t lease, HttpDone done) {
  submit(Urgency::Leadership, Op{"DELETE", wire::grant_path(lease), {}, 0, std::move(done)});
}

}  // namespace sumacquay
