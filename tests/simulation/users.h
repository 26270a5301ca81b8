#pragma once
#include <functional>
#include <optional>
#include <string>

#include "simulation/environment.h"
#include "simulation/frontend.h"

namespace sumacquay::simulation {

/// Users who submit jobs, ask for them and cancel them through any controller, and try again until
/// they are answered.
class Users {
 public:
  Users(Environment& environment, Frontend& frontend) : env_(environment), frontend_(frontend) {}

  /// A job with everything drawn at random.
  JobSpec any_spec();
  std::string submit(JobSpec spec);
  /// Submits a job drawn at random; some are cancelled later, services always.
  std::string submit_any();
  /// `first`: the controller to begin with, none: any.
  void cancel(const std::string& id, std::optional<size_t> first = std::nullopt);
  /// Asks for an accepted job's state, until it is told.
  void ask_state(const std::string& id, std::optional<size_t> first = std::nullopt);

 private:
  struct Request {
    std::string job;
    std::function<void(ControllerProcess&, const UserRequest&)> serve;
    std::function<bool()> settled;  ///< the user has been answered
  };
  /// A controller that users reach, beginning with one.
  std::optional<size_t> reachable(std::optional<size_t> first);
  /// Asks a controller, and another one if that gives no answer.
  void ask(std::optional<size_t> first, const Request& request);

  Environment& env_;
  Frontend& frontend_;
};

}  // namespace sumacquay::simulation
