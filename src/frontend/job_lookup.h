#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "jobs/record.h"
#include "net/http_message.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"

/// Linearizable look-ups of single jobs: a result is at least as recent as every answer that any
/// node gave before the look-up began. Called by the handlers of user requests. Reads records,
/// never writes them, and does not depend on HTTP replies.
namespace sumacquay {

/// Result of looking up a job.
struct JobLookupResult {
  enum class Outcome {
    Live,        ///< the job has a live record
    Finished,    ///< the job has ended, and its live record is deleted
    NotFound,    ///< no job with this id was ever accepted
    Unavailable  ///< no sufficiently recent data can be read now; the user has to retry
  };

  Outcome outcome = Outcome::Unavailable;
  /// Set if the job was found. A pending job with a cancelled dependency reads as cancelled even
  /// before the leader has recorded that.
  JobState state = JobState::Pending;
  uint32_t done_tasks = 0;  ///< number of done tasks; set if the job was found
  /// Set for a live job; valid only until the callback returns.
  const Versioned<JobRecord>* live_record = nullptr;

  [[nodiscard]] bool found() const {
    return outcome == Outcome::Live || outcome == Outcome::Finished;
  }
};

/// Looks up jobs for the front end with linearizable reads. Does not answer users itself.
class JobLookup {
 public:
  using Callback = std::function<void(const JobLookupResult&)>;

  JobLookup(KeyValueStoreClient& store, RecordCache& record_cache)
      : store_(store), record_cache_(record_cache) {}

  /// Calls back exactly once: synchronously if the cache holds the job as finished, which is final;
  /// otherwise after a read barrier and, for a job that is not in the cache, one read of the store.
  void look_up(const std::string& id, const Callback& callback);

  /// State of a job in this node's cache, which may be stale; none if the cache does not hold the
  /// job. A job in the cache is known to have been accepted.
  [[nodiscard]] std::optional<JobState> cached_state(const std::string& id) const;

 private:
  void look_up_in_fresh_cache(const std::string& id, const Callback& callback);
  void on_finished_record_read(const std::string& id, const HttpResult& response,
                               const Callback& callback);
  [[nodiscard]] JobLookupResult live_result(const Versioned<JobRecord>& record) const;
  [[nodiscard]] JobState effective_state(const JobRecord& record) const;

  KeyValueStoreClient& store_;
  RecordCache& record_cache_;
};

}  // namespace sumacquay
