#include "dispatch/placement_round.h"

#include <algorithm>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// A round considers at most this many tasks of one job other than a gang, or in a large fleet this
/// many per machine, so that it does not scan all tasks of an array that is too large to start at
/// once. Later rounds consider the remaining tasks.
constexpr size_t kMinRoundTaskLimit = 500;
constexpr size_t kRoundTaskLimitPerMachine = 4;

}  // namespace

void PlacementRound::run(Seconds now) {
  ++context_.work_counters.rounds;
  unplaced_.clear();
  context_.quota.count_usage();
  context_.preemptor.end_round();
  auto candidates = context_.capacity.up(now);
  for (Job* job : context_.queue.waiting_jobs(now)) place_job(*job, candidates, now);
  context_.preemptor.end_round();
  context_.queue.end_round();
}

/// Places the tasks that fit, preempts for the others and adds those that remain to `unplaced_`.
void PlacementRound::place_job(Job& job, std::vector<CandidateMachine>& candidates, Seconds now) {
  if (job.spec().kind == JobKind::Gang && !job.possible_placements.empty())
    return complete_gang(job, candidates, now);
  auto request = create_request(job, max_placeable_tasks(job));
  if (!request) return;
  if (request->prefer_cached_image && !context_.failures.crash_looping(job))
    place_on_machines_with_image(job, *request, candidates, now);
  if (!request->tasks.empty()) place_fitting_tasks(job, *request, candidates, now);
  if (request->tasks.empty()) return;
  // A crash-looping job does not preempt other jobs.
  if (!context_.failures.crash_looping(job)) {
    if (job.spec().kind == JobKind::Gang && request->tasks.size() > 1)
      context_.preemptor.reserve_partial_gang(job, *request, candidates, now);
    else
      context_.preemptor.preempt_for(job, *request, candidates, now);
    if (request->tasks.empty()) return;
    if (job.priority == Priority::Low) reserve_for_gpu_tasks(*request, candidates);
  }
  unplaced_.push_back(std::move(*request));
}

/// Places the missing tasks of a gang of which image fetches go on, or whose current attempt waits
/// for the image of the last of its tasks. A gang is placed completely or not at all: without room
/// for all missing tasks, all that is present of it is stopped.
void PlacementRound::complete_gang(Job& job, std::vector<CandidateMachine>& candidates,
                                   Seconds now) {
  if (job.gang_attempt_state == GangAttemptState::Adopted) {
    context_.attempts.abandon_gang_attempt(job, now);
    if (state_.image_fetches_left(job) == 0) return;
  }
  auto request = create_request(job, max_placeable_tasks(job));
  if (request) place_fitting_tasks(job, *request, candidates, now);
  if (request && request->tasks.empty()) return;
  log_info("gang_fetches_stopped", log_field("job", job.spec().id),
           log_field("reason", request ? "no_room" : "quota"));
  context_.attempts.stop_job(job, false, now);
}

/// How many more tasks of the job the quota of its team and the attempt numbers of the term allow.
size_t PlacementRound::max_placeable_tasks(const Job& job) const {
  return std::min(context_.quota.remaining_tasks(job), state_.token_allocator().attempts_left());
}

// ---------------------------------------------------------------- requests

size_t PlacementRound::max_tasks_per_round() const {
  return std::max(kMinRoundTaskLimit, kRoundTaskLimitPerMachine * state_.machines().size());
}

/// Returns the first `max_tasks` tasks that are neither done nor possibly present on a machine.
std::vector<uint32_t> PlacementRound::tasks_to_place(const Job& job, size_t max_tasks) const {
  std::vector<uint32_t> tasks;
  auto placed = job.possible_placements.begin();  // both are sorted: one pass suffices
  const auto end = job.possible_placements.end();
  for (uint32_t task = job.done.next_missing(0);
       task < job.spec().tasks && tasks.size() < max_tasks;
       task = job.done.next_missing(task + 1)) {
    while (placed != end && placed->first < task) ++placed;
    if (placed == end || placed->first != task) tasks.push_back(task);
  }
  return tasks;
}

std::optional<PlacementRequest> PlacementRound::create_request(const Job& job,
                                                               size_t max_tasks) const {
  const JobSpec& spec = job.spec();
  const bool gang = spec.kind == JobKind::Gang;
  if (max_tasks == 0) return std::nullopt;
  if (!gang && context_.failures.crash_looping(job)) max_tasks = std::min<size_t>(max_tasks, 1);
  const size_t limit = gang ? spec.tasks : std::min(max_tasks, max_tasks_per_round());
  PlacementRequest request;
  request.spec = &spec;
  request.tasks = tasks_to_place(job, limit);
  request.heartbeat_bytes = state_.heartbeat_bytes_per_task(spec);
  if (request.tasks.empty() || request.tasks.size() > max_tasks) return std::nullopt;
  if (spec.has_zone_constraint())
    for_each_possible_placement(job, [this, &request](uint32_t, const TaskPlacement& placement) {
      if (const Machine* machine = state_.find_machine(placement.machine))
        ++request.tasks_per_zone[machine->host.zone];
    });
  if (job.priority > spec.priority) request.inherited_priority = job.priority;
  request.prefer_cached_image = image_fetch_misses_objective(job);
  request.within_fair_share = context_.queue.within_fair_share(spec.id);
  request.excluded = [&job](const CandidateMachine& candidate) {
    return job.failed_machines.contains(candidate.machine);
  };
  request.has_image = [&job](const CandidateMachine& candidate) {
    return candidate.source && candidate.source->images.has(job.spec().image);
  };
  return request;
}

