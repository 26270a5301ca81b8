#pragma once
#include <functional>
#include <string>

#include "world/controller_process.h"
#include "world/environment.h"
#include "world/state_channel.h"

namespace sumacquay::simulation {

/// What a controller does for users: accepts jobs and cancels them. Any controller may, whoever
/// leads.
class Frontend {
 public:
  /// Called with false if there was no answer for the user.
  using Answered = std::function<void(bool)>;

  Frontend(Environment& environment, StateChannel& state) : env_(environment), state_(state) {}

  void accept(ControllerProcess& process, const std::string& id, const Answered& answered);
  void cancel(ControllerProcess& process, const std::string& id, const Answered& answered);

 private:
  void try_cancel(ControllerProcess& process, const std::string& id, int tries,
                  const Answered& answered);
  void cancel_fresh(ControllerProcess& process, const std::string& id, int tries,
                    const Answered& answered);
  /// Tells the user of a job that is over; false: it isn't, as far as this controller knows.
  bool tell_if_finished(const ControllerProcess& process, const std::string& id);

  Environment& env_;
  StateChannel& state_;
};

}  // namespace sumacquay::simulation
