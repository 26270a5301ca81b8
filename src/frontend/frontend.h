#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "net/concurrency_limit.h"
#include "net/http_server.h"
#include "store/record_cache.h"
#include "wire/peer_heartbeat.h"
#include "wire/records.h"

namespace sumacquay {

/// The users' side: submissions, queries and cancellations, on any node.
class Frontend {
 public:
  struct Sources {
    std::function<const std::vector<MachineType>&()> types;
    /// Tasks that run, as the leader last said; for display only.
    std::function<wire::JobProgress(const std::string& id)> counts;
    std::function<uint64_t()> time_of_day_ms;
  };

  /// `most_in_progress`: users' requests that may be handled at once.
  Frontend(const Settings& settings, size_t most_in_progress, KeyValueStoreClient& store,
           RecordCache& record_cache, Sources sources);
  /// False: not a path of the users'.
  bool handle(const HttpRequest& request, Respond respond);
  /// Requests that are not answered yet.
  int in_progress() const { return limit_.in_progress(); }

 private:
  void submit(const HttpRequest& request, const Respond& respond);
  /// A submission while the jobs that it depends on are looked up.
  struct Submission {
    JobRecord record;
    std::vector<std::string> unchecked;
    void add(const std::string& dependency, JobState state);
  };
  void check_dependencies(const std::shared_ptr<Submission>& submission, const Respond& respond);
  void look_up_dependency(const std::string& id, const std::shared_ptr<Submission>& submission,
                          const Respond& respond);
  void accept(const JobRecord& record, const Respond& respond);
  void answer_accepted(const JobRecord& record, const Respond& respond);
  void answer_existing_job(const std::string& id, const Respond& respond);
  void answer_existing_job(const std::string& id, const Respond& respond,
                           const std::function<void()>& unknown);
  void refuse_unless_accepted(const std::string& id, int status, const std::string& why,
                              const Respond& respond);
  void query(const std::string& id, const Respond& respond);
  void cancel(const std::string& id, int tries, const Respond& respond);
  /// The job's state as of now or later; `unknown` is called only if no such job was ever accepted.
  void look_up(const std::string& id, const Respond& respond,
               const std::function<void(const Versioned<JobRecord>&)>& live,
               const std::function<void(const FinishedRecord&)>& finished,
               const std::function<void()>& unknown);
  void answer_live(const Versioned<JobRecord>& record, const Respond& respond,
                   const std::function<void(const Versioned<JobRecord>&)>& live) const;
  JobState current_state(const JobRecord& record) const;
  Respond limited(Respond respond);

  const Settings& settings_;
  KeyValueStoreClient& store_;
  RecordCache& record_cache_;
  Sources sources_;
  ConcurrencyLimit limit_;
};

}  // namespace sumacquay
