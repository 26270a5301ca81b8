#include "dispatch/preemptor.h"

#include <algorithm>
#include <string>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// The largest loss that a victim of preemption for a gang may have, as a fraction of the startup
/// time on a new machine.
constexpr double kMaxLossFraction = 0.1;
/// The wait objective of a class without a configured one, as a multiple of the startup time on a
/// new machine.
constexpr double kDefaultWaitObjectiveFactor = 2;
/// Lower bound in GB/s, avoids division by a fetch rate of zero.
constexpr double kMinFetchGbPerS = 1e-3;

}  // namespace

// ---------------------------------------------------------------- victims

/// Returns the work lost by preempting an attempt: its running time or, before it runs, the time
/// spent waiting for its image. If the task checkpoints, the loss is at most the time that a
/// checkpoint takes. A gang has that loss on each of its tasks.
Seconds Preemptor::preemption_loss(const Job& job, const TaskAttempt& attempt, Seconds now) const {
  const JobSpec& spec = job.spec();
  const Seconds elapsed = now - attempt.running_since.value_or(attempt.placed_at);
  const bool checkpointed = attempt.running_since && spec.checkpoints();
  const Seconds loss = checkpointed ? std::min(elapsed, spec.checkpoint_duration_s) : elapsed;
  return spec.kind == JobKind::Gang ? loss * spec.tasks : loss;
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
  victim.request = attempt.occupied();
  victim.priority = job.priority;
  victim.loss_s = preemption_loss(job, attempt, now);
  victim.gang = gang;
  victim.beyond_fair_share = !context_.queue.within_fair_share(victim.job);
  victim.team_loss = gang ? attempt.request.times(spec.tasks) : attempt.request;
  return victim;
}

std::vector<Victim> Preemptor::list_victims(const std::vector<CandidateMachine>& candidates,
                                            Seconds now) const {
  std::vector<Victim> victims;
  for (size_t candidate = 0; candidate < candidates.size(); ++candidate) {
    const Machine* machine = candidates[candidate].source;
    if (!machine) continue;
    const Job* job = nullptr;  // attempts are sorted by job: one look-up per job
    for (const auto& [id, attempt] : machine->attempts) {
      if (!attempt.may_be_present() || !attempt.desired_running) continue;
      if (!job || job->spec().id != id.task.job) job = state_.find_job(id.task.job);
      if (job) victims.push_back(victim_for(*job, id, attempt, candidate, now));
    }
  }
  return victims;
}

/// Lists the victims once per round. One list per unplaced job takes most of the controller's CPU
/// time when hundreds of jobs wait.
const std::vector<Victim>& Preemptor::victims_in_round(
    const std::vector<CandidateMachine>& candidates, Seconds now) {
  if (!victims_) {
    victims_ = list_victims(candidates, now);
    running_resources_ = RunningResources(state_.settings().teams);
    for (const Victim& victim : *victims_) running_resources_.add(victim.team, victim.request);
    ++context_.work_counters.victim_lists;
  }
  return *victims_;
}

/// Marks the task, and its gang if it has one, as being stopped, so that no other job in this round
/// preempts it again.
void Preemptor::mark_preempted(const Victim& stopped_victim) {
  if (!victims_) return;
  running_resources_.remove(stopped_victim.team, stopped_victim.team_loss);
  for (Victim& victim : *victims_)
    if (victim.job == stopped_victim.job &&
        (stopped_victim.gang || victim.task == stopped_victim.task))
      victim.being_stopped = true;
}

// ---------------------------------------------------------------- waiting or preempting

/// Returns the shortest time until the job can run on a machine requested now, or none if no
/// machine can be requested for it.
std::optional<Seconds> Preemptor::startup_time_on_new_machine(const JobSpec& spec,
                                                              Seconds now) const {
  std::optional<Seconds> shortest;
  for (const InstanceOffering& offering : context_.autoscaler.offerings(now)) {
    const MachineType& type = *offering.type;
    if (offering.blocked || !constraints_allow(spec, type.name, offering.zone, offering.spot) ||
        !spec.request.fits_in(type.capacity))
      continue;
    const Seconds startup_time =
        type.boot_s + spec.image_gb / std::max(type.fetch_gb_per_s, kMinFetchGbPerS);
    if (!shortest || startup_time < *shortest) shortest = startup_time;
  }
  return shortest;
}

