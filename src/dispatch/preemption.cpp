// Room for jobs that find none: whose tasks give way, and what is held for gangs meanwhile.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

/// What a task may lose to make room for a gang of several / the time a rented machine would take.
constexpr double kBearable = 0.1;

}  // namespace

/// What stopping a task throws away: progress that was not saved, or the time it has waited for its
/// image. A gang loses that on all its machines.
Seconds Scheduler::loss_of(const Job& job, const TaskAttempt& attempt, Seconds now) const {
  const Seconds spent = now - attempt.running_since.value_or(attempt.placed_at);
  const Seconds lost = attempt.running_since && job.spec().checkpoints()
                           ? std::min(spent, job.spec().checkpoint_duration_s)
                           : spent;
  return job.spec().kind == JobKind::Gang ? lost * job.spec().tasks : lost;
}

std::vector<Victim> Scheduler::list_victims(const std::vector<CandidateMachine>& candidates,
                                            Seconds now) const {
  std::vector<Victim> out;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].of) continue;
    const Job* job = nullptr;  // attempts are in the order of their jobs: one look a job
    for (const auto& [key, attempt] : candidates[i].of->attempts) {
      if (!attempt.possibly_present() || !attempt.desired_running) continue;
      if (!job || job->spec().id != key.task.job) job = find_job(key.task.job);
      if (!job) continue;
      const bool gang = job->spec().kind == JobKind::Gang && job->spec().tasks > 1;
      Victim victim;
      victim.job = job->spec().id;
      victim.team = job->spec().team;
      victim.task = key.task.task;
      victim.candidate = i;
      victim.request = attempt.request;
      victim.priority = job->priority;
      victim.loss_s = loss_of(*job, attempt, now);
      victim.gang = gang;
      victim.beyond_fair_share = !within_fair_share_.contains(victim.job);
      victim.stops = gang ? attempt.request.times(job->spec().tasks) : attempt.request;
      out.push_back(victim);
    }
  }
  return out;
}

/// It is being stopped, with its gang if it has one: nobody else in this round gets its place.
void Scheduler::mark_preempted(const Victim& gone) {
  if (!victims_) return;
  running_resources_.remove(gone.team, gone.stops);
  std::for_each(victims_->begin(), victims_->end(), [&gone](Victim& victim) {
    if (victim.job == gone.job && (gone.gang || victim.task == gone.task)) victim.stopped = true;
  });
}

/// Listed once a round: a list for each job that finds no room would take most of a controller's
/// processor when hundreds wait.
const std::vector<Victim>& Scheduler::victims_in_round(
    const std::vector<CandidateMachine>& candidates, Seconds now) {
  if (!victims_) {
    victims_ = list_victims(candidates, now);
    running_resources_ = RunningResources(settings_.teams);
    for (const auto& victim : *victims_) running_resources_.add(victim.team, victim.request);
    ++work_.victim_lists;
  }
  return *victims_;
}

/// The soonest that the job can run on a machine rented now; none: nothing can be rented for it.
std::optional<Seconds> Scheduler::earliest_on_new_machine(const JobSpec& spec, Seconds now) const {
  std::optional<Seconds> soonest;
  for (const auto& offering : offerings(now)) {
    if (offering.blocked || !allowed(spec, offering.type->name, offering.zone, offering.spot) ||
        !spec.request.fits_in(offering.type->capacity))
      continue;
    const Seconds takes =
        offering.type->boot_s + spec.image_gb / std::max(offering.type->fetch_gb_per_s, 1e-3);
    if (!soonest || takes < *soonest) soonest = takes;
  }
  return soonest;
}

/// Whether a boot from now on would make the job miss what users were promised for its class.
bool Scheduler::late(const Job& job, Seconds takes, Seconds now) const {
  Seconds within = 2 * takes;
  for (const auto& objective : settings_.objectives)
    if (objective.kind == "wait" && objective.job_class == job.spec().job_class)
      within = objective.within_s;
  return now - arrival(job) + takes > within;
}

