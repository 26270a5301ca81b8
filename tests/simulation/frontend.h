#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "simulation/controller_process.h"
#include "simulation/environment.h"
#include "simulation/state_channel.h"

namespace sumacquay::simulation {

/// Timeout of a user's request.
inline constexpr Seconds kUserPatience = 5;

/// A user's request to a controller.
struct UserRequest {
  std::string job;
  Seconds asked_at = 0;
  /// Called once the request is handled; false: without an answer, so that the user retries.
  std::function<void(bool)> answered;
};

/// Serves users' requests on a controller, the leader or not: submissions, queries and
/// cancellations. It mirrors the product's `Frontend`, which is too closely tied to its sockets to
/// run in virtual time.
class Frontend {
 public:
  Frontend(Environment& environment, StateChannel& state) : env_(environment), state_(state) {}

  void accept(ControllerProcess& process, const UserRequest& request);
  void query(ControllerProcess& process, const UserRequest& request);
  void cancel(ControllerProcess& process, const UserRequest& request);

 private:
  using LiveRecord = SimulatedRecordCache::Versioned<JobRecord>;
  /// Handlers for the outcomes of a job look-up.
  struct Found {
    std::function<void(ControllerProcess&, const LiveRecord&)> live;
    std::function<void(ControllerProcess&, const wire::FinishedRecord&)> finished;
    std::function<void(ControllerProcess&)> unknown;  ///< the job was never accepted
    std::function<void()> not_told;                   ///< the state cannot be determined now
  };
  /// A submission whose dependencies are being looked up.
  struct Submission {
    JobRecord record;
    std::vector<std::string> unchecked;
    void add(JobState dependency);
  };

  void look_up(ControllerProcess& process, const std::string& id, const Found& found);
  void look_up_fresh(ControllerProcess& process, const std::string& id, const Found& found);
  /// Returns false if the job has no live record.
  static bool found_live(ControllerProcess& process, const std::string& id, const Found& found);
  static bool found_finished(ControllerProcess& process, const std::string& id, const Found& found);
  static JobState current_state(const ControllerProcess& process, const JobRecord& record);

  void check_dependencies(ControllerProcess& process, const std::shared_ptr<Submission>& submission,
                          const UserRequest& request);
  void write_accepted(ControllerProcess& process, const JobRecord& record,
                      const UserRequest& request);
  void try_cancel(ControllerProcess& process, int tries, const UserRequest& request);
  void write_cancelled(ControllerProcess& process, const LiveRecord& record, int tries,
                       const UserRequest& request);
  /// Answers with the job's state.
  void tell(const UserRequest& request, JobState state);
  void tell_unknown(const UserRequest& request);

  Environment& env_;
  StateChannel& state_;
};

}  // namespace sumacquay::simulation
