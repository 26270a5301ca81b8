#pragma once
#include "dispatch/actions.h"
#include "simulation/environment.h"

namespace sumacquay::simulation {

/// The simulated cloud provider: creates, boots and releases machines.
class Cloud {
 public:
  explicit Cloud(Environment& environment) : env_(environment) {}

  /// Without `zone`, the zones are used in turn. Returns the machine's id.
  std::string add_machine(Seconds up_at, const std::optional<std::string>& zone = std::nullopt,
                          bool spot = false);
  void rent(ControllerProcess& asker, const ScaleOut& rent);
  void release(ControllerProcess& asker, const ScaleIn& release);

  /// Releases are executed late and never answered.
  void release_late(Seconds span) { late_releases_.last_until(env_.now() + span); }
  void end_faults() { late_releases_.clear(); }

 private:
  std::vector<std::string> start_rented(const ScaleOut& rent);

  Environment& env_;
  Fault late_releases_;
};

}  // namespace sumacquay::simulation
