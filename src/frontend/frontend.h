#pragma once
#include <string>

#include "config/settings.h"
#include "frontend/cancellation_handler.h"
#include "frontend/frontend_callbacks.h"
#include "frontend/job_lookup.h"
#include "frontend/query_handler.h"
#include "frontend/submission_handler.h"
#include "net/concurrency_limit.h"
#include "net/http_server.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"

namespace sumacquay {

/// The user-facing HTTP API of a node, on the leader and on followers. Routes submissions, queries
/// and cancellations to its handlers, which it owns, and limits the number of requests in progress.
/// Called by the node; must not depend on the leader's scheduling decisions.
class Frontend {
 public:
  using Callbacks = FrontendCallbacks;

  /// Keeps references to the settings, the store and the cache, which must outlive it.
  /// `max_in_progress` is the maximum number of user requests handled concurrently.
  Frontend(const Settings& settings, size_t max_in_progress, KeyValueStoreClient& store,
           RecordCache& record_cache, Callbacks callbacks);
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  /// Handles a request whose path belongs to the user API and responds to it, synchronously or
  /// later. Returns false, without a response, for any other path.
  bool handle(const HttpRequest& request, Respond respond);

  /// Number of requests that have not been answered yet.
  int in_progress() const { return limit_.in_progress(); }

 private:
  void route(const HttpRequest& request, const Respond& respond);
  void route_to_job(const HttpRequest& request, const Respond& respond);
  /// Wraps `respond` so that it also frees the request's slot in the concurrency limit and reports
  /// the request's latency to the limit.
  Respond release_limit_on_response(Respond respond);

  Callbacks callbacks_;
  JobLookup lookup_;
  SubmissionHandler submissions_;
  QueryHandler queries_;
  CancellationHandler cancellations_;
  ConcurrencyLimit limit_;
};

}  // namespace sumacquay
