#pragma once
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"
#include "frontend/frontend_callbacks.h"
#include "frontend/job_lookup.h"
#include "net/http_server.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"

namespace sumacquay {

/// Accepts job submissions: parses a submission, checks its dependencies and writes the job's
/// record. Called by `Frontend`. Does not decide when or where a job runs.
///
/// Submissions are idempotent: if a job with the same id was accepted before, the answer is the
/// state of that job, even if this submission is invalid. Another node may have known other machine
/// types, or may have received the complete submission where this one lacks a field.
class SubmissionHandler {
 public:
  /// Refers to its arguments, which outlive it.
  SubmissionHandler(const Settings& settings, KeyValueStoreClient& store, RecordCache& record_cache,
                    JobLookup& lookup, const FrontendCallbacks& callbacks)
      : settings_(settings),
        store_(store),
        record_cache_(record_cache),
        lookup_(lookup),
        callbacks_(callbacks) {}

  /// Responds 201 if the job is accepted, 200 if it was accepted before, 400 if the submission is
  /// malformed or too large, 422 if the job can never run or depends on a job that was never
  /// accepted, or 503 if the user has to retry.
  void submit(std::string_view body, const Respond& respond);

 private:
  /// A submission whose dependencies are being checked.
  struct Submission {
    JobRecord record;
    std::vector<std::string> unchecked_dependencies;

    /// Removes the last unchecked dependency and applies its state: a pending dependency is kept in
    /// the record, a done one is dropped, and a cancelled one cancels the job.
    void apply_dependency(JobState state);
  };

  void check_dependencies(const std::shared_ptr<Submission>& submission, const Respond& respond);
  void look_up_dependency(const std::shared_ptr<Submission>& submission, const Respond& respond);
  void accept(const JobRecord& record, const Respond& respond);
  void on_written(const JobRecord& record, const TransactionResult& result, const Respond& respond);
  void respond_accepted(const JobRecord& record, const Respond& respond);
  /// Responds with the state of the job if it was accepted before, and with `if_not_found` if it
  /// was not.
  void respond_existing_job(const std::string& id, const HttpReply& if_not_found,
                            const Respond& respond);
  [[nodiscard]] bool too_large(const JobSpec& spec, std::string_view encoded_record) const;

  const Settings& settings_;
  KeyValueStoreClient& store_;
  RecordCache& record_cache_;
  JobLookup& lookup_;
  const FrontendCallbacks& callbacks_;
};

}  // namespace sumacquay
