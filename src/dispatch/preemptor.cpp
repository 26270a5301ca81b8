#include "dispatch/preemptor.h"

#include <algorithm>
#include <string>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// What a task may lose if it is preempted for a gang / the time that a new machine would take.
constexpr double kMaxLossShare = 0.1;
/// A job whose class has no objective is late after this multiple of the time a new machine takes.
constexpr double kDefaultPatience = 2;
/// Keeps a fetch rate of zero from being divided by.
constexpr double kMinFetchRate = 1e-3;

}  // namespace

// ---------------------------------------------------------------- victims

/// What preempting a task throws away: progress since its last checkpoint, or the time it has
/// waited for its image. A gang loses that on all its machines.
Seconds Preemptor::loss_of(const Job& job, const TaskAttempt& attempt, Seconds now) const {
  const JobSpec& spec = job.spec();
  const Seconds spent = now - attempt.running_since.value_or(attempt.placed_at);
  const bool checkpointed = attempt.running_since && spec.checkpoints();
  const Seconds lost = checkpointed ? std::min(spent, spec.checkpoint_duration_s) : spent;
  return spec.kind == JobKind::Gang ? lost * spec.tasks : lost;
}

Victim Preemptor::victim_for(const Job& job, const TaskAttemptId& id, const TaskAttempt& attempt,
                             size_t candidate, Seconds now) const {
  const JobSpec& spec = job.spec();
  const bool gang = spec.kind == JobKind::Gang && spec.tasks > 1;
  Victim victim;
  victim.job = spec.id;
  victim.team = spec.team;
  victim.task = id.task.task;
  victim.candidate = candidate;
  victim.request = attempt.request;
  victim.priority = job.priority;
  victim.loss_s = loss_of(job, attempt, now);
  victim.gang = gang;
  victim.beyond_fair_share = !links_.queue.within_fair_share(victim.job);
  victim.stops = gang ? attempt.request.times(spec.tasks) : attempt.request;
  return victim;
}

std::vector<Victim> Preemptor::list_victims(const std::vector<CandidateMachine>& candidates,
                                            Seconds now) const {
  std::vector<Victim> victims;
  for (size_t candidate = 0; candidate < candidates.size(); ++candidate) {
    const Machine* machine = candidates[candidate].of;
    if (!machine) continue;
    const Job* job = nullptr;  // attempts are in the order of their jobs: one look-up for each job
    for (const auto& [id, attempt] : machine->attempts) {
      if (!attempt.possibly_present() || !attempt.desired_running) continue;
      if (!job || job->spec().id != id.task.job) job = state_.find_job(id.task.job);
      if (job) victims.push_back(victim_for(*job, id, attempt, candidate, now));
    }
  }
  return victims;
}

/// Listed once a round: a list for each job that finds no room would take most of a controller's
/// processor when hundreds wait.
const std::vector<Victim>& Preemptor::victims_in_round(
    const std::vector<CandidateMachine>& candidates, Seconds now) {
  if (!victims_) {
    victims_ = list_victims(candidates, now);
    running_resources_ = RunningResources(state_.settings().teams);
    for (const Victim& victim : *victims_) running_resources_.add(victim.team, victim.request);
    ++links_.work.victim_lists;
  }
  return *victims_;
}

/// The task is being stopped, with its gang if it has one: nobody else in this round gets its room.
void Preemptor::mark_preempted(const Victim& gone) {
  if (!victims_) return;
  running_resources_.remove(gone.team, gone.stops);
  for (Victim& victim : *victims_)
    if (victim.job == gone.job && (gone.gang || victim.task == gone.task)) victim.stopped = true;
}

// ---------------------------------------------------------------- waiting or preempting

/// How soon the job can run on a machine requested now; none: no machine can be requested for it.
std::optional<Seconds> Preemptor::time_on_new_machine(const JobSpec& spec, Seconds now) const {
  std::optional<Seconds> soonest;
  for (const InstanceOffering& offering : links_.autoscaler.offerings(now)) {
    const MachineType& type = *offering.type;
    if (offering.blocked || !allowed(spec, type.name, offering.zone, offering.spot) ||
        !spec.request.fits_in(type.capacity))
      continue;
    const Seconds takes =
        type.boot_s + spec.image_gb / std::max(type.fetch_gb_per_s, kMinFetchRate);
    if (!soonest || takes < *soonest) soonest = takes;
  }
  return soonest;
}

