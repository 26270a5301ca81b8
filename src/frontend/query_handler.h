#pragma once
#include <string>

#include "frontend/frontend_sources.h"
#include "frontend/job_lookup.h"
#include "net/http_server.h"

namespace sumacquay {

/// Answers users' queries of one job's state. The front end calls it. It writes nothing.
class QueryHandler {
 public:
  /// Refers to its arguments, which outlive it.
  QueryHandler(JobLookup& lookup, const FrontendSources& sources)
      : lookup_(lookup), sources_(sources) {}

  /// Responds 200 with the job's state, 404 if there is no such job, or 503.
  void query(const std::string& id, const Respond& respond);

 private:
  JobLookup& lookup_;
  const FrontendSources& sources_;
};

}  // namespace sumacquay
