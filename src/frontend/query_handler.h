#pragma once
#include <string>

#include "frontend/frontend_callbacks.h"
#include "frontend/job_lookup.h"
#include "net/http_server.h"

namespace sumacquay {

/// Answers user queries for the state of a job. Called by `Frontend`. Writes nothing.
class QueryHandler {
 public:
  /// Keeps references to its arguments, which must outlive it.
  QueryHandler(JobLookup& lookup, const FrontendCallbacks& callbacks)
      : lookup_(lookup), callbacks_(callbacks) {}

  /// Responds 200 with the job's state, 404 if the job does not exist, or 503 if its state cannot
  /// be read now.
  void query(const std::string& id, const Respond& respond);

 private:
  JobLookup& lookup_;
  const FrontendCallbacks& callbacks_;
};

}  // namespace sumacquay
