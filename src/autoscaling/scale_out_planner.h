#pragma once
#include <map>
#include <string>
#include <vector>

#include "placement/placement.h"

/// Planning of scale-outs: which machines to request. The result depends only on the arguments;
/// there is no I/O, and limits are passed in by the caller.
namespace sumacquay {

/// One kind of machine that the cloud offers: a machine type in a zone, as spot or on demand.
struct InstanceOffering {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  double price = 0;      ///< per machine, in the same unit for all offerings
  bool blocked = false;  ///< not to be requested, such as after a recent refusal
};

/// A number of machines of one kind to request.
struct ScaleOutRequest {
  std::string type, zone;
  bool spot = false;
  int count = 0;
};

/// Returns the machines to request for tasks that could not be placed, beyond the machines that are
/// already booting: at most `max_machines`, the cheapest offerings first. Modifies `booting`: new
/// machines are appended, and resources that tasks take on booting and new machines are no longer
/// available. Called by the autoscaler for each scale-out.
std::vector<ScaleOutRequest> plan_scale_out(std::vector<PlacementRequest> unplaced,
                                            std::vector<CandidateMachine>& booting,
                                            const std::vector<InstanceOffering>& offerings,
                                            int max_machines);

}  // namespace sumacquay
