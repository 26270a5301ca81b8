#include "autoscaling/scale_out_planner.h"

#include <algorithm>
#include <cmath>
#include <compare>
#include <set>

namespace sumacquay {
namespace {

/// The largest fraction of the machine that one task takes of any resource, or of the space in the
/// heartbeat.
double largest_share(const Resources& request, const Resources& capacity) {
  constexpr double kMinShare = 1e-6;
  return std::max({request.dominant_share(capacity), request.heartbeat_share(capacity), kMinShare});
}

/// The weighted cost of scaling out with this offering for the tasks: the price of the capacity
/// that the tasks use, plus half the price of the capacity that they leave unused, since other
/// tasks may use it. The cost rises with the time to boot and to fetch the image.
double cost(const InstanceOffering& offering, const PlacementRequest& placement_request) {
  constexpr double kCostDoublingWaitSeconds = 120;  // a wait of this length doubles the cost
  const JobSpec& spec = *placement_request.spec;
  const auto task_count = static_cast<double>(placement_request.tasks.size());
  const double per_task = largest_share(placement_request.request(), offering.type->capacity);
  const double tasks_per_machine = std::max(1.0, std::floor(1 / per_task + 1e-9));
  const double machines = std::ceil(task_count / tasks_per_machine);
  const double used = std::min(machines, task_count * per_task);
  const double fetch_s = spec.image_gb / std::max(offering.type->fetch_gb_per_s, 1e-3);
  return offering.price * (0.5 * used + 0.5 * machines) *
         (1 + (offering.type->boot_s + fetch_s) / kCostDoublingWaitSeconds);
}

CandidateMachine new_candidate(const InstanceOffering& offering) {
  CandidateMachine candidate;
  candidate.type = offering.type->name;
  candidate.zone = offering.zone;
  candidate.spot = offering.spot;
  candidate.capacity = candidate.available = offering.type->capacity;
  return candidate;
}

/// Whether one task fits on a new machine of the offering, regardless of the kind of job.
bool one_task_fits(const PlacementRequest& placement_request, const InstanceOffering& offering) {
  std::vector<CandidateMachine> new_machine{new_candidate(offering)};
  PlacementRequest single_task_request = placement_request;
  JobSpec spec = *placement_request.spec;
  spec.kind = JobKind::Service;
  single_task_request.spec = &spec;
  single_task_request.tasks.resize(1);
  return !bin_pack(single_task_request, new_machine).empty();
}

void remove_placed(PlacementRequest& placement_request, const std::vector<Assignment>& assignments,
                   const std::vector<CandidateMachine>& candidates) {
  std::set<uint32_t> placed;
  for (const auto& assignment : assignments) {
    placed.insert(assignment.task);
    ++placement_request.tasks_per_zone[candidates[assignment.candidate].zone];
  }
  std::erase_if(placement_request.tasks, [&](uint32_t task) { return placed.contains(task); });
}

/// The offering with the lowest cost for the tasks, the first of equals; null if none is suitable.
const InstanceOffering* cheapest(const PlacementRequest& placement_request,
                                 const std::vector<InstanceOffering>& offerings) {
  const InstanceOffering* best = nullptr;
  double best_cost = 0;
  for (const auto& offering : offerings) {
    if (offering.blocked || !constraints_allow(*placement_request.spec, offering.type->name,
                                               offering.zone, offering.spot))
      continue;
    if (!one_task_fits(placement_request, offering)) continue;
    const double offering_cost = cost(offering, placement_request);
    if (best && offering_cost >= best_cost) continue;
    best = &offering;
    best_cost = offering_cost;
  }
  return best;
}

/// A kind of machine. Its ordering is the order of the scale-out requests.
struct InstanceKind {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const InstanceKind&) const = default;
};

/// Accumulates the machines to add, up to a limit.
class ScaleOutPlan {
 public:
  ScaleOutPlan(std::vector<CandidateMachine>& booting,
               const std::vector<InstanceOffering>& offerings, int max_machines)
      : booting_(booting), offerings_(offerings), max_machines_(max_machines) {}

  /// Adds machines until the tasks fit. A gang is placed only as a whole, so machines are added
  /// until all its tasks fit at once.
  void add_machines_for(PlacementRequest& placement_request) {
    const size_t booting_before = booting_.size();
    for (;;) {
      remove_placed(placement_request, bin_pack(placement_request, booting_), booting_);
      if (placement_request.tasks.empty() || machines_ >= max_machines_ ||
          booting_.size() - booting_before > placement_request.tasks.size())
        return;
      const InstanceOffering* offering = cheapest(placement_request, offerings_);
      if (!offering) return;
      add_machine(*offering);
    }
  }

  std::vector<ScaleOutRequest> requests() const {
    std::vector<ScaleOutRequest> requests;
    requests.reserve(counts_.size());
    for (const auto& [kind, count] : counts_)
      requests.push_back({kind.type, kind.zone, kind.spot, count});
    return requests;
  }

 private:
  void add_machine(const InstanceOffering& offering) {
    booting_.push_back(new_candidate(offering));
    ++counts_[{offering.type->name, offering.zone, offering.spot}];
    ++machines_;
  }

  std::vector<CandidateMachine>& booting_;
  const std::vector<InstanceOffering>& offerings_;
  int max_machines_;
  int machines_ = 0;
  std::map<InstanceKind, int> counts_;
};

}  // namespace

std::vector<ScaleOutRequest> plan_scale_out(std::vector<PlacementRequest> unplaced,
                                            std::vector<CandidateMachine>& booting,
                                            const std::vector<InstanceOffering>& offerings,
                                            int max_machines) {
  ScaleOutPlan plan(booting, offerings, max_machines);
  for (auto& placement_request : unplaced) plan.add_machines_for(placement_request);
  return plan.requests();
}

}  // namespace sumacquay
