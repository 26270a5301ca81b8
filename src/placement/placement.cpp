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
auto rank(const CandidateMachine& candidate, const PlacementRequest& placement_request) {
  const bool wastes_gpus = placement_request.spec->request.gpus == 0 && candidate.capacity.gpus > 0;
  const bool image = placement_request.has_image && placement_request.has_image(candidate);
  return std::make_tuple(wastes_gpus, placement_request.image_first && !image,
                         candidate.capacity.gpus, !image, candidate.available.gpus,
                         candidate.available.cpus, candidate.available.memory_gb);
}

bool allowed_zone(const JobSpec& spec, const std::string& zone) {
  return !spec.zone || *spec.zone == zone;
}

bool schedulable(const CandidateMachine& candidate, const PlacementRequest& placement_request,
                 const Zones& zones) {
  return candidate.schedulable &&
         allowed(*placement_request.spec, candidate.type, candidate.zone, candidate.spot) &&
         zone_allows(*placement_request.spec, zones, candidate.zone) &&
         !(placement_request.avoid && placement_request.avoid(candidate));
}

/// The best slot stays the best while tasks of the same job are put on it, since each makes it
/// fuller, and a slot that no longer fits or whose zone is full stays so. Ranking once is therefore
/// the same as looking for the best slot again for each task, at a fraction of the cost.
std::vector<Assignment> greedy(const PlacementRequest& placement_request,
                               std::vector<CandidateMachine>& candidates, Zones zones) {
  using Ranked = std::pair<decltype(rank(candidates[0], placement_request)), size_t>;
  std::vector<Ranked> order;
  for (size_t i = 0; i < candidates.size(); ++i)
    if (candidates[i].fits(placement_request.spec->request) &&
        schedulable(candidates[i], placement_request, zones))
      order.emplace_back(rank(candidates[i], placement_request), i);
  // A heap hands out the best slots in order, at the cost of those that are used: of thousands that
  // fit, a job needs a few.
  std::make_heap(order.begin(), order.end(), std::greater<>());
  std::vector<Assignment> out;
  auto task = placement_request.tasks.begin();
  while (task != placement_request.tasks.end() && !order.empty()) {
    std::pop_heap(order.begin(), order.end(), std::greater<>());
    const size_t i = order.back().second;
    order.pop_back();
    while (task != placement_request.tasks.end() &&
           candidates[i].fits(placement_request.spec->request) &&
           zone_allows(*placement_request.spec, zones, candidates[i].zone)) {
      candidates[i].available -= placement_request.spec->request;
      ++zones[candidates[i].zone];
      out.push_back({*task++, i});
    }
  }
  return out;
}

void give_back(const PlacementRequest& placement_request, std::vector<CandidateMachine>& candidates,
               const std::vector<Assignment>& assignments) {
  for (const auto& p : assignments)
    candidates[p.candidate].available += placement_request.spec->request;
}

std::vector<std::string> zones_of(const std::vector<CandidateMachine>& candidates) {
  std::vector<std::string> names;
  for (const auto& candidate : candidates)
    if (std::find(names.begin(), names.end(), candidate.zone) == names.end())
      names.push_back(candidate.zone);
  return names;
}

std::vector<Assignment> greedy_in(const std::string& zone,
                                  const PlacementRequest& placement_request,
                                  std::vector<CandidateMachine>& candidates) {
  JobSpec pinned = *placement_request.spec;
  pinned.zone = zone;
  PlacementRequest in_zone = placement_request;
  in_zone.spec = &pinned;
  return greedy(in_zone, candidates, placement_request.zones);
}

/// A gang in one zone may fit in another zone than the one the fullest machine is in.
std::vector<Assignment> gang_in_some_zone(const PlacementRequest& placement_request,
                                          std::vector<CandidateMachine>& candidates) {
  for (const auto& zone : zones_of(candidates)) {
    if (!allowed_zone(*placement_request.spec, zone)) continue;
    auto assignments = greedy_in(zone, placement_request, candidates);
    if (assignments.size() == placement_request.tasks.size()) return assignments;
    give_back(placement_request, candidates, assignments);
  }
  return {};
}

