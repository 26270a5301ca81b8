#pragma once
#include <string>

#include "config/settings.h"
#include "frontend/cancellation_handler.h"
#include "frontend/frontend_sources.h"
#include "frontend/job_lookup.h"
#include "frontend/query_handler.h"
#include "frontend/submission_handler.h"
#include "net/concurrency_limit.h"
#include "net/http_server.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"

namespace sumacquay {

/// The users' side of a node, whether or not it leads: routes submissions, queries and
/// cancellations to their handlers and limits how many are in progress. It owns the handlers. The
/// node calls it; it must not know of the leader's decisions.
class Frontend {
 public:
  using Sources = FrontendSources;

  /// Refers to the settings, the store and the cache, which outlive it. `max_in_progress`: users'
  /// requests that may be handled at once.
  Frontend(const Settings& settings, size_t max_in_progress, KeyValueStoreClient& store,
           RecordCache& record_cache, Sources sources);
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  /// Handles a request to one of the users' paths and responds to it, at once or later. False: it
  /// is not one of the users' paths, and there is no response.
  bool handle(const HttpRequest& request, Respond respond);

  /// Requests that are not answered yet.
  int in_progress() const { return limit_.in_progress(); }

 private:
  void route(const HttpRequest& request, const Respond& respond);
  void route_to_job(const HttpRequest& request, const Respond& respond);
  /// The same response, which also leaves the limit and tells it how long the request took.
  Respond leaving_limit(Respond respond);

  Sources sources_;
  JobLookup lookup_;
  SubmissionHandler submissions_;
  QueryHandler queries_;
  CancellationHandler cancellations_;
  ConcurrencyLimit limit_;
};

}  // namespace sumacquay