/// Whether the image fetch on a machine that lacks the image can take long enough to miss an
/// objective. Once a service has started, the limit is one heartbeat period, since a replica that
/// is down stays down during the fetch; before that, it is the wait objective of the job's class.
bool PlacementRound::image_fetch_misses_objective(const Job& job) const {
  const JobSpec& spec = job.spec();
  const Settings& settings = state_.settings();
  if (spec.kind != JobKind::Service) return false;
  double longest_fetch_s = 0;
  for (const auto& type : state_.machine_types())
    if (type.fetch_gb_per_s > 0 && spec.allows_type(type.name) &&
        spec.request.fits_in(type.capacity))
      longest_fetch_s = std::max(longest_fetch_s, spec.image_gb / type.fetch_gb_per_s);
  if (job.stored.started) return longest_fetch_s > settings.heartbeat_period_s;
  return std::any_of(settings.objectives.begin(), settings.objectives.end(),
                     [&](const ServiceLevelObjective& objective) {
                       return objective.kind == "wait" && objective.job_class == spec.job_class &&
                              longest_fetch_s > objective.within_s;
                     });
}

// ---------------------------------------------------------------- placing

/// Places tasks on machines that have the image cached, and preempts tasks of lower priority there.
/// Tasks that remain in `request` are left to regular placement.
void PlacementRound::place_on_machines_with_image(Job& job, PlacementRequest& request,
                                                  std::vector<CandidateMachine>& candidates,
                                                  Seconds now) {
  PlacementRequest cached_request = request;
  cached_request.excluded = [&request](const CandidateMachine& candidate) {
    return request.excluded(candidate) || !request.has_image(candidate);
  };
  // No preemption between teams here: machines without the image may have room.
  cached_request.within_fair_share = false;
  place_fitting_tasks(job, cached_request, candidates, now);
  if (!cached_request.tasks.empty())
    context_.preemptor.preempt_for(job, cached_request, candidates, now);
  request.tasks = cached_request.tasks;
  request.tasks_per_zone = cached_request.tasks_per_zone;
}

void PlacementRound::place_fitting_tasks(Job& job, PlacementRequest& request,
                                         std::vector<CandidateMachine>& candidates, Seconds now) {
  const auto assignments = bin_pack(request, candidates);
  start_assignments(job, assignments, candidates, now);
  for (const Assignment& assignment : assignments) {
    ++request.tasks_per_zone[candidates[assignment.candidate].zone];
    std::erase(request.tasks, assignment.task);
  }
}

/// Creates the attempts. Their start commands are sent once the job's record and the machines'
/// records are durable.
void PlacementRound::start_assignments(Job& job, const std::vector<Assignment>& assignments,
                                       const std::vector<CandidateMachine>& candidates,
                                       Seconds now) {
  if (assignments.empty()) return;
  const JobSpec& spec = job.spec();
  FencingTokenAllocator& token_allocator = state_.token_allocator();
  const bool gang = spec.kind == JobKind::Gang;
  if (gang && job.gang_attempt_state != GangAttemptState::Intact) {
    job.gang_attempt = token_allocator.new_attempt();
    job.gang_attempt_state = GangAttemptState::Intact;
  }
  job.start_record_requested = true;
  const double heartbeat_bytes = state_.heartbeat_bytes_per_task(spec);
  for (const Assignment& assignment : assignments) {
    Machine& machine = state_.machines().at(candidates[assignment.candidate].machine);
    const TaskAttemptId id{{spec.id, assignment.task},
                           gang ? job.gang_attempt : token_allocator.new_attempt()};
    log_debug("task_placed", log_field("job", spec.id), log_field("task", assignment.task),
              log_field("attempt", id.attempt), log_field("machine", machine.host.id));
    TaskAttempt& attempt = machine.attempts[id];
    attempt.placed_at = now;
    attempt.request = spec.request;
    attempt.heartbeat_bytes = heartbeat_bytes;
    attempt.image = spec.image;
    attempt.image_gb = spec.image_gb;
    machine.request_host_record();
    if (!job.host_recorded(machine.host.id)) job.hosts_record_requested = true;
    state_.add_possible_placement(machine, id);
    context_.quota.add_usage(spec.team, attempt.request);
    context_.records.enqueue_machine(machine);
    context_.commands.enqueue(machine);
  }
  context_.gang_starts.on_tasks_placed(job);
  context_.records.enqueue_job(job, now);
}

}  // namespace sumacquay