/// How many tasks there is room for in the zone; takes none of it.
size_t room_in(const std::string& zone, const PlacementRequest& placement_request,
               std::vector<CandidateMachine>& candidates) {
  const auto assignments = greedy_in(zone, placement_request, candidates);
  give_back(placement_request, candidates, assignments);
  return assignments.size();
}

/// Whether it is work that another team runs beyond its guarantee, and the demand is within its
/// own. Higher priority doesn't give way: it would go before the demand in the next round, and stop
/// it.
bool yields_to_fair_share(const PlacementRequest& placement_request, const Victim& victim) {
  return placement_request.within_fair_share && victim.beyond_fair_share &&
         victim.team != placement_request.spec->team &&
         victim.priority <= placement_request.priority();
}

/// Lower priority and work beyond a guarantee give way; but a gang, which stops on all its
/// machines, only to a task that takes a good part of one of them.
bool may_stop(const PlacementRequest& placement_request, const Victim& victim) {
  constexpr double kGoodPart = 0.4;
  const JobSpec& spec = *placement_request.spec;
  if (victim.stopped) return false;
  if (victim.priority >= placement_request.priority() &&
      !yields_to_fair_share(placement_request, victim))
    return false;
  if (!victim.gang) return true;
  const bool by_gpus = victim.request.gpus > 0;
  return by_gpus ? spec.request.gpus >= kGoodPart * victim.request.gpus
                 : spec.request.cpus >= kGoodPart * victim.request.cpus;
}

/// Whether the victim's team keeps its guarantee if it loses this one beside those chosen already.
bool team_keeps_fair_share(const Victim& victim, const std::vector<size_t>& chosen,
                           const std::vector<Victim>& victims, const RunningResources& running) {
  Resources lost = victim.stops;
  for (size_t v : chosen)
    if (victims[v].team == victim.team) lost += victims[v].stops;
  return running.keeps_fair_share_without(victim.team, lost);
}

double cost_of(const Victim& victim) {
  return 1 + victim.loss_s + 1000.0 * static_cast<int>(victim.priority);
}

/// Leaves out, the dearest first, those without whom the task fits all the same: a large one that
/// came last may make small ones needless. Returns what they would have cost.
double drop_unneeded_victims(std::vector<size_t>& chosen, const std::vector<Victim>& victims,
                             const Resources& request, Resources capacity) {
  double saved = 0;
  for (size_t i = chosen.size(); i-- > 0;) {
    const Victim& victim = victims[chosen[i]];
    Resources without = capacity;
    without -= victim.request;
    if (!request.fits_in(without)) continue;
    capacity = without;
    saved += cost_of(victim);
    chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return saved;
}

}  // namespace

bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
  return spec.allows_type(type) && allowed_zone(spec, zone) && (spec.spot || !spot);
}

std::vector<Assignment> bin_pack(const PlacementRequest& placement_request,
                                 std::vector<CandidateMachine>& candidates) {
  auto assignments = greedy(placement_request, candidates, placement_request.zones);
  const bool whole = assignments.size() == placement_request.tasks.size();
  if (placement_request.spec->kind != JobKind::Gang || whole) return assignments;
  give_back(placement_request, candidates, assignments);
  return placement_request.spec->one_zone ? gang_in_some_zone(placement_request, candidates)
                                          : std::vector<Assignment>{};
}

void reserve_for_gang(PlacementRequest& placement_request,
                      std::vector<CandidateMachine>& candidates,
                      const std::vector<CandidateMachine>& soon) {
  std::vector<Assignment> held;
  if (!placement_request.spec->one_zone) {
    held = greedy(placement_request, candidates, placement_request.zones);
  } else {
    std::vector<CandidateMachine> later = soon;
    auto names = zones_of(candidates);
    for (const auto& zone : zones_of(soon))
      if (std::find(names.begin(), names.end(), zone) == names.end()) names.push_back(zone);
    std::sort(names.begin(), names.end());
    std::optional<std::string> best;
    size_t most = 0;
    for (const auto& zone : names) {
      if (!allowed_zone(*placement_request.spec, zone)) continue;
      const size_t capacity =
          room_in(zone, placement_request, candidates) + room_in(zone, placement_request, later);
      if (best && capacity <= most) continue;
      best = zone;
      most = capacity;
    }
    if (!best || most == 0) return;
    held = greedy_in(*best, placement_request, candidates);
    placement_request.zones[*best] += 1;  // binds the rest to it
  }
  for (const auto& p : held) std::erase(placement_request.tasks, p.task);
}

