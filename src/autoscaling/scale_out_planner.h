#pragma once
#include <map>
#include <string>
#include <vector>

#include "placement/placement.h"

namespace sumacquay {

/// One kind of machine that can be rented.
struct InstanceOffering {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  double price = 0;
  bool blocked = false;  ///< the cloud refused it not long ago
};

struct ScaleOutRequest {
  std::string type, zone;
  bool spot = false;
  int count = 0;
};

/// The machines to rent for demands that found no room, beyond those that are booting already.
/// `booting` is changed: room on booting and on newly rented machines is taken.
std::vector<ScaleOutRequest> plan_scale_out(std::vector<PlacementRequest> unplaced,
                                            std::vector<CandidateMachine>& booting,
                                            const std::vector<InstanceOffering>& offerings,
                                            int most);

}  // namespace sumacquay