/// Whether all tasks would find room if tasks of lower priority gave way.
bool Scheduler::preemptible(PlacementRequest placement_request,
                            std::vector<CandidateMachine> candidates,
                            const std::vector<Victim>& victims) const {
  RunningResources running = running_resources_;
  for (; !placement_request.tasks.empty(); placement_request.tasks.pop_back()) {
    const auto preemption = preempt(placement_request, candidates, victims, running);
    if (!preemption) return false;
    for (size_t index : preemption->victims)
      running.remove(victims[index].team, victims[index].stops);
    candidates[preemption->candidate].schedulable = false;
    ++placement_request.zones[candidates[preemption->candidate].zone];
  }
  return true;
}

/// A gang of several that fits nowhere whole would starve behind jobs that take each machine as it
/// comes free. In the round, room for part of it is held until there is room for the rest: on
/// machines that have come since it arrived, for these were rented for it, and once it is late on
/// any. Only then do lower priorities give way, and only where little is lost, since work that
/// starts over costs its own users as much as the gang gains, unless no machine is to be had at
/// all.
void Scheduler::reserve_partial_gang(Job& job, PlacementRequest& placement_request,
                                     std::vector<CandidateMachine>& candidates, Seconds now) {
  const auto takes = earliest_on_new_machine(job.spec(), now);
  const bool hurry = !takes || late(job, *takes, now);
  const auto avoid = placement_request.avoid;
  if (!hurry)
    placement_request.avoid = [&](const CandidateMachine& candidate) {
      return avoid(candidate) || (candidate.of->state == MachineState::Up &&
                                  candidate.of->up_since.value_or(kNever) < arrival(job));
    };
  reserve_for_gang(placement_request, candidates, capacity_snapshot(now, true));
  placement_request.avoid = avoid;
  if (placement_request.tasks.empty() || !hurry) return;
  auto victims = victims_in_round(candidates, now);
  if (takes) std::erase_if(victims, [&](const Victim& v) { return v.loss_s > kBearable * *takes; });
  if (preemptible(placement_request, candidates, victims))
    preempt_for(job, placement_request, candidates, victims, now);
}

/// Stops tasks of lower priority, or beyond other teams' guarantees, for those that found no room.
/// Their places are free once they are proven gone; until then the room is held for this job.
void Scheduler::preempt_for(Job& job, PlacementRequest& placement_request,
                            std::vector<CandidateMachine>& candidates, Seconds now) {
  if (job.priority == Priority::Low && !placement_request.within_fair_share) return;
  preempt_for(job, placement_request, candidates, victims_in_round(candidates, now), now);
}

void Scheduler::preempt_for(Job& job, PlacementRequest& placement_request,
                            std::vector<CandidateMachine>& candidates,
                            const std::vector<Victim>& victims, Seconds now) {
  while (!placement_request.tasks.empty()) {
    const auto preemption = preempt(placement_request, candidates, victims, running_resources_);
    if (!preemption) return;
    CandidateMachine& candidate = candidates[preemption->candidate];
    for (size_t index : preemption->victims) {
      const Victim& victim = victims[index];
      Job* loser = find_job(std::string(victim.job));
      if (!loser) continue;
      spdlog::info("{}/{} gives way to {}", victim.job, victim.task, job.spec().id);
      if (loser->spec().kind == JobKind::Gang) {
        stop_job(*loser, true, now);
      } else {
        for (auto& [key, attempt] : machines_.at(candidate.machine).attempts)
          if (key.task.job == victim.job && key.task.task == victim.task &&
              attempt.possibly_present())
            request_stop(attempt, true, now);
      }
      candidate.releasing += victim.request;
      mark_preempted(victim);
    }
    candidate.available -= placement_request.spec->request;
    ++placement_request.zones[candidate.zone];
    placement_request.tasks.pop_back();
    if (!preemption->victims.empty()) return;  // the next round sees to the rest
  }
}

}  // namespace sumacquay