void reserve_beside_gpus(const PlacementRequest& placement_request,
                         std::vector<CandidateMachine>& candidates) {
  const Resources& request = placement_request.spec->request;
  if (request.gpus <= 0) return;
  using Ranked = std::pair<double, size_t>;
  std::vector<Ranked> order;
  for (size_t i = 0; i < candidates.size(); ++i)
    if (candidates[i].available.gpus - candidates[i].reserved.gpus >= request.gpus &&
        schedulable(candidates[i], placement_request, placement_request.zones))
      order.emplace_back(candidates[i].reserved.cpus - candidates[i].available.cpus, i);
  std::sort(order.begin(), order.end());
  size_t left = placement_request.tasks.size();
  for (const auto& [ignored, i] : order)
    for (; left > 0 && candidates[i].available.gpus - candidates[i].reserved.gpus >= request.gpus;
         --left)
      candidates[i].reserved += request;
}

TentativePlacement::~TentativePlacement() {
  for (const auto& [candidate, request] : taken_) candidates_[candidate].available += request;
}

std::vector<size_t> TentativePlacement::keep() {
  std::vector<size_t> candidates;
  for (const auto& [candidate, request] : std::exchange(taken_, {}))
    candidates.push_back(candidate);
  return candidates;
}

bool TentativePlacement::fits(const PlacementRequest& placement_request) {
  const auto assignments = bin_pack(placement_request, candidates_);
  for (const auto& p : assignments)
    taken_.emplace_back(p.candidate, placement_request.spec->request);
  return assignments.size() == placement_request.tasks.size();
}

std::optional<Preemption> preempt(const PlacementRequest& placement_request,
                                  const std::vector<CandidateMachine>& candidates,
                                  const std::vector<Victim>& victims,
                                  const RunningResources& running) {
  std::vector<std::vector<size_t>> by_candidate(candidates.size());
  for (size_t v = 0; v < victims.size(); ++v)
    if (may_stop(placement_request, victims[v])) by_candidate[victims[v].candidate].push_back(v);
  std::optional<Preemption> best;
  double best_loss = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    auto& order = by_candidate[i];
    Resources capacity = candidates[i].available;
    capacity += candidates[i].releasing;
    Resources most = capacity;
    for (size_t v : order) most += victims[v].request;
    // The rest is dearer, and most slots end here.
    if (!placement_request.spec->request.fits_in(most) ||
        !schedulable(candidates[i], placement_request, placement_request.zones))
      continue;
    if (placement_request.spec->request.fits_in(capacity)) return Preemption{i, {}, true};
    std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
      return std::tie(victims[a].priority, victims[a].loss_s) <
             std::tie(victims[b].priority, victims[b].loss_s);
    });
    Preemption p{i, {}, false};
    double loss = 0;
    for (size_t v : order) {
      if (placement_request.spec->request.fits_in(capacity)) break;
      if (victims[v].priority >= placement_request.priority() &&
          !team_keeps_fair_share(victims[v], p.victims, victims, running))
        continue;
      capacity += victims[v].request;
      loss += cost_of(victims[v]);
      p.victims.push_back(v);
    }
    if (!placement_request.spec->request.fits_in(capacity)) continue;
    if (placement_request.within_fair_share)
      loss -= drop_unneeded_victims(p.victims, victims, placement_request.spec->request, capacity);
    if (!best || loss < best_loss) best = p, best_loss = loss;
  }
  return best;
}

}  // namespace sumacquay
