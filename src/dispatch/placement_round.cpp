// A placement round: what of each waiting job is started, and where.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

/// Silence after which nothing new is started on a machine / heartbeat period. Reports come up to a
/// quarter late, and one may be lost and sent again.
constexpr double kHeartbeatTimeout = 2.5;
/// Tasks of one array that a round looks at: so many in any fleet, in a large one so many for each
/// machine. It keeps a round from looking at all tasks of an array that no fleet could start at
/// once; the next round looks at the next ones.
constexpr size_t kTasksInAnyFleet = 500;
constexpr size_t kTasksPerMachine = 4;

}  // namespace

bool Scheduler::schedulable(const Machine& machine, Seconds now) const {
  return machine.state == MachineState::Up && machine.fencing_token_acknowledged &&
         !machine.quarantined() && !machine.draining && !machine.reclaim_at &&
         now - machine.last_heartbeat < kHeartbeatTimeout * settings_.heartbeat_period_s + 0.5;
}

std::vector<CandidateMachine> Scheduler::capacity_snapshot(Seconds now, bool booting) const {
  std::vector<CandidateMachine> out;
  for (const auto& [id, machine] : machines_) {
    const MachineType* t = type(machine.info.type);
    if (!t) continue;
    const bool already_releasing = machine.state == MachineState::Booting;
    if (booting != already_releasing) continue;
    if (!booting && machine.state != MachineState::Up) continue;
    CandidateMachine candidate;
    candidate.machine = id;
    candidate.of = &machine;
    candidate.type = machine.info.type;
    candidate.zone = machine.info.zone;
    candidate.spot = machine.info.spot;
    candidate.capacity = candidate.available = t->capacity;
    candidate.schedulable = booting || schedulable(machine, now);
    for (const auto& [key, attempt] : machine.attempts) {
      if (!attempt.possibly_present()) continue;
      candidate.available -= attempt.request;
      if (!attempt.desired_running) candidate.releasing += attempt.request;
    }
    out.push_back(std::move(candidate));
  }
  return out;
}

/// What is still silent some reports after the takeover may be so for long, and the fleet is rented
/// and returned without it: in a large one some machine always is.
bool Scheduler::capacity_settled(Seconds now) const {
  return all_reconciled() ||
         now - failover_at_ > kHeartbeatTimeout * settings_.heartbeat_period_s + 0.5;
}

/// Whether a fetch on a machine that lacks the image costs what users were promised: a replica that
/// is down stays down for it, and one that is new misses the aim for its class.
bool Scheduler::image_fetch_misses_objective(const Job& job) const {
  if (job.spec().kind != JobKind::Service) return false;
  double longest = 0;
  for (const auto& t : types_)
    if (t.fetch_gb_per_s > 0 && job.spec().allows_type(t.name) &&
        job.spec().request.fits_in(t.capacity))
      longest = std::max(longest, job.spec().image_gb / t.fetch_gb_per_s);
  if (job.stored.started) return longest > settings_.heartbeat_period_s;
  return std::any_of(settings_.objectives.begin(), settings_.objectives.end(),
                     [&](const ServiceLevelObjective& objective) {
                       return objective.kind == "wait" &&
                              objective.job_class == job.spec().job_class &&
                              longest > objective.within_s;
                     });
}

/// First on machines that have the image, where tasks of lower priority give way; what is left of
/// the demand goes the ordinary way.
void Scheduler::place_where_image_cached(Job& job, PlacementRequest& placement_request,
                                         std::vector<CandidateMachine>& candidates, Seconds now) {
  PlacementRequest warm = placement_request;
  warm.avoid = [&placement_request](const CandidateMachine& candidate) {
    return placement_request.avoid(candidate) || !placement_request.has_image(candidate);
  };
  warm.within_fair_share = false;  // other teams' work need not stop where there is room elsewhere
  place_what_fits(job, warm, candidates, now);
  if (!warm.tasks.empty()) preempt_for(job, warm, candidates, now);
  placement_request.tasks = warm.tasks;
  placement_request.zones = warm.zones;
}

void Scheduler::place_what_fits(Job& job, PlacementRequest& placement_request,
                                std::vector<CandidateMachine>& candidates, Seconds now) {
  const auto assignments = bin_pack(placement_request, candidates);
  start_assignments(job, assignments, candidates, now);
  for (const auto& assignment : assignments) {
    ++placement_request.zones[candidates[assignment.candidate].zone];
    std::erase(placement_request.tasks, assignment.task);
  }
}

size_t Scheduler::max_tasks_per_round() const {
  return std::max(kTasksInAnyFleet, kTasksPerMachine * machines_.size());
}

