#pragma once
#include <string>

#include "config/settings.h"
#include "frontend/job_lookup.h"
#include "net/http_server.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"

namespace sumacquay {

/// Handles cancellation requests: marks the job's record as cancelled, and the leader then stops
/// the job's tasks. Called by `Frontend`.
class CancellationHandler {
 public:
  /// Keeps references to its arguments, which must outlive it.
  CancellationHandler(const Settings& settings, KeyValueStoreClient& store,
                      RecordCache& record_cache, JobLookup& lookup)
      : settings_(settings), store_(store), record_cache_(record_cache), lookup_(lookup) {}

  /// Responds 200 with the job's final state: cancelled, or done if it finished first. Responds 404
  /// if the job does not exist, and 503 if it is not known whether the job was cancelled.
  void cancel(const std::string& id, const Respond& respond) { attempt_cancel(id, 0, respond); }

 private:
  /// `retries` is the number of attempts that failed because the record changed between the look-up
  /// and the write.
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
