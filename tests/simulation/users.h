#pragma once
#include <functional>
#include <optional>
#include <string>

#include "simulation/environment.h"
#include "simulation/frontend.h"

namespace sumacquay::simulation {

/// Users who submit, query and cancel jobs through any controller, and retry until they receive an
/// answer.
class Users {
 public:
  Users(Environment& environment, Frontend& frontend) : env_(environment), frontend_(frontend) {}

  /// A random job spec.
  JobSpec random_spec();
  std::string submit(JobSpec spec);
  /// Submits a random job. Services and some of the other jobs are cancelled later.
  std::string submit_random();
  /// `first`: the controller to try first; none: a random one.
  void cancel(const std::string& id, std::optional<size_t> first = std::nullopt);
  /// Queries the state of an accepted job until a controller answers.
  void query_state(const std::string& id, std::optional<size_t> first = std::nullopt);

 private:
  struct Request {
    std::string job;
    std::function<void(ControllerProcess&, const UserRequest&)> serve;
    std::function<bool()> settled;  ///< whether no retry is needed
  };
  /// The next controller that users can reach, beginning with `first` or a random one.
  std::optional<size_t> reachable(std::optional<size_t> first);
  /// Sends the request to a controller, and to the next one if it does not answer.
  void send(std::optional<size_t> first, const Request& request);

  Environment& env_;
  Frontend& frontend_;
};

}  // namespace sumacquay::simulation
