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

double used_part(const Slot& s) {
  if (s.room.gpus > 0) return 1 - s.free.gpus / s.room.gpus;
  return s.room.cpus > 0 ? 1 - s.free.cpus / s.room.cpus : 1;
}

bool empty(const Slot& s) {
  return s.room.fits_in(s.free);
}

}  // namespace

/// Whether every task on the machine is a settled replica that fits on another machine with its
/// image.
bool Scheduler::movable(const Machine& machine, Trial& elsewhere, Seconds now) {
  for (const auto& [key, attempt] : machine.attempts) {
    if (!attempt.possibly_present()) continue;
    Job* job = find_job(key.task.job);
    if (!job || job->spec().kind != JobKind::Service || !attempt.desired_running) return false;
    if (attempt.state != TaskAttemptState::Running ||
        now - attempt.running_since.value_or(now) < kSettled)
      return false;
    Demand d;
    d.spec = &job->spec();
    d.tasks = {key.task.task};
    if (d.spec->counts_zones())
      for (const auto& [task, places] : job->possible_placements)
        for (const auto& [machine_id, attempt_number] : places)
          if (task != key.task.task) ++d.zones[machines_.at(machine_id).info.zone];
    // Nothing is moved to an empty machine: that would only go back and forth.
    d.avoid = [job](const Slot& s) {
      return empty(s) || !s.of->images.has(job->spec().image) || job->failed_on.contains(s.machine);
    };
    if (!elsewhere.fits(d)) return false;
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
size_t Scheduler::finish_moves(Seconds now) {
  size_t draining = 0;
  for (auto& [id, machine] : machines_) {
    if (!machine.draining || machine.stage != Machine::Stage::Up) continue;
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
std::vector<size_t> Scheduler::worth_emptying(const std::vector<Slot>& slots) const {
  double dearest = 0;
  for (const auto& t : types_) dearest = std::max(dearest, t.price);
  std::vector<size_t> order;
  for (size_t i = 0; i < slots.size(); ++i) {
    const MachineType* t = type(slots[i].type);
    const bool dear = t && t->price >= kWorthMoving * dearest;
    if (slots[i].usable && !empty(slots[i]) && dear) order.push_back(i);
  }
  std::sort(order.begin(), order.end(),
            [&](size_t a, size_t b) { return used_part(slots[a]) < used_part(slots[b]); });
  return order;
}

void Scheduler::move_replicas(Seconds now) {
  size_t draining = finish_moves(now);
  if (now < next_move_ || !picture_settled(now)) return;
  auto slots = picture(now, false);
  const size_t most = 1 + static_cast<size_t>(kAtOnce * static_cast<double>(slots.size()));
  if (draining >= most) return;
  std::optional<Demand> gang;  // a task of it
  for (const auto& d : unplaced_)
    if (d.spec->kind == JobKind::Gang && !gang) gang = d;
  if (gang) gang->tasks.resize(1);
  next_move_ = now + kPause * settings_.heartbeat_period_s;
  std::set<size_t> taken;  // machines that get replicas are not emptied in the same go
  for (size_t i : worth_emptying(slots)) {
    if (taken.contains(i)) continue;
    if (gang) {
      std::vector<Slot> alone{slots[i]};
      alone[0].free = alone[0].room;
      if (place(*gang, alone).empty()) continue;
    }
    Machine& machine = machines_.at(slots[i].machine);
    slots[i].usable = false;
    Trial elsewhere(slots);
    if (movable(machine, elsewhere, now) && (gang || spare_room(elsewhere, now))) {
      for (size_t slot : elsewhere.keep()) taken.insert(slot);
      drain(machine, gang ? "a gang needs the whole machine" : "it can be returned", now);
      if (++draining >= most) return;
    } else {
      slots[i].usable = true;
    }
  }
}

}  // namespace sumacquay
