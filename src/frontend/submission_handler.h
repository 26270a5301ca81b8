#pragma once
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"
#include "frontend/frontend_sources.h"
#include "frontend/job_lookup.h"
#include "net/http_server.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"

namespace sumacquay {

/// Accepts users' jobs: reads a submission, checks what it depends on and writes its record. The
/// front end calls it. When and where a job runs is not decided here.
///
/// Submissions are idempotent: whatever is wrong with one, a job of its id that was accepted before
/// is answered as such. Another node may have known other machine types, or may have received the
/// whole of a submission that lacks a field here.
class SubmissionHandler {
 public:
  /// Refers to its arguments, which outlive it.
  SubmissionHandler(const Settings& settings, KeyValueStoreClient& store, RecordCache& record_cache,
                    JobLookup& lookup, const FrontendSources& sources)
      : settings_(settings),
        store_(store),
        record_cache_(record_cache),
        lookup_(lookup),
        sources_(sources) {}

  /// Responds 201 to a job that is accepted, 200 to one that was accepted before, 400 to one that
  /// is malformed or too large, 422 to one that can never run, or 503.
  void submit(std::string_view body, const Respond& respond);

 private:
  /// A submission while the jobs that it depends on are looked up.
  struct Submission {
    JobRecord record;
    std::vector<std::string> unchecked_dependencies;

    /// The dependency that was checked last leaves the unchecked ones. One that is done needs no
    /// place in the record, and with one that is cancelled the job is cancelled.
    void apply_dependency(JobState state);
  };

  void check_dependencies(const std::shared_ptr<Submission>& submission, const Respond& respond);
  void look_up_dependency(const std::shared_ptr<Submission>& submission, const Respond& respond);
  void accept(const JobRecord& record, const Respond& respond);
  void on_written(const JobRecord& record, const TransactionResult& result, const Respond& respond);
  void respond_accepted(const JobRecord& record, const Respond& respond);
  /// Answers a job that was accepted before; `if_unknown` is the reply if none was.
  void respond_existing_job(const std::string& id, const HttpReply& if_unknown,
                            const Respond& respond);
  [[nodiscard]] bool too_large(const JobSpec& spec, std::string_view encoded_record) const;

  const Settings& settings_;
  KeyValueStoreClient& store_;
  RecordCache& record_cache_;
  JobLookup& lookup_;
  const FrontendSources& sources_;
};

}  // namespace sumacquay
