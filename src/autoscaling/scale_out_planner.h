#pragma once
#include <map>
#include <string>
#include <vector>

#include "placement/placement.h"

/// Which machines to scale out by. A function of its arguments: it does not talk to the cloud, and
/// knows of limits only what its caller passes in.
namespace sumacquay {

/// One kind of machine that the cloud offers: a type in a zone, as a spot instance or not.
struct InstanceOffering {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  double price = 0;      ///< of one machine, in the unit that all offerings share
  bool blocked = false;  ///< the cloud refused to provide it not long ago
};

/// So many machines of one kind.
struct ScaleOutRequest {
  std::string type, zone;
  bool spot = false;
  int count = 0;
};

/// The machines to scale out by for tasks that found no machine, beyond those that are booting
/// already: at most `max_machines`, the cheapest offerings first. `booting` is changed: the new
/// machines are appended, and what tasks take on booting and on new machines is no longer
/// available. The scheduler calls this once a round.
std::vector<ScaleOutRequest> plan_scale_out(std::vector<PlacementRequest> unplaced,
                                            std::vector<CandidateMachine>& booting,
                                            const std::vector<InstanceOffering>& offerings,
                                            int max_machines);

}  // namespace sumacquay
