// Machines that are rented: for what found no room, and ahead of what will arrive.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "dispatch/leader_core.h"

namespace sumacquay {
namespace {

/// Seconds for which the cloud is not asked again for what it refused, doubling each time.
constexpr double kRefusal = 5;
constexpr int kMostRented = 12;
/// Arrivals of the last so many boot times tell what to expect.
constexpr double kMemory = 5;

}  // namespace

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

void LeaderCore::note_arrival(const JobRecord& record) {
  Arrivals& a = arrivals_[record.spec.job_class];
  a.spec = record.spec;
  a.jobs.emplace_back(static_cast<double>(record.submitted_ms) / 1000 - wall_offset_,
                      record.spec.tasks);
}

/// Arrivals count for a few boot times: when fewer come, less room is kept.
void LeaderCore::forget_arrivals(Seconds now) {
  double boot = 0;
  for (const auto& t : types_) boot = std::max(boot, t.boot_s);
  for (auto& [name, a] : arrivals_)
    std::erase_if(a.jobs, [&](const auto& j) { return j.first < now - kMemory * boot; });
}

/// Room for what will arrive while a machine boots, at the rate of late. Services stay, so each
/// arrival needs room of its own; of arrays, which come and go, one is expected at a time, and
/// room is only kept for those that may use cheap machines.
std::vector<Demand> LeaderCore::headroom(std::vector<JobSpec>& specs, Seconds) const {
  std::vector<Demand> out;
  specs.reserve(arrivals_.size());
  for (const auto& [name, a] : arrivals_) {
    double tasks = 0;
    for (const auto& [at, n] : a.jobs) tasks += n;
    double expected = 0;
    // Arrivals are uneven: the mean and one deviation of it.
    const double mean = tasks / kMemory;
    if (a.spec.kind == JobKind::Service)
      expected = mean + std::sqrt(mean);
    else if (a.spec.kind == JobKind::Array && a.spec.spot && !a.jobs.empty())
      expected = std::max(tasks / static_cast<double>(a.jobs.size()), mean);
    const auto n = static_cast<uint32_t>(std::ceil(settings_.tuning.headroom * expected - 1e-9));
    if (n == 0) continue;
    specs.push_back(a.spec);
    specs.back().tasks = n;
    specs.back().kind = JobKind::Service;
    Demand d;
    d.spec = &specs.back();
    for (uint32_t i = 0; i < n; ++i) d.tasks.push_back(i);
    out.push_back(std::move(d));
  }
  return out;
}

void LeaderCore::provision(Seconds now, std::vector<Action>& out) {
  if (now < next_provision_ || types_.empty() || !picture_settled(now)) return;
  next_provision_ = now + settings_.report_s * 0.5;
  forget_arrivals(now);
  for (auto& [name, open] : open_rents_) {
    if (now < open.second) continue;
    open.second = now + 1e9;
    out.push_back(open.first);
  }
  if (!open_rents_.empty()) return;
  auto booting = picture(now, true);
  auto up = picture(now, false);
  std::vector<JobSpec> specs;
  for (auto& d : headroom(specs, now)) {
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
