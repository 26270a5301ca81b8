#include "store/key_value_store_client.h"

#include <algorithm>

#include "config/socket_budget.h"

namespace sumacquay {
namespace {

using Clock = std::chrono::steady_clock;

/// A node's part of the service's limits. Bursts come to one node at a time, so the parts add up to
/// more than the whole; 429 empties the node's bucket when they do.
constexpr double kBudgetShare = 0.85;
constexpr size_t kQueueLimit = 2000;
/// How long requests wait until the budget is looked at again.
constexpr std::chrono::milliseconds kQueuePause{10};
/// How long the service has to answer / the workers' lease.
constexpr double kDeadlineLeaseShare = 0.15;
/// The part of a burst that less urgent requests leave alone.
constexpr std::array<double, kPriorities> kReserve{0.0, 0.1, 0.3};

constexpr size_t kUrgentQueued = 16;
constexpr size_t kWatchQueued = 4;

constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

TransactionResult read_transaction_answer(const HttpResult& answer, bool with_lease) {
  TransactionResult result;
  if (!answer.answered) return result;
  const auto revision = wire::parse_revision(answer.body);
  switch (answer.status) {
    case 200:
      result.outcome = revision ? TransactionOutcome::Committed : TransactionOutcome::Unknown;
      result.revision = revision.value_or(0);
      break;
    case 409:
      result.outcome = TransactionOutcome::PreconditionFailed;
      result.failed = wire::parse_failed(answer.body);
      break;
    case 400:
      result.outcome = with_lease ? TransactionOutcome::NoLease : TransactionOutcome::TooLarge;
      break;
    default:
      result.outcome = TransactionOutcome::Refused;
  }
  return result;
}

}  // namespace

KeyValueStoreClient::KeyValueStoreClient(asio::io_context& io, const Settings& s)
    : io_(io),
      deadline_s_(s.lease_s * kDeadlineLeaseShare),
      urgent_(io, s.state, fixed_sockets::kUrgentStateConnections, kUrgentQueued),
      normal_(io, s.state, fixed_sockets::kStateConnections, kQueueLimit),
      watches_(io, s.state, fixed_sockets::kWatchConnections, kWatchQueued),
      requests_(s.state_rps * kBudgetShare),
      writes_(s.state_write_rps * kBudgetShare),
      timer_(io),
      refilled_(Clock::now()),
      last_served_(Clock::now()) {}

HttpDone KeyValueStoreClient::observe(HttpDone done) {
  return [this, done = std::move(done)](HttpResult r) {
    if (r.answered && r.status == kStatusTooManyRequests) requests_.drain();
    if (r.answered && r.status != kStatusUnavailable && r.status != kStatusTooManyRequests)
      last_served_ = Clock::now();
    done(std::move(r));
  };
}

void KeyValueStoreClient::send(HttpClient& client, Request request) {
  client.request(request.method, request.target, request.body, deadline_s_,
                 observe(std::move(request.done)));
}

/// A request over the limit was not executed: it waits for the budget instead of failing, which
/// would cost a user a second and more.
void KeyValueStoreClient::send_until_accepted(RequestPriority priority, Request request) {
  Request attempt = request;
  attempt.done = [this, priority, request = std::move(request)](HttpResult result) {
    const std::chrono::duration<double> age = Clock::now() - request.asked_at;
    const bool refused = result.answered && result.status == kStatusTooManyRequests;
    if (!refused || age.count() > deadline_s_) return request.done(std::move(result));
    queue(priority).push_front(request);
    send_queued_later();
  };
  send(normal_, std::move(attempt));
}

void KeyValueStoreClient::submit(RequestPriority priority, Request request) {
  if (queue(priority).size() >= kQueueLimit) {
    HttpResult refused;
    refused.answered = true;
    refused.status = kStatusTooManyRequests;
    asio::post(io_, [done = std::move(request.done), refused] { done(refused); });
    return;
  }
  request.asked_at = Clock::now();
  queue(priority).push_back(std::move(request));
  send_queued();
}

void KeyValueStoreClient::refill_buckets() {
  const auto now = Clock::now();
  const double elapsed_s = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  requests_.refill(elapsed_s);
  writes_.refill(elapsed_s);
}

/// LeaderElection never waits for the budget: a renewal that comes late costs far more than a 429.
bool KeyValueStoreClient::within_budget(RequestPriority priority, const Request& request) const {
  if (priority == RequestPriority::Leadership) return true;
  if (!requests_.has(1, kReserve[static_cast<size_t>(priority)])) return false;
  // One write in the budget is enough for a transaction of several, which overdraws it.
  return request.writes <= 0 || writes_.has(std::min(request.writes, 1.0), 0);
}

void KeyValueStoreClient::send_first(RequestPriority priority) {
  Request request = std::move(queue(priority).front());
  queue(priority).pop_front();
  requests_.take(1);
  writes_.take(request.writes);
  if (priority == RequestPriority::Leadership)
    send(urgent_, std::move(request));
  else
    send_until_accepted(priority, std::move(request));
}

void KeyValueStoreClient::send_queued() {
  refill_buckets();
  for (const RequestPriority priority :
       {RequestPriority::Leadership, RequestPriority::Record, RequestPriority::Background})
    while (!queue(priority).empty() && within_budget(priority, queue(priority).front()))
      send_first(priority);
  if (!queue(RequestPriority::Record).empty() || !queue(RequestPriority::Background).empty())
    send_queued_later();
}

void KeyValueStoreClient::send_queued_later() {
  if (timer_armed_) return;
  timer_armed_ = true;
  timer_.expires_after(kQueuePause);
  timer_.async_wait([this](auto error) {
    timer_armed_ = false;
    if (!error) send_queued();
  });
}

void KeyValueStoreClient::compare_and_swap(RequestPriority priority,
                                           const std::vector<wire::Precondition>& preconditions,
                                           const std::vector<wire::Mutation>& changes,
                                           std::function<void(TransactionResult)> done) {
  Request request{"POST", wire::path::kTransaction, wire::transaction_body(preconditions, changes),
                  static_cast<double>(changes.size()), nullptr};
  const bool with_lease =
      std::any_of(changes.begin(), changes.end(),
                  [](const wire::Mutation& change) { return change.lease != 0; });
  request.done = [done = std::move(done), with_lease](const HttpResult& result) {
    done(read_transaction_answer(result, with_lease));
  };
  submit(priority, std::move(request));
}

void KeyValueStoreClient::read(RequestPriority priority, const std::string& target, HttpDone done) {
  submit(priority, Request{"GET", target, {}, 0, std::move(done)});
}

void KeyValueStoreClient::watch(const std::string& target, double wait_s, HttpDone done) {
  requests_.take(1);
  watches_.request("GET", target, {}, wait_s + deadline_s_, observe(std::move(done)));
}

void KeyValueStoreClient::grant(double ttl_s, std::function<void(std::optional<uint64_t>)> done) {
  submit(RequestPriority::Leadership,
         Request{"POST", wire::path::kGrants, wire::grant_body(static_cast<uint64_t>(ttl_s * 1000)),
                 0, [done = std::move(done)](const HttpResult& r) {
                   done(r.ok() ? wire::parse_lease(r.body) : std::nullopt);
                 }});
}

void KeyValueStoreClient::renew(uint64_t lease, double deadline_s,
                                std::function<void(Renewal)> done) {
  requests_.take(1);
  urgent_.request("POST", wire::renew_path(lease), {}, deadline_s,
                  observe([done = std::move(done)](const HttpResult& r) {
                    if (r.ok()) return done(Renewal::Renewed);
                    done(r.answered && r.status == 404 ? Renewal::Ended : Renewal::Failed);
                  }));
}

void KeyValueStoreClient::revoke(uint64_t lease, HttpDone done) {
  submit(RequestPriority::Leadership,
         Request{"DELETE", wire::grant_path(lease), {}, 0, std::move(done)});
}

}  // namespace sumacquay
