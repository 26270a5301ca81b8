#pragma once
#include <string>

#include "config/settings.h"
#include "frontend/job_lookup.h"
#include "net/http_server.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"

namespace sumacquay {

/// Carries out users' cancellations by writing them into the job's record; the leader stops the
/// tasks. The front end calls it.
class CancellationHandler {
 public:
  /// Refers to its arguments, which outlive it.
  CancellationHandler(const Settings& settings, KeyValueStoreClient& store,
                      RecordCache& record_cache, JobLookup& lookup)
      : settings_(settings), store_(store), record_cache_(record_cache), lookup_(lookup) {}

  /// Responds 200 with the state in which the job stays: cancelled, or done if it ended before.
  /// 404: there is no such job; 503: whether it was cancelled is open.
  void cancel(const std::string& id, const Respond& respond) { attempt_cancel(id, 0, respond); }

 private:
  /// `retries`: how often the record changed between its look-up and the write.
  void attempt_cancel(const std::string& id, int retries, const Respond& respond);
  void write_cancelled(const Versioned<JobRecord>& record, int retries, const Respond& respond);
  void on_written(const JobRecord& cancelled, const TransactionResult& result, int retries,
                  const Respond& respond);

  const Settings& settings_;
  KeyValueStoreClient& store_;
  RecordCache& record_cache_;
  JobLookup& lookup_;
};

}  // namespace sumacquay