std::optional<PlacementRequest> Scheduler::create_placement_request(Job& job, size_t max_tasks) {
  PlacementRequest placement_request;
  placement_request.spec = &job.spec();
  const bool gang = job.spec().kind == JobKind::Gang;
  if (gang && max_tasks < job.spec().tasks) return std::nullopt;
  if (!gang && crash_looping(job)) max_tasks = std::min<size_t>(max_tasks, 1);
  const size_t limit = gang ? job.spec().tasks : std::min(max_tasks, max_tasks_per_round());
  auto there = job.possible_placements.begin();  // both in order: one pass over what is somewhere
  for (uint32_t t = job.done.next_missing(0);
       t < job.spec().tasks && placement_request.tasks.size() < limit;
       t = job.done.next_missing(t + 1)) {
    while (there != job.possible_placements.end() && there->first < t) ++there;
    if (there == job.possible_placements.end() || there->first != t)
      placement_request.tasks.push_back(t);
  }
  if (placement_request.tasks.empty()) return std::nullopt;
  if (placement_request.spec->counts_zones())
    for (const auto& [task, places] : job.possible_placements)
      for (const auto& [machine_id, attempt_number] : places) {
        const auto machine = machines_.find(machine_id);
        if (machine != machines_.end()) ++placement_request.zones[machine->second.info.zone];
      }
  if (job.priority > placement_request.spec->priority)
    placement_request.inherited_priority = job.priority;
  placement_request.image_first = image_fetch_misses_objective(job);
  placement_request.within_fair_share = within_fair_share_.contains(job.spec().id);
  placement_request.avoid = [&job](const CandidateMachine& candidate) {
    return job.failed_machines.contains(candidate.machine);
  };
  placement_request.has_image = [&job](const CandidateMachine& candidate) {
    return candidate.of && candidate.of->images.has(job.spec().image);
  };
  return placement_request;
}

void Scheduler::run_placement_round(Seconds now) {
  ++work_.rounds;
  unplaced_.clear();
  count_quota_usage();
  victims_.reset();
  auto candidates = capacity_snapshot(now, false);
  for (Job* job : scheduling_queue(now)) {
    const size_t left = std::min(remaining_quota(*job), token_allocator_.attempts_left());
    auto placement_request = left > 0 ? create_placement_request(*job, left) : std::nullopt;
    if (!placement_request) continue;
    if (placement_request->image_first && !crash_looping(*job))
      place_where_image_cached(*job, *placement_request, candidates, now);
    if (!placement_request->tasks.empty())
      place_what_fits(*job, *placement_request, candidates, now);
    if (placement_request->tasks.empty()) continue;
    if (crash_looping(*job)) {
      unplaced_.push_back(std::move(*placement_request));
      continue;
    }
    if (job->spec().kind == JobKind::Gang && placement_request->tasks.size() > 1)
      reserve_partial_gang(*job, *placement_request, candidates, now);
    else
      preempt_for(*job, *placement_request, candidates, now);
    if (placement_request->tasks.empty()) continue;
    if (job->priority == Priority::Low) reserve_beside_gpus(*placement_request, candidates);
    unplaced_.push_back(std::move(*placement_request));
  }
  victims_.reset();  // these look at names that the jobs own
  within_fair_share_.clear();
}

void Scheduler::start_assignments(Job& job, const std::vector<Assignment>& assignments,
                                  const std::vector<CandidateMachine>& candidates, Seconds now) {
  if (assignments.empty()) return;
  const bool gang = job.spec().kind == JobKind::Gang;
  if (gang) job.gang_attempt = token_allocator_.new_attempt();
  job.start_record_requested = true;
  for (const auto& assignment : assignments) {
    Machine& machine = machines_.at(candidates[assignment.candidate].machine);
    const TaskAttemptId key{{job.spec().id, assignment.task},
                            gang ? job.gang_attempt : token_allocator_.new_attempt()};
    spdlog::debug("{}/{} try {} placed on {}", key.task.job, key.task.task, key.attempt,
                  machine.info.id);
    TaskAttempt& attempt = machine.attempts[key];
    attempt.placed_at = now;
    attempt.request = job.spec().request;
    attempt.image = job.spec().image;
    attempt.image_gb = job.spec().image_gb;
    machine.request_host_record();
    if (!job.next_leader_knows(machine.info.id)) job.hosts_record_requested = true;
    add_possible_placement(machine, key);
    quota_usage_[job.spec().team] += attempt.request;
    enqueue_machine_record(machine);
    enqueue_commands(machine);
  }
  enqueue_job_record(job, now);
}

}  // namespace sumacquay