/// Whether the job would miss the wait objective of its class if it started `start_delay` seconds
/// from now.
bool Preemptor::misses_objective(const Job& job, Seconds start_delay, Seconds now) const {
  Seconds max_wait = kDefaultWaitObjectiveFactor * start_delay;
  for (const ServiceLevelObjective& objective : state_.settings().objectives)
    if (objective.kind == "wait" && objective.job_class == job.spec().job_class)
      max_wait = objective.within_s;
  return now - state_.arrival(job) + start_delay > max_wait;
}

/// Whether all tasks of the request fit if victims are preempted for it.
bool Preemptor::whole_request_fits(PlacementRequest request,
                                   std::vector<CandidateMachine> candidates,
                                   const std::vector<Victim>& victims) const {
  RunningResources running = running_resources_;
  for (; !request.tasks.empty(); request.tasks.pop_back()) {
    const auto preemption = preempt(request, candidates, victims, running);
    if (!preemption) return false;
    for (const size_t index : preemption->victims)
      running.remove(victims[index].team, victims[index].team_loss);
    candidates[preemption->candidate].schedulable = false;
    ++request.tasks_per_zone[candidates[preemption->candidate].zone];
  }
  return true;
}

/// Without a reservation, a gang that does not fit as a whole starves while other jobs take each
/// machine that becomes available. Room for part of the gang is reserved in each round until the
/// rest fits: at first only on machines that have come up since the gang arrived, which were
/// requested for it, and on any machine once it would miss its wait objective.
///
/// Only then are tasks preempted, and only those with a small loss, since restarting work costs the
/// victims' users as much as the gang gains. If no machine can be requested for the gang, the loss
/// is not limited.
void Preemptor::reserve_partial_gang(const Job& job, PlacementRequest& request,
                                     std::vector<CandidateMachine>& candidates, Seconds now) {
  const auto new_machine_startup_time = startup_time_on_new_machine(job.spec(), now);
  const bool late =
      !new_machine_startup_time || misses_objective(job, *new_machine_startup_time, now);
  const auto excluded = request.excluded;
  if (!late)
    request.excluded = [&](const CandidateMachine& candidate) {
      const Machine& machine = *candidate.source;
      return excluded(candidate) || (machine.state == MachineState::Up &&
                                     machine.up_since.value_or(kNever) < state_.arrival(job));
    };
  reserve_for_gang(request, candidates, context_.capacity.booting(now));
  request.excluded = excluded;
  if (request.tasks.empty() || !late) return;
  auto victims = victims_in_round(candidates, now);
  if (new_machine_startup_time)
    std::erase_if(victims, [&](const Victim& victim) {
      return victim.loss_s > kMaxLossFraction * *new_machine_startup_time;
    });
  if (whole_request_fits(request, candidates, victims))
    preempt_from(victims, job, request, candidates, now);
}

void Preemptor::preempt_for(const Job& job, PlacementRequest& request,
                            std::vector<CandidateMachine>& candidates, Seconds now) {
  if (job.priority == Priority::Low && !request.within_fair_share) return;
  preempt_from(victims_in_round(candidates, now), job, request, candidates, now);
}

/// Returns after the first task that needs victims. Later rounds handle the other tasks.
void Preemptor::preempt_from(const std::vector<Victim>& victims, const Job& job,
                             PlacementRequest& request, std::vector<CandidateMachine>& candidates,
                             Seconds now) {
  while (!request.tasks.empty()) {
    const auto preemption = preempt(request, candidates, victims, running_resources_);
    if (!preemption) return;
    CandidateMachine& candidate = candidates[preemption->candidate];
    for (const size_t index : preemption->victims) stop_victim(victims[index], job, candidate, now);
    candidate.available -= request.request();
    ++request.tasks_per_zone[candidate.zone];
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
    context_.attempts.stop_job(*preempted, true, now);
  } else {
    for (auto& [id, attempt] : state_.machines().at(candidate.machine).attempts)
      if (id.task.job == victim.job && id.task.task == victim.task && attempt.may_be_present())
        context_.attempts.request_stop(attempt, true, now);
  }
  candidate.releasing += victim.request;
  mark_preempted(victim);
}

}  // namespace sumacquay
