#include "autoscaling/scale_out_planner.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace sumacquay {
namespace {

double part(double request, double capacity) {
  return capacity > 0 ? request / capacity : 0;
}

/// The largest part of the machine that one task takes of any resource.
double dominant(const Resources& request, const Resources& capacity) {
  return std::max({part(request.cpus, capacity.cpus), part(request.gpus, capacity.gpus),
                   part(request.memory_gb, capacity.memory_gb), 1e-6});
}

/// What renting this for `tasks` costs: the part that they use, half of the part that they leave
/// (others may use it), and the wait for boot and image on top.
double cost(const InstanceOffering& offering, const JobSpec& spec, size_t tasks) {
  const auto desired_running = static_cast<double>(tasks);
  const double each = dominant(spec.request, offering.type->capacity);
  const double per_machine = std::max(1.0, std::floor(1 / each + 1e-9));
  const double machines = std::ceil(desired_running / per_machine);
  const double used = std::min(machines, desired_running * each);
  const double fetch = spec.image_gb / std::max(offering.type->fetch_gb_per_s, 1e-3);
  constexpr double kWaitScale = 120;  // seconds of waiting that count like the price itself
  return offering.price * (0.5 * used + 0.5 * machines) *
         (1 + (offering.type->boot_s + fetch) / kWaitScale);
}

CandidateMachine new_candidate(const InstanceOffering& offering) {
  CandidateMachine s;
  s.type = offering.type->name;
  s.zone = offering.zone;
  s.spot = offering.spot;
  s.capacity = s.available = offering.type->capacity;
  return s;
}

bool one_task_fits(const PlacementRequest& placement_request, const InstanceOffering& offering) {
  std::vector<CandidateMachine> one{new_candidate(offering)};
  PlacementRequest probe = placement_request;
  JobSpec spec = *placement_request.spec;
  spec.kind = JobKind::Service;
  probe.spec = &spec;
  probe.tasks.resize(1);
  return !bin_pack(probe, one).empty();
}

void remove_placed(PlacementRequest& placement_request, const std::vector<Assignment>& assignments,
                   const std::vector<CandidateMachine>& candidates) {
  std::set<uint32_t> gone;
  for (const auto& p : assignments) {
    gone.insert(p.task);
    ++placement_request.zones[candidates[p.candidate].zone];
  }
  std::erase_if(placement_request.tasks, [&](uint32_t t) { return gone.contains(t); });
}

const InstanceOffering* cheapest(const PlacementRequest& placement_request,
                                 const std::vector<InstanceOffering>& offerings) {
  const InstanceOffering* best = nullptr;
  double best_cost = 0;
  for (const auto& offering : offerings) {
    if (offering.blocked ||
        !allowed(*placement_request.spec, offering.type->name, offering.zone, offering.spot))
      continue;
    if (!one_task_fits(placement_request, offering)) continue;
    const double c = cost(offering, *placement_request.spec, placement_request.tasks.size());
    if (!best || c < best_cost) best = &offering, best_cost = c;
  }
  return best;
}

}  // namespace

std::vector<ScaleOutRequest> plan_scale_out(std::vector<PlacementRequest> unplaced,
                                            std::vector<CandidateMachine>& booting,
                                            const std::vector<InstanceOffering>& offerings,
                                            int most) {
  std::map<std::tuple<std::string, std::string, bool>, int> counts;
  int rented = 0;
  for (auto& placement_request : unplaced) {
    const size_t before = booting.size();
    // A gang needs room for all its tasks at once, so machines are added until it fits whole.
    for (;;) {
      remove_placed(placement_request, bin_pack(placement_request, booting), booting);
      if (placement_request.tasks.empty() || rented >= most ||
          booting.size() - before > placement_request.tasks.size())
        break;
      const InstanceOffering* offering = cheapest(placement_request, offerings);
      if (!offering) break;
      booting.push_back(new_candidate(*offering));
      ++counts[{offering->type->name, offering->zone, offering->spot}];
      ++rented;
    }
  }
  std::vector<ScaleOutRequest> out;
  out.reserve(counts.size());
  for (const auto& [key, n] : counts)
    out.push_back({std::get<0>(key), std::get<1>(key), std::get<2>(key), n});
  return out;
}

}  // namespace sumacquay
