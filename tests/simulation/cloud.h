#pragma once
#include "dispatch/actions.h"
#include "simulation/environment.h"

namespace sumacquay::simulation {

/// The cloud: rents machines out, boots them and takes them back.
class Cloud {
 public:
  explicit Cloud(Environment& environment) : env_(environment) {}

  /// `zone`: none: the zones take turns. Returns the machine's name.
  std::string add_machine(Seconds up_at, const std::optional<std::string>& zone = std::nullopt,
                          bool spot = false);
  void rent(ControllerProcess& asker, const ScaleOut& rent);
  void release(ControllerProcess& asker, const ScaleIn& release);

  /// Machines that are given back go late, without an answer.
  void release_late(Seconds span) { late_releases_.last_until(env_.now() + span); }
  void end_faults() { late_releases_.clear(); }

 private:
  std::vector<std::string> start_rented(const ScaleOut& rent);

  Environment& env_;
  Fault late_releases_;
};

}  // namespace sumacquay::simulation