/// Whether the job would miss the objective for its class if its start took so long from now on.
bool Preemptor::misses_objective(const Job& job, Seconds start_takes, Seconds now) const {
  Seconds within = kDefaultPatience * start_takes;
  for (const ServiceLevelObjective& objective : state_.settings().objectives)
    if (objective.kind == "wait" && objective.job_class == job.spec().job_class)
      within = objective.within_s;
  return now - state_.arrival(job) + start_takes > within;
}

/// Whether all tasks of the request fit if victims are preempted for them.
bool Preemptor::whole_request_fits(PlacementRequest request,
                                   std::vector<CandidateMachine> candidates,
                                   const std::vector<Victim>& victims) const {
  RunningResources running = running_resources_;
  for (; !request.tasks.empty(); request.tasks.pop_back()) {
    const auto preemption = preempt(request, candidates, victims, running);
    if (!preemption) return false;
    for (const size_t index : preemption->victims)
      running.remove(victims[index].team, victims[index].stops);
    candidates[preemption->candidate].schedulable = false;
    ++request.zones[candidates[preemption->candidate].zone];
  }
  return true;
}

/// A gang that fits nowhere whole would starve behind jobs that take each machine as it becomes
/// available. Room for part of it is reserved in the round until there is room for the rest: on
/// machines that have come up since it arrived, which were requested for it, and once it is late on
/// any machine. Only then is anything preempted, and only where little is lost, since work that
/// starts over costs its own users as much as the gang gains, unless no machine can be requested at
/// all.
void Preemptor::reserve_partial_gang(const Job& job, PlacementRequest& request,
                                     std::vector<CandidateMachine>& candidates, Seconds now) {
  const auto new_machine_takes = time_on_new_machine(job.spec(), now);
  const bool late = !new_machine_takes || misses_objective(job, *new_machine_takes, now);
  const auto avoid = request.avoid;
  if (!late)
    request.avoid = [&](const CandidateMachine& candidate) {
      const Machine& machine = *candidate.of;
      return avoid(candidate) || (machine.state == MachineState::Up &&
                                  machine.up_since.value_or(kNever) < state_.arrival(job));
    };
  reserve_for_gang(request, candidates, links_.capacity.booting(now));
  request.avoid = avoid;
  if (request.tasks.empty() || !late) return;
  auto victims = victims_in_round(candidates, now);
  if (new_machine_takes)
    std::erase_if(victims, [&](const Victim& victim) {
      return victim.loss_s > kMaxLossShare * *new_machine_takes;
    });
  if (whole_request_fits(request, candidates, victims))
    preempt_from(victims, job, request, candidates, now);
}

void Preemptor::preempt_for(const Job& job, PlacementRequest& request,
                            std::vector<CandidateMachine>& candidates, Seconds now) {
  if (job.priority == Priority::Low && !request.within_fair_share) return;
  preempt_from(victims_in_round(candidates, now), job, request, candidates, now);
}

/// Ends with the first task for which something is stopped: the next round sees to the others.
void Preemptor::preempt_from(const std::vector<Victim>& victims, const Job& job,
                             PlacementRequest& request, std::vector<CandidateMachine>& candidates,
                             Seconds now) {
  while (!request.tasks.empty()) {
    const auto preemption = preempt(request, candidates, victims, running_resources_);
    if (!preemption) return;
    CandidateMachine& candidate = candidates[preemption->candidate];
    for (const size_t index : preemption->victims) stop_victim(victims[index], job, candidate, now);
    candidate.available -= request.spec->request;
    ++request.zones[candidate.zone];
    request.tasks.pop_back();
    if (!preemption->victims.empty()) return;
  }
}

void Preemptor::stop_victim(const Victim& victim, const Job& job, CandidateMachine& candidate,
                            Seconds now) {
  Job* preempted = state_.find_job(std::string(victim.job));
  if (!preempted) return;
  log_info("job_preempted", log_field("job", victim.job), log_field("task", victim.task),
           log_field("machine", candidate.machine), log_field("for_job", job.spec().id));
  if (preempted->spec().kind == JobKind::Gang) {
    links_.attempts.stop_job(*preempted, true, now);
  } else {
    for (auto& [id, attempt] : state_.machines().at(candidate.machine).attempts)
      if (id.task.job == victim.job && id.task.task == victim.task && attempt.possibly_present())
        links_.attempts.request_stop(attempt, true, now);
  }
  candidate.releasing += victim.request;
  mark_preempted(victim);
}

}  // namespace sumacquay
