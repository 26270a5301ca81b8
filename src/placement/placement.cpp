#include "placement/placement.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <tuple>
#include <utility>

namespace sumacquay {
namespace {

using Zones = std::unordered_map<std::string, uint32_t>;

bool zone_allows(const JobSpec& spec, const Zones& zones, const std::string& zone) {
  if (spec.one_zone)
    for (const auto& [used, n] : zones)
      if (n > 0 && used != zone) return false;
  if (!spec.spread) return true;
  const auto it = zones.find(zone);
  return (it == zones.end() ? 0 : it->second) < spec.zone_limit();
}

/// Smaller is better: the fullest machine, GPUs first; ties go to one that holds the image.
/// A task without GPUs keeps off machines that have some as long as others fit, since room beside
/// idle GPUs is what GPU tasks need.
auto rank(const Slot& s, const Demand& d) {
  const bool wastes_gpus = d.spec->need.gpus == 0 && s.room.gpus > 0;
  const bool image = d.has_image && d.has_image(s);
  return std::make_tuple(wastes_gpus, d.image_first && !image, s.room.gpus, !image, s.free.gpus,
                         s.free.cpus, s.free.memory_gb);
}

bool allowed_zone(const JobSpec& spec, const std::string& zone) {
  return !spec.zone || *spec.zone == zone;
}

bool usable(const Slot& s, const Demand& d, const Zones& zones) {
  return s.usable && allowed(*d.spec, s.type, s.zone, s.spot) &&
         zone_allows(*d.spec, zones, s.zone) && !(d.avoid && d.avoid(s));
}

/// The best slot stays the best while tasks of the same job are put on it, since each makes it
/// fuller, and a slot that no longer fits or whose zone is full stays so. Ranking once is therefore
/// the same as looking for the best slot again for each task, at a fraction of the cost.
std::vector<Placed> greedy(const Demand& d, std::vector<Slot>& slots, Zones zones) {
  using Ranked = std::pair<decltype(rank(slots[0], d)), size_t>;
  std::vector<Ranked> order;
  for (size_t i = 0; i < slots.size(); ++i)
    if (slots[i].fits(d.spec->need) && usable(slots[i], d, zones))
      order.emplace_back(rank(slots[i], d), i);
  // A heap hands out the best slots in order, at the cost of those that are used: of thousands that
  // fit, a job needs a few.
  std::make_heap(order.begin(), order.end(), std::greater<>());
  std::vector<Placed> out;
  auto task = d.tasks.begin();
  while (task != d.tasks.end() && !order.empty()) {
    std::pop_heap(order.begin(), order.end(), std::greater<>());
    const size_t i = order.back().second;
    order.pop_back();
    while (task != d.tasks.end() && slots[i].fits(d.spec->need) &&
           zone_allows(*d.spec, zones, slots[i].zone)) {
      slots[i].free -= d.spec->need;
      ++zones[slots[i].zone];
      out.push_back({*task++, i});
    }
  }
  return out;
}

void give_back(const Demand& d, std::vector<Slot>& slots, const std::vector<Placed>& placed) {
  for (const auto& p : placed) slots[p.slot].free += d.spec->need;
}

std::vector<std::string> zones_of(const std::vector<Slot>& slots) {
  std::vector<std::string> names;
  for (const auto& s : slots)
    if (std::find(names.begin(), names.end(), s.zone) == names.end()) names.push_back(s.zone);
  return names;
}

std::vector<Placed> greedy_in(const std::string& zone, const Demand& d, std::vector<Slot>& slots) {
  JobSpec pinned = *d.spec;
  pinned.zone = zone;
  Demand in_zone = d;
  in_zone.spec = &pinned;
  return greedy(in_zone, slots, d.zones);
}

/// A gang in one zone may fit in another zone than the one the fullest machine is in.
std::vector<Placed> gang_in_some_zone(const Demand& d, std::vector<Slot>& slots) {
  for (const auto& zone : zones_of(slots)) {
    if (!allowed_zone(*d.spec, zone)) continue;
    auto placed = greedy_in(zone, d, slots);
    if (placed.size() == d.tasks.size()) return placed;
    give_back(d, slots, placed);
  }
  return {};
}

/// How many tasks there is room for in the zone; takes none of it.
size_t room_in(const std::string& zone, const Demand& d, std::vector<Slot>& slots) {
  const auto placed = greedy_in(zone, d, slots);
  give_back(d, slots, placed);
  return placed.size();
}

/// Whether it is work that another team runs beyond its guarantee, and the demand is within its
/// own. Higher priority doesn't give way: it would go before the demand in the next round, and stop
/// it.
bool yields_to_guarantee(const Demand& d, const Victim& victim) {
  return d.within_guarantee && victim.beyond_guarantee && victim.team != d.spec->team &&
         victim.priority <= d.priority();
}

/// Lower priority and work beyond a guarantee give way; but a gang, which stops on all its
/// machines, only to a task that takes a good part of one of them.
bool may_stop(const Demand& d, const Victim& victim) {
  constexpr double kGoodPart = 0.4;
  const JobSpec& spec = *d.spec;
  if (victim.stopped) return false;
  if (victim.priority >= d.priority() && !yields_to_guarantee(d, victim)) return false;
  if (!victim.gang) return true;
  const bool by_gpus = victim.need.gpus > 0;
  return by_gpus ? spec.need.gpus >= kGoodPart * victim.need.gpus
                 : spec.need.cpus >= kGoodPart * victim.need.cpus;
}

/// Whether the victim's team keeps its guarantee if it loses this one beside those chosen already.
bool team_can_spare(const Victim& victim, const std::vector<size_t>& chosen,
                    const std::vector<Victim>& victims, const RunningResources& running) {
  Amounts lost = victim.stops;
  for (size_t v : chosen)
    if (victims[v].team == victim.team) lost += victims[v].stops;
  return running.can_spare(victim.team, lost);
}

double cost_of(const Victim& victim) {
  return 1 + victim.loss_s + 1000.0 * static_cast<int>(victim.priority);
}

/// Leaves out, the dearest first, those without whom the task fits all the same: a large one that
/// came last may make small ones needless. Returns what they would have cost.
double drop_needless(std::vector<size_t>& chosen, const std::vector<Victim>& victims,
                     const Amounts& need, Amounts room) {
  double saved = 0;
  for (size_t i = chosen.size(); i-- > 0;) {
    const Victim& victim = victims[chosen[i]];
    Amounts without = room;
    without -= victim.need;
    if (!need.fits_in(without)) continue;
    room = without;
    saved += cost_of(victim);
    chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return saved;
}

}  // namespace

bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
  return spec.allows_type(type) && allowed_zone(spec, zone) && (spec.spot || !spot);
}

std::vector<Placed> place(const Demand& d, std::vector<Slot>& slots) {
  auto placed = greedy(d, slots, d.zones);
  const bool whole = placed.size() == d.tasks.size();
  if (d.spec->kind != JobKind::Gang || whole) return placed;
  give_back(d, slots, placed);
  return d.spec->one_zone ? gang_in_some_zone(d, slots) : std::vector<Placed>{};
}

void hold(Demand& d, std::vector<Slot>& slots, const std::vector<Slot>& soon) {
  std::vector<Placed> held;
  if (!d.spec->one_zone) {
    held = greedy(d, slots, d.zones);
  } else {
    std::vector<Slot> later = soon;
    auto names = zones_of(slots);
    for (const auto& zone : zones_of(soon))
      if (std::find(names.begin(), names.end(), zone) == names.end()) names.push_back(zone);
    std::sort(names.begin(), names.end());
    std::optional<std::string> best;
    size_t most = 0;
    for (const auto& zone : names) {
      if (!allowed_zone(*d.spec, zone)) continue;
      const size_t room = room_in(zone, d, slots) + room_in(zone, d, later);
      if (best && room <= most) continue;
      best = zone;
      most = room;
    }
    if (!best || most == 0) return;
    held = greedy_in(*best, d, slots);
    d.zones[*best] += 1;  // binds the rest to it
  }
  for (const auto& p : held) std::erase(d.tasks, p.task);
}

void hold_beside_gpus(const Demand& d, std::vector<Slot>& slots) {
  const Amounts& need = d.spec->need;
  if (need.gpus <= 0) return;
  using Ranked = std::pair<double, size_t>;
  std::vector<Ranked> order;
  for (size_t i = 0; i < slots.size(); ++i)
    if (slots[i].free.gpus - slots[i].held.gpus >= need.gpus && usable(slots[i], d, d.zones))
      order.emplace_back(slots[i].held.cpus - slots[i].free.cpus, i);
  std::sort(order.begin(), order.end());
  size_t left = d.tasks.size();
  for (const auto& [ignored, i] : order)
    for (; left > 0 && slots[i].free.gpus - slots[i].held.gpus >= need.gpus; --left)
      slots[i].held += need;
}

Trial::~Trial() {
  for (const auto& [slot, need] : taken_) slots_[slot].free += need;
}

std::vector<size_t> Trial::keep() {
  std::vector<size_t> slots;
  for (const auto& [slot, need] : std::exchange(taken_, {})) slots.push_back(slot);
  return slots;
}

bool Trial::fits(const Demand& d) {
  const auto placed = place(d, slots_);
  for (const auto& p : placed) taken_.emplace_back(p.slot, d.spec->need);
  return placed.size() == d.tasks.size();
}

std::optional<Preemption> preempt(const Demand& d, const std::vector<Slot>& slots,
                                  const std::vector<Victim>& victims,
                                  const RunningResources& running) {
  std::vector<std::vector<size_t>> by_slot(slots.size());
  for (size_t v = 0; v < victims.size(); ++v)
    if (may_stop(d, victims[v])) by_slot[victims[v].slot].push_back(v);
  std::optional<Preemption> best;
  double best_loss = 0;
  for (size_t i = 0; i < slots.size(); ++i) {
    auto& order = by_slot[i];
    Amounts room = slots[i].free;
    room += slots[i].coming;
    Amounts most = room;
    for (size_t v : order) most += victims[v].need;
    // The rest is dearer, and most slots end here.
    if (!d.spec->need.fits_in(most) || !usable(slots[i], d, d.zones)) continue;
    if (d.spec->need.fits_in(room)) return Preemption{i, {}, true};
    std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
      return std::tie(victims[a].priority, victims[a].loss_s) <
             std::tie(victims[b].priority, victims[b].loss_s);
    });
    Preemption p{i, {}, false};
    double loss = 0;
    for (size_t v : order) {
      if (d.spec->need.fits_in(room)) break;
      if (victims[v].priority >= d.priority() &&
          !team_can_spare(victims[v], p.victims, victims, running))
        continue;
      room += victims[v].need;
      loss += cost_of(victims[v]);
      p.victims.push_back(v);
    }
    if (!d.spec->need.fits_in(room)) continue;
    if (d.within_guarantee) loss -= drop_needless(p.victims, victims, d.spec->need, room);
    if (!best || loss < best_loss) best = p, best_loss = loss;
  }
  return best;
}

}  // namespace sumacquay
