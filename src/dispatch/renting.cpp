// Machines that are rented: for what found no room, and ahead of what will arrive.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

/// So many machines may be rented at once in any fleet.
constexpr int kFewRented = 12;
/// The protocol's limit on one request.
constexpr int kMostOfARequest = 50;

}  // namespace

Seconds Scheduler::longest_boot() const {
  Seconds longest = 0;
  for (const auto& t : types_) longest = std::max(longest, t.boot_s);
  return longest;
}

std::vector<Offer> Scheduler::offers(Seconds now) const {
  std::vector<Offer> out;
  for (const auto& t : types_)
    for (const auto& zone : t.zones)
      for (bool spot : {false, true})
        out.push_back({&t, zone, spot, spot ? t.spot_price : t.price,
                       zone_reachability_.cut_off(zone) ||
                           rental_requests_.backing_off({t.name, zone, spot}, now)});
  return out;
}

void Scheduler::provision(Seconds now, std::vector<Action>& out) {
  if (now < next_provision_ || types_.empty() || !capacity_settled(now)) return;
  next_provision_ = now + settings_.heartbeat_period_s * 0.5;
  arrivals_.forget_old(now, longest_boot());
  for (auto& rent : rental_requests_.due_again(now)) out.emplace_back(std::move(rent));
  if (rental_requests_.any_open()) return;
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
  for (const auto& r : rentals(unplaced_, booting, offers(now), std::max(kFewRented, share)))
    request_machines(r, out);
}

void Scheduler::request_machines(const Rental& rental, std::vector<Action>& out) {
  for (int left = rental.count; left > 0; left -= kMostOfARequest) {
    Rent rent = rental_requests_.open({rental.type, rental.zone, rental.spot},
                                      std::min(left, kMostOfARequest));
    spdlog::info("rents {} {} in {}{}", rent.count, rent.type, rent.zone,
                 rent.spot ? " (spot)" : "");
    out.emplace_back(std::move(rent));
  }
}

void Scheduler::rent_done(const Rent& rent, RentOutcome outcome,
                          const std::vector<std::string>& machines, Seconds now) {
  if (outcome == RentOutcome::Unknown)
    return rental_requests_.repeat(rent, now, settings_.heartbeat_period_s);
  const size_t rented = outcome == RentOutcome::Rented ? machines.size() : 0;
  if (!rental_requests_.settle(rent, rented, now)) return;
  for (const auto& id : machines) {
    auto [it, added] = machines_.try_emplace(id);
    if (!added) continue;
    Machine& machine = it->second;
    machine.info = {id, "", rent.type, rent.zone, rent.spot};
    machine.first_seen = now;
    machine.accounted = true;
  }
}

}  // namespace sumacquay
