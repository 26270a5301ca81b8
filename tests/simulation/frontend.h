#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "simulation/controller_process.h"
#include "simulation/environment.h"
#include "simulation/store_channel.h"

namespace sumacquay::simulation {

/// Timeout of a user's request.
inline constexpr Seconds kUserTimeout = 5;

/// A user's request to a controller.
struct UserRequest {
  std::string job;
  Seconds sent_at = 0;
  /// Called once the request is handled; false: without an answer, so that the user retries.
  std::function<void(bool)> on_handled;
};

/// Serves users' requests on a controller, the leader or not: submissions, queries and
/// cancellations. It mirrors the product's `Frontend`, which is too closely tied to its sockets to
/// run in virtual time.
class Frontend {
 public:
  Frontend(Environment& environment, StoreChannel& store) : env_(environment), store_(store) {}

  void accept(ControllerProcess& process, const UserRequest& request);
  void query(ControllerProcess& process, const UserRequest& request);
  void cancel(ControllerProcess& process, const UserRequest& request);

 private:
  using LiveRecord = SimulatedRecordCache::Versioned<JobRecord>;
  /// Handlers for the outcomes of a job look-up.
  struct LookUpHandlers {
    std::function<void(ControllerProcess&, const LiveRecord&)> live;
    std::function<void(ControllerProcess&, const wire::FinishedRecord&)> finished;
    std::function<void(ControllerProcess&)> not_found;  ///< the job was never accepted
    std::function<void()> unavailable;                  ///< the state cannot be determined now
  };
  /// A submission whose dependencies are being looked up.
  struct Submission {
    JobRecord record;
    std::vector<std::string> unchecked;
    void add(JobState dependency);
  };

  void look_up(ControllerProcess& process, const std::string& id, const LookUpHandlers& handlers);
  void look_up_fresh(ControllerProcess& process, const std::string& id,
                     const LookUpHandlers& handlers);
  /// Returns false if the job has no live record.
  static bool handle_live(ControllerProcess& process, const std::string& id,
                          const LookUpHandlers& handlers);
  static bool handle_finished(ControllerProcess& process, const std::string& id,
                              const LookUpHandlers& handlers);
  static JobState current_state(const ControllerProcess& process, const JobRecord& record);

  void check_dependencies(ControllerProcess& process, const std::shared_ptr<Submission>& submission,
                          const UserRequest& request);
  void write_accepted(ControllerProcess& process, const JobRecord& record,
                      const UserRequest& request);
  void try_cancel(ControllerProcess& process, int retries, const UserRequest& request);
  void write_cancelled(ControllerProcess& process, const LiveRecord& record, int retries,
                       const UserRequest& request);
  /// Answers with the job's state.
  void answer_state(const UserRequest& request, JobState state);
  void answer_not_found(const UserRequest& request);

  Environment& env_;
  StoreChannel& store_;
};

}  // namespace sumacquay::simulation
