#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "jobs/record.h"
#include "net/http_message.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"

/// Linearizable look-ups of one job: what a look-up finds is at least as new as anything that any
/// node has answered before the look-up began. The handlers of users' requests call it. It reads
/// records and writes none, and knows nothing of HTTP replies.
namespace sumacquay {

/// What a look-up found out about a job.
struct JobLookupResult {
  enum class Outcome {
    Live,        ///< it has a live record
    Finished,    ///< it is over, and its live record is gone
    Unknown,     ///< no job with this id was ever accepted
    Unavailable  ///< nothing new enough could be read now; the user has to ask again
  };

  Outcome outcome = Outcome::Unavailable;
  /// Set if the job was found. A pending job that depends on a cancelled one counts as cancelled,
  /// also before the leader has written that down.
  JobState state = JobState::Pending;
  uint32_t done_tasks = 0;  ///< set if the job was found
  /// Set for a live job; valid only until the callback returns.
  const Versioned<JobRecord>* live_record = nullptr;

  [[nodiscard]] bool found() const {
    return outcome == Outcome::Live || outcome == Outcome::Finished;
  }
};

/// Looks up jobs for the front end, linearizably. Does not answer users itself.
class JobLookup {
 public:
  using Callback = std::function<void(const JobLookupResult&)>;

  JobLookup(KeyValueStoreClient& store, RecordCache& record_cache)
      : store_(store), record_cache_(record_cache) {}

  /// Calls back once: at once if the job is known to be over, which no later read can change, else
  /// after a read barrier and, for a job that the cache doesn't hold, one read of the store.
  void look_up(const std::string& id, const Callback& callback);

  /// The state of a job as this node's cache has it, which may be old; none if the cache doesn't
  /// hold the job. A job that the cache holds was certainly accepted.
  [[nodiscard]] std::optional<JobState> cached_state(const std::string& id) const;

 private:
  void look_up_in_fresh_cache(const std::string& id, const Callback& callback);
  void on_finished_record_read(const std::string& id, const HttpResult& response,
                               const Callback& callback);
  [[nodiscard]] JobLookupResult live_result(const Versioned<JobRecord>& record) const;
  [[nodiscard]] JobState current_state(const JobRecord& record) const;

  KeyValueStoreClient& store_;
  RecordCache& record_cache_;
};

}  // namespace sumacquay
