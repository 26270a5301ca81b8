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
  void scale_out(ControllerProcess& requester, const ScaleOut& request);
  void scale_in(ControllerProcess& requester, const ScaleIn& request);

  /// Releases are executed late and never answered.
  void delay_releases(Seconds span) { release_delay_.activate_until(env_.now() + span); }
  void end_faults() { release_delay_.clear(); }

 private:
  std::vector<std::string> create_machines(const ScaleOut& request);

  Environment& env_;
  Fault release_delay_;
};

}  // namespace sumacquay::simulation
