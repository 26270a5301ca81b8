// Machines that are given back: idle ones and those that were given up.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

constexpr size_t kMostReleased = 100;

}  // namespace

/// Whether there is room for arrivals beside what the trial has placed.
bool Scheduler::has_headroom(TentativePlacement& trial, Seconds /*now*/) const {
  const auto expected = arrivals_.expected(settings_.tuning.headroom);
  const auto placement_requests = placement_requests_for(expected);
  return std::all_of(placement_requests.begin(), placement_requests.end(),
                     [&trial](const PlacementRequest& placement_request) {
                       return trial.fits(placement_request);
                     });
}

void Scheduler::return_idle(Seconds now) {
  if (!capacity_settled(now) || rental_requests_.any_open()) return;
  for (auto& [id, machine] : machines_) {
    const bool idle = machine.stage == Machine::Stage::Up && !machine.has_possible_attempts();
    if (!idle)
      machine.idle_since.reset();
    else if (!machine.idle_since)
      machine.idle_since = now;
  }
  auto others = capacity_snapshot(now, false);
  for (auto& candidate : others) {
    Machine& machine = machines_.at(candidate.machine);
    const MachineType* t = type(machine.info.type);
    if (!machine.idle_since || !t || now - *machine.idle_since < settings_.tuning.idle * t->boot_s)
      continue;
    const bool usable = std::exchange(candidate.usable, false);
    TentativePlacement without(others);
    if (machine.sick() || machine.reclaim_at || has_headroom(without, now))
      set_stage(machine, Machine::Stage::Returning);
    else
      candidate.usable = usable;
  }
}

void Scheduler::return_machines(Seconds now, std::vector<Action>& out) {
  if (releasing_ || now < next_release_) return;
  next_release_ = now + settings_.heartbeat_period_s * 0.5;
  find_cut_zones(now);
  for (auto& [id, machine] : machines_)
    if (should_give_up(machine, now)) {
      spdlog::info("gives {} back: stage {}, silent {:.1f} s", id, name(machine.stage),
                   now - machine.last_heard);
      set_stage(machine, Machine::Stage::Returning);
    }
  return_idle(now);
  Release release;
  for (const auto& [id, machine] : machines_)
    if (machine.stage == Machine::Stage::Returning && release.machines.size() < kMostReleased)
      release.machines.push_back(id);
  if (release.machines.empty()) return;
  releasing_ = true;
  out.emplace_back(std::move(release));
}

void Scheduler::release_done(const Release& release, bool ok, Seconds now) {
  releasing_ = false;
  next_release_ = now + settings_.heartbeat_period_s * (ok ? 0.1 : 0.5);
  if (!ok) return;
  for (const auto& id : release.machines) {
    const auto it = machines_.find(id);
    if (it == machines_.end()) continue;
    Machine& machine = it->second;
    remove_all_attempts(machine);
    mark_accounted(machine);
    if (machine.record != Machine::Record::None) host_record_writes_.want_deletion(id);
    returned_[id] = now;
    machines_.erase(it);
  }
}

}  // namespace sumacquay
