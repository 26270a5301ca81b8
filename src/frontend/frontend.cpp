#include "frontend/frontend.h"

#include <chrono>
#include <string_view>
#include <utility>

#include "frontend/user_replies.h"
#include "wire/user_messages.h"

namespace sumacquay {
namespace {

/// Lowest value of the adaptive limit on requests in progress, as a fraction of its maximum: a slow
/// store must not stop admission entirely.
constexpr double kMinLimitFraction = 1.0 / 14;

constexpr std::string_view kJobsPath = wire::path::kJobs;
constexpr std::string_view kCancelSuffix = wire::path::kCancel;

bool is_user_path(std::string_view path) {
  if (!path.starts_with(kJobsPath)) return false;
  return path.size() == kJobsPath.size() || path[kJobsPath.size()] == '/';
}

}  // namespace

Frontend::Frontend(const Settings& settings, size_t max_in_progress, KeyValueStoreClient& store,
                   RecordCache& record_cache, Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      lookup_(store, record_cache),
      submissions_(settings, store, record_cache, lookup_, callbacks_),
      queries_(lookup_, callbacks_),
      cancellations_(settings, store, record_cache, lookup_),
      limit_(kMinLimitFraction * static_cast<double>(max_in_progress),
             static_cast<double>(max_in_progress)) {}

bool Frontend::handle(const HttpRequest& request, Respond respond) {
  if (!is_user_path(request.path)) return false;
  if (limit_.try_acquire())
    route(request, release_limit_on_response(std::move(respond)));
  else
    respond(unavailable_reply(429));
  return true;
}

void Frontend::route(const HttpRequest& request, const Respond& respond) {
  if (request.path != kJobsPath) return route_to_job(request, respond);
  if (request.method != "POST") return respond(refusal_reply(405, "only POST"));
  submissions_.submit(request.body, respond);
}

void Frontend::route_to_job(const HttpRequest& request, const Respond& respond) {
  std::string id = request.path.substr(kJobsPath.size() + 1);
  const bool is_cancel = id.ends_with(kCancelSuffix);
  if (is_cancel) id.resize(id.size() - kCancelSuffix.size());
  if (!wire::valid_job_id(id))
    respond(refusal_reply(404, "no such job"));
  else if (is_cancel && request.method == "POST")
    cancellations_.cancel(id, respond);
  else if (!is_cancel && request.method == "GET")
    queries_.query(id, respond);
  else
    respond(refusal_reply(405, "no such method here"));
}

Respond Frontend::release_limit_on_response(Respond respond) {
  const auto started_at = std::chrono::steady_clock::now();
  return [this, started_at, respond = std::move(respond)](HttpReply reply) {
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started_at;
    limit_.release(elapsed.count());
    respond(std::move(reply));
  };
}

}  // namespace sumacquay
