#include "dispatch/rebalancer.h"

#include <algorithm>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// How long a replica must have been running before it is moved. The platform's service levels
/// count a start only if the task is not stopped by a command within 30 s; a multiple of that
/// prevents repeated moves of the same replica.
constexpr Seconds kMinRunningTimeBeforeMove = 4 * 30;
/// Interval between moves, as a multiple of the heartbeat period.
constexpr double kRebalanceIntervalPeriods = 2;
/// The largest fraction of the machines that may be drained at once, so that the replicas being
/// moved are a negligible fraction of those that run.
constexpr double kMaxDrainingFraction = 0.02;
/// Lowest price of a machine type worth draining, as a fraction of the highest price. Releasing a
/// cheaper machine does not justify the downtime of a replica.
constexpr double kMinPriceFraction = 0.25;

double utilization(const CandidateMachine& candidate) {
  if (candidate.capacity.gpus > 0) return 1 - candidate.available.gpus / candidate.capacity.gpus;
  return candidate.capacity.cpus > 0 ? 1 - candidate.available.cpus / candidate.capacity.cpus : 1;
}

/// Whether no task is on the machine. Attempts that have exited may still be in its heartbeat.
bool empty(const CandidateMachine& candidate) {
  Resources capacity = candidate.capacity;
  capacity.heartbeat_bytes = 0;
  return capacity.fits_in(candidate.available);
}

/// Returns a request for one task of the first gang in `unplaced`, or none if there is no gang.
std::optional<PlacementRequest> task_of_unplaced_gang(
    const std::vector<PlacementRequest>& unplaced) {
  const auto gang = std::find_if(
      unplaced.begin(), unplaced.end(),
      [](const PlacementRequest& request) { return request.spec->kind == JobKind::Gang; });
  if (gang == unplaced.end()) return std::nullopt;
  PlacementRequest task = *gang;
  task.tasks.resize(1);
  return task;
}

/// Whether the task would fit on the machine if the machine were empty.
bool fits_when_empty(const PlacementRequest& task, const CandidateMachine& candidate) {
  std::vector<CandidateMachine> single_machine{candidate};
  single_machine[0].available = single_machine[0].capacity;
  return !bin_pack(task, single_machine).empty();
}

}  // namespace

/// Returns a request to place the task on another machine that has its image. Empty machines are
/// excluded, since a move to one gains nothing and would be followed by a move back.
PlacementRequest Rebalancer::relocation_request(const Job& job, uint32_t task) const {
  PlacementRequest request;
  request.spec = &job.spec();
  request.tasks = {task};
  request.heartbeat_bytes = state_.heartbeat_bytes_per_task(job.spec());
  if (request.spec->has_zone_constraint())
    for_each_possible_placement(job, [&](uint32_t other, const TaskPlacement& placement) {
      if (other != task)
        ++request.tasks_per_zone[state_.machines().at(placement.machine).host.zone];
    });
  request.excluded = [&job](const CandidateMachine& candidate) {
    return empty(candidate) || !candidate.source->images.has(job.spec().image) ||
           job.failed_machines.contains(candidate.machine);
  };
  return request;
}

/// Whether every task on the machine is a replica that has been running for
/// `kMinRunningTimeBeforeMove` and fits on another machine with its image.
bool Rebalancer::drainable(const Machine& machine, TentativePlacement& relocation,
                           Seconds now) const {
  for (const auto& [id, attempt] : machine.attempts) {
    if (!attempt.may_be_present()) continue;
    const Job* job = state_.find_job(id.task.job);
    if (!job || job->spec().kind != JobKind::Service || !attempt.desired_running) return false;
    if (attempt.state != TaskAttemptState::Running ||
        now - attempt.running_since.value_or(now) < kMinRunningTimeBeforeMove)
      return false;
    if (!relocation.place(relocation_request(*job, id.task.task))) return false;
  }
  return true;
}

void Rebalancer::drain(Machine& machine, std::string_view reason, Seconds now) {
  log_info("machine_drained", log_field("machine", machine.host.id), log_field("reason", reason));
  machine.draining = true;
  for (auto& [id, attempt] : machine.attempts)
    if (attempt.may_be_present()) attempts_.request_stop(attempt, false, now);
}

/// Ends the drain of machines that have become empty. Returns how many are still being drained.
size_t Rebalancer::complete_drains(Seconds now) {
  size_t draining = 0;
  for (auto& [id, machine] : state_.machines()) {
    if (!machine.draining || machine.state != MachineState::Up) continue;
    if (machine.may_have_attempts()) {
      ++draining;
      continue;
    }
    machine.draining = false;
    machine.idle_since = now;
  }
  return draining;
}

/// Returns the machines that are worth draining, in ascending order of utilization.
std::vector<size_t> Rebalancer::drain_candidates(
    const std::vector<CandidateMachine>& candidates) const {
  double highest_price = 0;
  for (const auto& type : state_.machine_types())
    highest_price = std::max(highest_price, type.price);
  std::vector<size_t> order;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const MachineType* type = state_.find_machine_type(candidates[i].type);
    const bool expensive = type && type->price >= kMinPriceFraction * highest_price;
    if (candidates[i].schedulable && !empty(candidates[i]) && expensive) order.push_back(i);
  }
  std::sort(order.begin(), order.end(), [&](size_t first, size_t second) {
    return utilization(candidates[first]) < utilization(candidates[second]);
  });
  return order;
}

void Rebalancer::rebalance(const std::vector<PlacementRequest>& unplaced, Seconds now) {
  size_t draining = complete_drains(now);
  if (now < next_rebalance_ || !capacity_.reconciled_or_timed_out(now)) return;
  auto candidates = capacity_.up(now);
  const size_t max_draining =
      1 + static_cast<size_t>(kMaxDrainingFraction * static_cast<double>(candidates.size()));
  if (draining >= max_draining) return;
  const auto gang_task = task_of_unplaced_gang(unplaced);
  next_rebalance_ = now + kRebalanceIntervalPeriods * state_.settings().heartbeat_period_s;
  std::set<size_t> receiving;  // machines that receive replicas are not drained
  for (const size_t index : drain_candidates(candidates)) {
    if (receiving.contains(index)) continue;
    if (gang_task && !fits_when_empty(*gang_task, candidates[index])) continue;
    Machine& machine = state_.machines().at(candidates[index].machine);
    candidates[index].schedulable = false;
    TentativePlacement relocation(candidates);
    if (drainable(machine, relocation, now) &&
        (gang_task || autoscaler_.has_headroom(relocation))) {
      for (const size_t receiver : relocation.commit()) receiving.insert(receiver);
      drain(machine, gang_task ? "gang_needs_machine" : "can_be_released", now);
      if (++draining >= max_draining) return;
    } else {
      candidates[index].schedulable = true;
    }
  }
}

}  // namespace sumacquay
