#include "store/key_value_store_client.h"

#include <algorithm>

#include "config/socket_budget.h"

namespace sumacquay {
namespace {

using Clock = std::chrono::steady_clock;

/// A node's budget as a fraction of the store's rate limits. The budgets of all nodes add up to
/// more than the limits, because bursts reach one node at a time; a response with status 429 drains
/// the node's bucket.
constexpr double kBudgetFraction = 0.85;
constexpr size_t kMaxQueuedRequests = 2000;
/// Interval at which queued requests are checked against the budget again.
constexpr std::chrono::milliseconds kQueueCheckInterval{10};
/// Request timeout as a fraction of the worker lease.
constexpr double kTimeoutLeaseFraction = 0.15;
/// Fraction of a burst that requests of each priority leave for higher priorities.
constexpr std::array<double, kPriorities> kReservedBurstFraction{0.0, 0.1, 0.3};

constexpr size_t kMaxQueuedUrgentRequests = 16;
constexpr size_t kMaxQueuedWatches = 4;

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

bool rate_limited(const HttpResult& result) {
  return result.answered && result.status == kStatusTooManyRequests;
}

bool unavailable(const HttpResult& result) {
  return result.answered && result.status == kStatusUnavailable;
}

TransactionResult parse_transaction_response(const HttpResult& response, bool with_lease) {
  TransactionResult result;
  if (!response.answered) return result;
  const auto revision = wire::parse_revision(response.body);
  switch (response.status) {
    case kStatusOk:
      result.outcome = revision ? TransactionOutcome::Committed : TransactionOutcome::Unknown;
      result.revision = revision.value_or(0);
      break;
    case kStatusConflict:
      result.outcome = TransactionOutcome::PreconditionFailed;
      result.failed = wire::parse_failed_keys(response.body);
      break;
    case kStatusBadRequest:
      result.outcome = with_lease ? TransactionOutcome::NoLease : TransactionOutcome::TooLarge;
      break;
    default:
      result.outcome = TransactionOutcome::Refused;
  }
  return result;
}

}  // namespace

KeyValueStoreClient::KeyValueStoreClient(asio::io_context& io, const Settings& settings)
    : io_(io),
      request_timeout_s_(settings.lease_s * kTimeoutLeaseFraction),
      urgent_client_(io, settings.state, fixed_sockets::kUrgentStateConnections,
                     kMaxQueuedUrgentRequests),
      normal_client_(io, settings.state, fixed_sockets::kStateConnections, kMaxQueuedRequests),
      watch_client_(io, settings.state, fixed_sockets::kWatchConnections, kMaxQueuedWatches),
      request_budget_(settings.state_rps * kBudgetFraction),
      write_budget_(settings.state_write_rps * kBudgetFraction),
      queue_timer_(io),
      refilled_at_(Clock::now()),
      last_available_at_(Clock::now()) {}

HttpCallback KeyValueStoreClient::with_status_tracking(HttpCallback done) {
  return [this, done = std::move(done)](HttpResult result) {
    if (rate_limited(result)) request_budget_.drain();
    const bool available = result.answered && !unavailable(result) && !rate_limited(result);
    if (available) last_available_at_ = Clock::now();
    done(std::move(result));
  };
}

void KeyValueStoreClient::send(HttpClient& client, Request request) {
  client.request(request.method, request.target, request.body, request_timeout_s_,
                 with_status_tracking(std::move(request.done)));
}

/// The store does not execute a request that it rejects with status 429, so the request is queued
/// again until its deadline. Failing it instead would cost the user a second or more.
void KeyValueStoreClient::send_with_rate_limit_retries(RequestPriority priority, Request request) {
  Request attempt = request;
  attempt.done = [this, priority, request = std::move(request)](HttpResult result) {
    const std::chrono::duration<double> age = Clock::now() - request.submitted_at;
    if (!rate_limited(result) || age.count() > request_timeout_s_)
      return request.done(std::move(result));
    queue(priority).push_front(request);
    schedule_send_queued();
  };
  send(normal_client_, std::move(attempt));
}

void KeyValueStoreClient::submit(RequestPriority priority, Request request) {
  if (queue(priority).size() >= kMaxQueuedRequests) {
    HttpResult rejected;
    rejected.answered = true;
    rejected.status = kStatusTooManyRequests;
    asio::post(io_, [done = std::move(request.done), rejected] { done(rejected); });
    return;
  }
  request.submitted_at = Clock::now();
  queue(priority).push_back(std::move(request));
  send_queued();
}

void KeyValueStoreClient::refill_buckets() {
  const auto now = Clock::now();
  const double elapsed_s = std::chrono::duration<double>(now - refilled_at_).count();
  refilled_at_ = now;
  request_budget_.refill(elapsed_s);
  write_budget_.refill(elapsed_s);
}

/// Leadership requests bypass the budget: a late lease renewal costs far more than a 429 response.
bool KeyValueStoreClient::within_budget(RequestPriority priority, const Request& request) const {
  if (priority == RequestPriority::Leadership) return true;
  if (!request_budget_.has_tokens(1, kReservedBurstFraction[static_cast<size_t>(priority)]))
    return false;
  // One available write admits a transaction with several mutations, which overdraws the bucket.
  return request.writes <= 0 || write_budget_.has_tokens(std::min(request.writes, 1.0), 0);
}

void KeyValueStoreClient::send_next(RequestPriority priority) {
  Request request = std::move(queue(priority).front());
  queue(priority).pop_front();
  request_budget_.take(1);
  write_budget_.take(request.writes);
  if (priority == RequestPriority::Leadership)
    send(urgent_client_, std::move(request));
  else
    send_with_rate_limit_retries(priority, std::move(request));
}

void KeyValueStoreClient::send_queued() {
  refill_buckets();
  for (const RequestPriority priority :
       {RequestPriority::Leadership, RequestPriority::Record, RequestPriority::Background})
    while (!queue(priority).empty() && within_budget(priority, queue(priority).front()))
      send_next(priority);
  if (!queue(RequestPriority::Record).empty() || !queue(RequestPriority::Background).empty())
    schedule_send_queued();
}

void KeyValueStoreClient::schedule_send_queued() {
  if (queue_timer_armed_) return;
  queue_timer_armed_ = true;
  queue_timer_.expires_after(kQueueCheckInterval);
  queue_timer_.async_wait([this](auto error) {
    queue_timer_armed_ = false;
    if (!error) send_queued();
  });
}

void KeyValueStoreClient::compare_and_swap(RequestPriority priority,
                                           const std::vector<wire::Precondition>& preconditions,
                                           const std::vector<wire::Mutation>& mutations,
                                           std::function<void(TransactionResult)> done) {
  Request request{"POST", wire::path::kTransaction,
                  wire::transaction_body(preconditions, mutations),
                  static_cast<double>(mutations.size()), nullptr};
  const bool with_lease = std::ranges::any_of(
      mutations, [](const wire::Mutation& mutation) { return mutation.lease != 0; });
  request.done = [done = std::move(done), with_lease](const HttpResult& result) {
    done(parse_transaction_response(result, with_lease));
  };
  submit(priority, std::move(request));
}

void KeyValueStoreClient::read(RequestPriority priority, const std::string& target,
                               HttpCallback done) {
  submit(priority, Request{"GET", target, {}, 0, std::move(done)});
}

void KeyValueStoreClient::watch(const std::string& target, double wait_s, HttpCallback done) {
  request_budget_.take(1);
  watch_client_.request("GET", target, {}, wait_s + request_timeout_s_,
                        with_status_tracking(std::move(done)));
}

void KeyValueStoreClient::grant_lease(double ttl_s,
                                      std::function<void(std::optional<uint64_t>)> done) {
  submit(RequestPriority::Leadership,
         Request{"POST", wire::path::kLeases,
                 wire::lease_request_body(static_cast<uint64_t>(ttl_s * 1000)), 0,
                 [done = std::move(done)](const HttpResult& result) {
                   done(result.ok() ? wire::parse_lease_id(result.body) : std::nullopt);
                 }});
}

void KeyValueStoreClient::renew_lease(uint64_t lease, double timeout_s,
                                      std::function<void(Renewal)> done) {
  request_budget_.take(1);
  urgent_client_.request("POST", wire::lease_renewal_path(lease), {}, timeout_s,
                         with_status_tracking([done = std::move(done)](const HttpResult& result) {
                           if (result.ok()) return done(Renewal::Renewed);
                           done(result.answered && result.status == kStatusNotFound
                                    ? Renewal::Ended
                                    : Renewal::Failed);
                         }));
}

void KeyValueStoreClient::revoke_lease(uint64_t lease, HttpCallback done) {
  submit(RequestPriority::Leadership,
         Request{"DELETE", wire::lease_path(lease), {}, 0, std::move(done)});
}

}  // namespace sumacquay
