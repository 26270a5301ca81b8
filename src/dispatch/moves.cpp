// Replicas of services stay for as long as their users want them, so what packing joined comes
// apart as other jobs end: many machines, each a little used. Replicas are moved together where
// that costs them next to nothing, which is on machines that have their image.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/leader_core.h"

namespace sumacquay {
namespace {

/// The protocol counts a start only if no command stops the task within 30 s of it; a replica is
/// left alone for several times that, so that none is moved again and again.
constexpr Seconds kSettled = 4 * 30;
/// Pause between moves / report period.
constexpr double kPause = 2;

/// Machines that cost less than this part of the dearest are not worth any replica's downtime.
constexpr double kWorthMoving = 0.25;

/// Less than this part of a machine in use is nothing but the error of sums.
constexpr double kEmpty = 1e-9;

double used_part(const Slot& s) {
  if (s.room.gpus > 0) return 1 - s.free.gpus / s.room.gpus;
  return s.room.cpus > 0 ? 1 - s.free.cpus / s.room.cpus : 1;
}

}  // namespace

/// Whether every task on the machine is a settled replica that fits on another machine with its
/// image.
bool LeaderCore::movable(const Machine& m, Trial& elsewhere, Seconds now) {
  for (const auto& [key, run] : m.runs) {
    if (!run.present()) continue;
    Job* job = find_job(key.task.job);
    if (!job || job->spec().kind != JobKind::Service || !run.wanted) return false;
    if (run.phase != Run::Phase::Running || now - run.running_since < kSettled) return false;
    Demand d;
    d.spec = &job->spec();
    d.tasks = {key.task.task};
    for (const auto& [task, places] : job->at)
      for (const auto& [machine, attempt] : places)
        if (task != key.task.task) ++d.zones[machines_.at(machine).info.zone];
    // Nothing is moved to an empty machine: that would only go back and forth.
    d.avoid = [job](const Slot& s) {
      return used_part(s) < kEmpty || !s.of->images.has(job->spec().image) ||
             job->failed_on.count(s.machine) > 0;
    };
    if (!elsewhere.fits(d)) return false;
  }
  return true;
}

void LeaderCore::drain(Machine& m, const char* why, Seconds now) {
  spdlog::info("moves what runs on {}: {}", m.info.id, why);
  m.draining = true;
  for (auto& [key, run] : m.runs)
    if (run.present()) unwant(run, false, now);
}

/// One machine at a time: true while a move is on its way.
bool LeaderCore::finish_move(Seconds now) {
  for (auto& [id, m] : machines_) {
    if (!m.draining || m.stage != Machine::Stage::Up) continue;
    if (m.has_presence()) return true;
    m.draining = false;
    m.idle_since = now;
  }
  return false;
}

void LeaderCore::move_replicas(Seconds now) {
  if (finish_move(now) || now < next_move_ || !picture_settled(now)) return;
  std::optional<Demand> gang;  // a task of it
  for (const auto& d : unplaced_)
    if (d.spec->kind == JobKind::Gang && !gang) gang = d;
  if (gang) gang->tasks.resize(1);
  if (!gang && !unplaced_.empty()) return;
  auto slots = picture(now, false);
  double dearest = 0;
  for (const auto& t : types_) dearest = std::max(dearest, t.price);
  std::vector<size_t> order;
  for (size_t i = 0; i < slots.size(); ++i) {
    const MachineType* t = type(slots[i].type);
    const bool dear = t && t->price >= kWorthMoving * dearest;
    if (slots[i].usable && used_part(slots[i]) > kEmpty && dear) order.push_back(i);
  }
  std::sort(order.begin(), order.end(),
            [&](size_t a, size_t b) { return used_part(slots[a]) < used_part(slots[b]); });
  next_move_ = now + kPause * settings_.report_s;
  for (size_t i : order) {
    if (gang) {
      std::vector<Slot> alone{slots[i]};
      alone[0].free = alone[0].room;
      if (place(*gang, alone).empty()) continue;
    }
    Machine& m = machines_.at(slots[i].machine);
    slots[i].usable = false;
    Trial elsewhere(slots);
    if (movable(m, elsewhere, now) && (gang || spare_room(elsewhere, now)))
      return drain(m, gang ? "a gang needs the whole machine" : "it can be returned", now);
    slots[i].usable = true;
  }
}

}  // namespace sumacquay
