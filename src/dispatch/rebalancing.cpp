// Replicas of services stay for as long as their users want them, so what packing joined comes
// apart as other jobs end: many machines, each a little used. Replicas are moved together where
// that costs them next to nothing, which is on machines that have their image.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

/// The protocol counts a start only if no command stops the task within 30 s of it; a replica is
/// left alone for several times that, so that none is moved again and again.
constexpr Seconds kSettled = 4 * 30;
/// Pause between moves / heartbeat period.
constexpr double kPause = 2;
/// The part of all machines that may be emptied at once: few enough that the replicas on their way
/// don't show among all that run.
constexpr double kAtOnce = 0.02;

/// Machines that cost less than this part of the dearest are not worth any replica's downtime.
constexpr double kWorthMoving = 0.25;

double used_part(const CandidateMachine& candidate) {
  if (candidate.capacity.gpus > 0) return 1 - candidate.available.gpus / candidate.capacity.gpus;
  return candidate.capacity.cpus > 0 ? 1 - candidate.available.cpus / candidate.capacity.cpus : 1;
}

bool empty(const CandidateMachine& candidate) {
  return candidate.capacity.fits_in(candidate.available);
}

}  // namespace

/// Whether every task on the machine is a settled replica that fits on another machine with its
/// image.
bool Scheduler::evictable(const Machine& machine, TentativePlacement& elsewhere, Seconds now) {
  for (const auto& [key, attempt] : machine.attempts) {
    if (!attempt.possibly_present()) continue;
    Job* job = find_job(key.task.job);
    if (!job || job->spec().kind != JobKind::Service || !attempt.desired_running) return false;
    if (attempt.state != TaskAttemptState::Running ||
        now - attempt.running_since.value_or(now) < kSettled)
      return false;
    PlacementRequest placement_request;
    placement_request.spec = &job->spec();
    placement_request.tasks = {key.task.task};
    if (placement_request.spec->counts_zones())
      for (const auto& [task, places] : job->possible_placements)
        for (const auto& [machine_id, attempt_number] : places)
          if (task != key.task.task) ++placement_request.zones[machines_.at(machine_id).info.zone];
    // Nothing is moved to an empty machine: that would only go back and forth.
    placement_request.avoid = [job](const CandidateMachine& candidate) {
      return empty(candidate) || !candidate.of->images.has(job->spec().image) ||
             job->failed_machines.contains(candidate.machine);
    };
    if (!elsewhere.fits(placement_request)) return false;
  }
  return true;
}

void Scheduler::drain(Machine& machine, const char* why, Seconds now) {
  spdlog::info("moves what runs on {}: {}", machine.info.id, why);
  machine.draining = true;
  for (auto& [key, attempt] : machine.attempts)
    if (attempt.possibly_present()) request_stop(attempt, false, now);
}

/// How many machines are being emptied.
size_t Scheduler::finish_evictions(Seconds now) {
  size_t draining = 0;
  for (auto& [id, machine] : machines_) {
    if (!machine.draining || machine.state != MachineState::Up) continue;
    if (machine.has_possible_attempts()) {
      ++draining;
      continue;
    }
    machine.draining = false;
    machine.idle_since = now;
  }
  return draining;
}

/// The machines that it may pay to empty, the emptiest first.
std::vector<size_t> Scheduler::eviction_candidates(
    const std::vector<CandidateMachine>& candidates) const {
  double dearest = 0;
  for (const auto& t : types_) dearest = std::max(dearest, t.price);
  std::vector<size_t> order;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const MachineType* t = type(candidates[i].type);
    const bool dear = t && t->price >= kWorthMoving * dearest;
    if (candidates[i].schedulable && !empty(candidates[i]) && dear) order.push_back(i);
  }
  std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return used_part(candidates[a]) < used_part(candidates[b]);
  });
  return order;
}

void Scheduler::rebalance(Seconds now) {
  size_t draining = finish_evictions(now);
  if (now < next_rebalance_ || !capacity_settled(now)) return;
  auto candidates = capacity_snapshot(now, false);
  const size_t most = 1 + static_cast<size_t>(kAtOnce * static_cast<double>(candidates.size()));
  if (draining >= most) return;
  std::optional<PlacementRequest> gang;  // a task of it
  for (const auto& placement_request : unplaced_)
    if (placement_request.spec->kind == JobKind::Gang && !gang) gang = placement_request;
  if (gang) gang->tasks.resize(1);
  next_rebalance_ = now + kPause * settings_.heartbeat_period_s;
  std::set<size_t> taken;  // machines that get replicas are not emptied in the same go
  for (size_t i : eviction_candidates(candidates)) {
    if (taken.contains(i)) continue;
    if (gang) {
      std::vector<CandidateMachine> alone{candidates[i]};
      alone[0].available = alone[0].capacity;
      if (bin_pack(*gang, alone).empty()) continue;
    }
    Machine& machine = machines_.at(candidates[i].machine);
    candidates[i].schedulable = false;
    TentativePlacement elsewhere(candidates);
    if (evictable(machine, elsewhere, now) && (gang || has_headroom(elsewhere, now))) {
      for (size_t candidate : elsewhere.keep()) taken.insert(candidate);
      drain(machine, gang ? "a gang needs the whole machine" : "it can be returned", now);
      if (++draining >= most) return;
    } else {
      candidates[i].schedulable = true;
    }
  }
}

}  // namespace sumacquay
