// Machines that are rented: for what found no room, and ahead of what will arrive.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/leader_core.h"

namespace sumacquay {
namespace {

/// Seconds for which the cloud is not asked again for what it refused, doubling each time.
constexpr double kRefusal = 5;
constexpr int kMostRented = 12;

}  // namespace

Seconds LeaderCore::longest_boot() const {
  Seconds longest = 0;
  for (const auto& t : types_) longest = std::max(longest, t.boot_s);
  return longest;
}

std::vector<Offer> LeaderCore::offers(Seconds now) const {
  std::vector<Offer> out;
  for (const auto& t : types_)
    for (const auto& zone : t.zones)
      for (bool spot : {false, true}) {
        const auto refused = refused_.find({t.name, zone, spot});
        out.push_back({&t, zone, spot, spot ? t.spot_price : t.price,
                       cut_zones_.count(zone) > 0 ||
                           (refused != refused_.end() && now < refused->second.first)});
      }
  return out;
}

void LeaderCore::provision(Seconds now, std::vector<Action>& out) {
  if (now < next_provision_ || types_.empty() || !picture_settled(now)) return;
  next_provision_ = now + settings_.report_s * 0.5;
  arrivals_.forget_old(now, longest_boot());
  for (auto& [name, open] : open_rents_) {
    if (now < open.second) continue;
    open.second = now + 1e9;
    out.push_back(open.first);
  }
  if (!open_rents_.empty()) return;
  auto booting = picture(now, true);
  auto up = picture(now, false);
  const auto expected = arrivals_.expected(settings_.tuning.headroom);
  for (auto& d : demands_of(expected)) {
    for (const auto& p : place(d, up)) {
      ++d.zones[up[p.slot].zone];
      std::erase(d.tasks, p.task);
    }
    if (!d.tasks.empty()) unplaced_.push_back(std::move(d));
  }
  for (const auto& r : rentals(unplaced_, booting, offers(now), kMostRented)) {
    Rent rent{name_request(), r.type, r.zone, r.spot, r.count};
    open_rents_[rent.request] = {rent, now + 1e9};
    spdlog::info("rents {} {} in {}{}", rent.count, rent.type, rent.zone,
                 rent.spot ? " (spot)" : "");
    out.push_back(std::move(rent));
  }
}

std::string LeaderCore::name_request() {
  // The term is this leader's alone, so no node ever repeats a name.
  return "sq-" + std::to_string(term_) + "-" + std::to_string(next_request_++);
}

void LeaderCore::rent_done(const Rent& rent, RentOutcome outcome,
                           const std::vector<std::string>& machines, Seconds now) {
  const auto open = open_rents_.find(rent.request);
  if (open == open_rents_.end()) return;
  if (outcome == RentOutcome::Unknown) {
    // The same request again: if it was carried out it rents nothing more.
    open->second.second = now + settings_.report_s;
    return;
  }
  open_rents_.erase(open);
  auto& [until, times] = refused_[{rent.type, rent.zone, rent.spot}];
  const bool filled =
      outcome == RentOutcome::Rented && static_cast<int>(machines.size()) >= rent.count;
  if (filled) {
    times = 0;
  } else {
    until = now + kRefusal * (1 << std::min(times, 4));
    ++times;
  }
  for (const auto& id : machines) {
    auto [it, added] = machines_.try_emplace(id);
    if (!added) continue;
    Machine& m = it->second;
    m.info = {id, "", rent.type, rent.zone, rent.spot};
    m.first_seen = now;
    m.accounted = true;
  }
}

}  // namespace sumacquay
