// Machines that are rented: for what found no room, and ahead of what will arrive.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

/// So many machines may be rented at once in any fleet.
constexpr int kMinScaleOutLimit = 12;
/// The protocol's limit on one request.
constexpr int kMaxInstancesPerRequest = 50;

}  // namespace

Seconds Scheduler::longest_boot_time() const {
  Seconds longest = 0;
  for (const auto& t : types_) longest = std::max(longest, t.boot_s);
  return longest;
}

std::vector<InstanceOffering> Scheduler::offerings(Seconds now) const {
  std::vector<InstanceOffering> out;
  for (const auto& t : types_)
    for (const auto& zone : t.zones)
      for (bool spot : {false, true})
        out.push_back({&t, zone, spot, spot ? t.spot_price : t.price,
                       zone_partition_detector_.partitioned(zone) ||
                           scale_out_requests_.backing_off({t.name, zone, spot}, now)});
  return out;
}

void Scheduler::scale_out(Seconds now, std::vector<Action>& out) {
  if (now < next_scale_out_ || types_.empty() || !capacity_settled(now)) return;
  next_scale_out_ = now + settings_.heartbeat_period_s * 0.5;
  arrivals_.forget_old(now, longest_boot_time());
  for (auto& rent : scale_out_requests_.due_for_retry(now)) out.emplace_back(std::move(rent));
  if (scale_out_requests_.any_in_flight()) return;
  auto booting = capacity_snapshot(now, true);
  auto up = capacity_snapshot(now, false);
  const auto expected = arrivals_.expected(settings_.tuning.headroom);
  for (auto& placement_request : placement_requests_for(expected)) {
    for (const auto& p : bin_pack(placement_request, up)) {
      ++placement_request.zones[up[p.candidate].zone];
      std::erase(placement_request.tasks, p.task);
    }
    if (!placement_request.tasks.empty()) unplaced_.push_back(std::move(placement_request));
  }
  const auto share = static_cast<int>(settings_.tuning.rent * static_cast<double>(up.size()));
  for (const auto& r :
       plan_scale_out(unplaced_, booting, offerings(now), std::max(kMinScaleOutLimit, share)))
    request_instances(r, out);
}

void Scheduler::request_instances(const ScaleOutRequest& scale_out_request,
                                  std::vector<Action>& out) {
  for (int left = scale_out_request.count; left > 0; left -= kMaxInstancesPerRequest) {
    ScaleOut rent = scale_out_requests_.open(
        {scale_out_request.type, scale_out_request.zone, scale_out_request.spot},
        std::min(left, kMaxInstancesPerRequest));
    spdlog::info("rents {} {} in {}{}", rent.count, rent.type, rent.zone,
                 rent.spot ? " (spot)" : "");
    out.emplace_back(std::move(rent));
  }
}

void Scheduler::on_scale_out_answered(const ScaleOut& rent, ScaleOutOutcome outcome,
                                      const std::vector<std::string>& machines, Seconds now) {
  if (outcome == ScaleOutOutcome::Unknown)
    return scale_out_requests_.retry_after(rent, now, settings_.heartbeat_period_s);
  const size_t rented = outcome == ScaleOutOutcome::Granted ? machines.size() : 0;
  if (!scale_out_requests_.complete(rent, rented, now)) return;
  for (const auto& id : machines) {
    auto [it, added] = machines_.try_emplace(id);
    if (!added) continue;
    Machine& machine = it->second;
    machine.info = {id, "", rent.type, rent.zone, rent.spot};
    machine.first_seen = now;
    machine.reconciled = true;
  }
}

}  // namespace sumacquay
