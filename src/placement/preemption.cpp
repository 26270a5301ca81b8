#include "placement/preemption.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "placement/eligibility.h"

namespace sumacquay {
namespace {

/// Whether the request is within its team's fair share and the victim belongs to another team and
/// is beyond that team's share. Victims of higher priority do not yield: the next round would place
/// them before the request, and they would preempt it.
bool yields_to_fair_share(const PlacementRequest& placement_request, const Victim& victim) {
  return placement_request.within_fair_share && victim.beyond_fair_share &&
         victim.team != placement_request.spec->team &&
         victim.priority <= placement_request.priority();
}

/// Whether the request may preempt the victim, which must have lower priority or be beyond its
/// team's fair share. Preempting one task of a gang stops the whole gang, so a gang is preempted
/// only for a task that needs a substantial fraction of the resources of one gang task.
bool may_preempt(const PlacementRequest& placement_request, const Victim& victim) {
  constexpr double kMinGangRequestFraction = 0.4;
  const JobSpec& spec = *placement_request.spec;
  if (victim.being_stopped) return false;
  if (victim.priority >= placement_request.priority() &&
      !yields_to_fair_share(placement_request, victim))
    return false;
  if (!victim.gang) return true;
  const bool by_gpus = victim.request.gpus > 0;
  return by_gpus ? spec.request.gpus >= kMinGangRequestFraction * victim.request.gpus
                 : spec.request.cpus >= kMinGangRequestFraction * victim.request.cpus;
}

/// Cost of preempting the victim in seconds of lost progress.
double cost_of(const Victim& victim) {
  constexpr double kSecondsPerPriorityLevel = 1000.0;
  return 1 + victim.loss_s + kSecondsPerPriorityLevel * static_cast<int>(victim.priority);
}

/// Preemption on one machine, with its cost.
struct PreemptionPlan {
  Preemption preemption;
  double cost = 0;
};

/// Evaluates the machines for one task.
class PreemptionSearch {
 public:
  PreemptionSearch(const PlacementRequest& placement_request, const std::vector<Victim>& victims,
                   const RunningResources& running)
      : placement_request_(placement_request),
        request_(placement_request.request()),
        victims_(victims),
        running_(running) {}

  /// The victims that the request may preempt, grouped by candidate.
  std::vector<std::vector<size_t>> victims_per_candidate(size_t candidates) const {
    std::vector<std::vector<size_t>> per_candidate(candidates);
    for (size_t victim = 0; victim < victims_.size(); ++victim)
      if (may_preempt(placement_request_, victims_[victim]))
        per_candidate[victims_[victim].candidate].push_back(victim);
    return per_candidate;
  }

  /// The victims to preempt on the machine with this index; none if the task does not fit even so.
  /// `preemptible` lists the victims on the machine; the call may reorder it.
  std::optional<PreemptionPlan> plan(size_t index, const CandidateMachine& candidate,
                                     std::vector<size_t>& preemptible) const {
    Resources free_resources = candidate.available;
    free_resources += candidate.releasing;
    // Cheap check first: it rules out most machines before victims are sorted.
    if (!fits_without_all_victims(candidate, preemptible, free_resources) ||
        !eligible(candidate, placement_request_, placement_request_.tasks_per_zone))
      return std::nullopt;
    if (candidate.fits_in(request_, free_resources)) return PreemptionPlan{{index, {}, true}, 0};
    sort_by_cost(preemptible);
    return choose_victims(index, candidate, preemptible, free_resources);
  }

 private:
  bool fits_without_all_victims(const CandidateMachine& candidate,
                                const std::vector<size_t>& preemptible,
                                Resources free_resources) const {
    for (const size_t victim : preemptible) free_resources += victims_[victim].request;
    return candidate.fits_in(request_, free_resources);
  }

  void sort_by_cost(std::vector<size_t>& preemptible) const {
    std::sort(preemptible.begin(), preemptible.end(), [&](size_t left, size_t right) {
      return std::tie(victims_[left].priority, victims_[left].loss_s) <
             std::tie(victims_[right].priority, victims_[right].loss_s);
    });
  }

  /// Adds victims, cheapest first, until the task fits.
  std::optional<PreemptionPlan> choose_victims(size_t index, const CandidateMachine& candidate,
                                               const std::vector<size_t>& preemptible,
                                               Resources free_resources) const {
    PreemptionPlan plan{{index, {}, false}, 0};
    std::vector<size_t>& chosen = plan.preemption.victims;
    for (const size_t victim : preemptible) {
      if (candidate.fits_in(request_, free_resources)) break;
      if (victims_[victim].priority >= placement_request_.priority() &&
          !team_keeps_fair_share(victims_[victim], chosen))
        continue;
      free_resources += victims_[victim].request;
      plan.cost += cost_of(victims_[victim]);
      chosen.push_back(victim);
    }
    if (!candidate.fits_in(request_, free_resources)) return std::nullopt;
    if (placement_request_.within_fair_share)
      plan.cost -= remove_redundant_victims(candidate, chosen, free_resources);
    return plan;
  }

  /// Whether the victim's team keeps its fair share if it loses this victim in addition to the
  /// chosen ones.
  bool team_keeps_fair_share(const Victim& victim, const std::vector<size_t>& chosen) const {
    Resources lost = victim.team_loss;
    for (const size_t other : chosen)
      if (victims_[other].team == victim.team) lost += victims_[other].team_loss;
    return running_.keeps_fair_share_without(victim.team, lost);
  }

  /// Removes victims without which the task still fits, most costly first: a large victim that was
  /// added last may make smaller ones unnecessary. Returns the total cost of the removed victims.
  double remove_redundant_victims(const CandidateMachine& candidate, std::vector<size_t>& chosen,
                                  Resources free_resources) const {
    double saved_cost = 0;
    for (size_t i = chosen.size(); i-- > 0;) {
      const Victim& victim = victims_[chosen[i]];
      Resources remaining = free_resources;
      remaining -= victim.request;
      if (!candidate.fits_in(request_, remaining)) continue;
      free_resources = remaining;
      saved_cost += cost_of(victim);
      chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
    }
    return saved_cost;
  }

  const PlacementRequest& placement_request_;
  const Resources request_;
  const std::vector<Victim>& victims_;
  const RunningResources& running_;
};

}  // namespace

std::optional<Preemption> preempt(const PlacementRequest& placement_request,
                                  const std::vector<CandidateMachine>& candidates,
                                  const std::vector<Victim>& victims,
                                  const RunningResources& running) {
  const PreemptionSearch search(placement_request, victims, running);
  auto preemptible = search.victims_per_candidate(candidates.size());
  std::optional<PreemptionPlan> best;
  for (size_t i = 0; i < candidates.size(); ++i) {
    auto plan = search.plan(i, candidates[i], preemptible[i]);
    if (!plan) continue;
    if (plan->preemption.already_releasing) return std::move(plan->preemption);
    if (!best || plan->cost < best->cost) best = std::move(plan);
  }
  if (!best) return std::nullopt;
  return std::move(best->preemption);
}

}  // namespace sumacquay
