#include "provision/provision.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace sumacquay {
namespace {

double part(double need, double room) {
  return room > 0 ? need / room : 0;
}

/// The largest part of the machine that one task takes of any resource.
double dominant(const Amounts& need, const Amounts& room) {
  return std::max({part(need.cpus, room.cpus), part(need.gpus, room.gpus),
                   part(need.memory_gb, room.memory_gb), 1e-6});
}

/// What renting this for `tasks` costs: the part that they use, half of the part that they leave
/// (others may use it), and the wait for boot and image on top.
double cost(const Offer& o, const JobSpec& spec, size_t tasks) {
  const auto desired_running = static_cast<double>(tasks);
  const double each = dominant(spec.need, o.type->room);
  const double per_machine = std::max(1.0, std::floor(1 / each + 1e-9));
  const double machines = std::ceil(desired_running / per_machine);
  const double used = std::min(machines, desired_running * each);
  const double fetch = spec.image_gb / std::max(o.type->fetch_gb_per_s, 1e-3);
  constexpr double kWaitScale = 120;  // seconds of waiting that count like the price itself
  return o.price * (0.5 * used + 0.5 * machines) * (1 + (o.type->boot_s + fetch) / kWaitScale);
}

Slot fresh_slot(const Offer& o) {
  Slot s;
  s.type = o.type->name;
  s.zone = o.zone;
  s.spot = o.spot;
  s.room = s.free = o.type->room;
  return s;
}

bool one_task_fits(const Demand& d, const Offer& o) {
  std::vector<Slot> one{fresh_slot(o)};
  Demand probe = d;
  JobSpec spec = *d.spec;
  spec.kind = JobKind::Service;
  probe.spec = &spec;
  probe.tasks.resize(1);
  return !place(probe, one).empty();
}

void remove_placed(Demand& d, const std::vector<Placed>& placed, const std::vector<Slot>& slots) {
  std::set<uint32_t> gone;
  for (const auto& p : placed) {
    gone.insert(p.task);
    ++d.zones[slots[p.slot].zone];
  }
  std::erase_if(d.tasks, [&](uint32_t t) { return gone.contains(t); });
}

const Offer* cheapest(const Demand& d, const std::vector<Offer>& offers) {
  const Offer* best = nullptr;
  double best_cost = 0;
  for (const auto& o : offers) {
    if (o.blocked || !allowed(*d.spec, o.type->name, o.zone, o.spot)) continue;
    if (!one_task_fits(d, o)) continue;
    const double c = cost(o, *d.spec, d.tasks.size());
    if (!best || c < best_cost) best = &o, best_cost = c;
  }
  return best;
}

}  // namespace

std::vector<Rental> rentals(std::vector<Demand> unplaced, std::vector<Slot>& booting,
                            const std::vector<Offer>& offers, int most) {
  std::map<std::tuple<std::string, std::string, bool>, int> counts;
  int rented = 0;
  for (auto& d : unplaced) {
    const size_t before = booting.size();
    // A gang needs room for all its tasks at once, so machines are added until it fits whole.
    for (;;) {
      remove_placed(d, place(d, booting), booting);
      if (d.tasks.empty() || rented >= most || booting.size() - before > d.tasks.size()) break;
      const Offer* o = cheapest(d, offers);
      if (!o) break;
      booting.push_back(fresh_slot(*o));
      ++counts[{o->type->name, o->zone, o->spot}];
      ++rented;
    }
  }
  std::vector<Rental> out;
  out.reserve(counts.size());
  for (const auto& [key, n] : counts)
    out.push_back({std::get<0>(key), std::get<1>(key), std::get<2>(key), n});
  return out;
}

}  // namespace sumacquay
