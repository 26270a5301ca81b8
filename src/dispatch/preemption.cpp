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
  const Seconds lost =
      attempt.running_since && job.spec().saves() ? std::min(spent, job.spec().save_s) : spent;
  return job.spec().kind == JobKind::Gang ? lost * job.spec().tasks : lost;
}

std::vector<Victim> Scheduler::victims(const std::vector<Slot>& slots, Seconds now) const {
  std::vector<Victim> out;
  for (size_t i = 0; i < slots.size(); ++i) {
    if (!slots[i].of) continue;
    const Job* job = nullptr;  // attempts are in the order of their jobs: one look a job
    for (const auto& [key, attempt] : slots[i].of->attempts) {
      if (!attempt.possibly_present() || !attempt.desired_running) continue;
      if (!job || job->spec().id != key.task.job) job = find_job(key.task.job);
      if (!job) continue;
      const bool gang = job->spec().kind == JobKind::Gang && job->spec().tasks > 1;
      Victim victim;
      victim.job = job->spec().id;
      victim.team = job->spec().team;
      victim.task = key.task.task;
      victim.slot = i;
      victim.need = attempt.need;
      victim.priority = job->priority;
      victim.loss_s = loss_of(*job, attempt, now);
      victim.gang = gang;
      victim.beyond_guarantee = !guaranteed_.contains(victim.job);
      victim.stops = gang ? attempt.need.times(job->spec().tasks) : attempt.need;
      out.push_back(victim);
    }
  }
  return out;
}

/// It is being stopped, with its gang if it has one: nobody else in this round gets its place.
void Scheduler::forget_victim(const Victim& gone) {
  if (!victims_) return;
  running_resources_.remove(gone.team, gone.stops);
  std::for_each(victims_->begin(), victims_->end(), [&gone](Victim& v) {
    if (v.job == gone.job && (gone.gang || v.task == gone.task)) v.stopped = true;
  });
}

/// Listed once a round: a list for each job that finds no room would take most of a controller's
/// processor when hundreds wait.
const std::vector<Victim>& Scheduler::victims_of_round(const std::vector<Slot>& slots,
                                                       Seconds now) {
  if (!victims_) {
    victims_ = victims(slots, now);
    running_resources_ = RunningResources(settings_.teams);
    for (const auto& victim : *victims_) running_resources_.add(victim.team, victim.need);
    ++work_.victim_lists;
  }
  return *victims_;
}

/// The soonest that the job can run on a machine rented now; none: nothing can be rented for it.
std::optional<Seconds> Scheduler::soonest_rented(const JobSpec& spec, Seconds now) const {
  std::optional<Seconds> soonest;
  for (const auto& o : offers(now)) {
    if (o.blocked || !allowed(spec, o.type->name, o.zone, o.spot) ||
        !spec.need.fits_in(o.type->room))
      continue;
    const Seconds takes = o.type->boot_s + spec.image_gb / std::max(o.type->fetch_gb_per_s, 1e-3);
    if (!soonest || takes < *soonest) soonest = takes;
  }
  return soonest;
}

/// Whether a boot from now on would make the job miss what users were promised for its class.
bool Scheduler::late(const Job& job, Seconds takes, Seconds now) const {
  Seconds within = 2 * takes;
  for (const auto& o : settings_.objectives)
    if (o.kind == "wait" && o.job_class == job.spec().job_class) within = o.within_s;
  return now - arrival(job) + takes > within;
}

/// Whether all tasks would find room if tasks of lower priority gave way.
bool Scheduler::preemptible(Demand d, std::vector<Slot> slots,
                            const std::vector<Victim>& candidates) const {
  RunningResources running = running_resources_;
  for (; !d.tasks.empty(); d.tasks.pop_back()) {
    const auto p = preempt(d, slots, candidates, running);
    if (!p) return false;
    for (size_t v : p->victims) running.remove(candidates[v].team, candidates[v].stops);
    slots[p->slot].usable = false;
    ++d.zones[slots[p->slot].zone];
  }
  return true;
}

/// A gang of several that fits nowhere whole would starve behind jobs that take each machine as it
/// comes free. In the round, room for part of it is held until there is room for the rest: on
/// machines that have come since it arrived, for these were rented for it, and once it is late on
/// any. Only then do lower priorities give way, and only where little is lost, since work that
/// starts over costs its own users as much as the gang gains, unless no machine is to be had at
/// all.
void Scheduler::gather(Job& job, Demand& d, std::vector<Slot>& slots, Seconds now) {
  const auto takes = soonest_rented(job.spec(), now);
  const bool hurry = !takes || late(job, *takes, now);
  const auto avoid = d.avoid;
  if (!hurry)
    d.avoid = [&](const Slot& s) {
      return avoid(s) ||
             (s.of->stage == Machine::Stage::Up && s.of->up_since.value_or(kNever) < arrival(job));
    };
  hold(d, slots, picture(now, true));
  d.avoid = avoid;
  if (d.tasks.empty() || !hurry) return;
  auto candidates = victims_of_round(slots, now);
  if (takes)
    std::erase_if(candidates, [&](const Victim& v) { return v.loss_s > kBearable * *takes; });
  if (preemptible(d, slots, candidates)) make_room(job, d, slots, candidates, now);
}

/// Stops tasks of lower priority, or beyond other teams' guarantees, for those that found no room.
/// Their places are free once they are proven gone; until then the room is held for this job.
void Scheduler::make_room(Job& job, Demand& d, std::vector<Slot>& slots, Seconds now) {
  if (job.priority == Priority::Low && !d.within_guarantee) return;
  make_room(job, d, slots, victims_of_round(slots, now), now);
}

void Scheduler::make_room(Job& job, Demand& d, std::vector<Slot>& slots,
                          const std::vector<Victim>& candidates, Seconds now) {
  while (!d.tasks.empty()) {
    const auto p = preempt(d, slots, candidates, running_resources_);
    if (!p) return;
    Slot& slot = slots[p->slot];
    for (size_t v : p->victims) {
      const Victim& victim = candidates[v];
      Job* loser = find_job(std::string(victim.job));
      if (!loser) continue;
      spdlog::info("{}/{} gives way to {}", victim.job, victim.task, job.spec().id);
      if (loser->spec().kind == JobKind::Gang) {
        stop_job(*loser, true, now);
      } else {
        for (auto& [key, attempt] : machines_.at(slot.machine).attempts)
          if (key.task.job == victim.job && key.task.task == victim.task &&
              attempt.possibly_present())
            request_stop(attempt, true, now);
      }
      slot.coming += victim.need;
      forget_victim(victim);
    }
    slot.free -= d.spec->need;
    ++d.zones[slot.zone];
    d.tasks.pop_back();
    if (!p->victims.empty()) {
      return;  // the next round sees to the rest
    }
  }
}

}  // namespace sumacquay
