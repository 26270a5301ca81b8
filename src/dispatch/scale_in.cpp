// Machines that are given back: idle ones and those that were given up.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

constexpr size_t kMaxMachinesPerScaleIn = 100;

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

void Scheduler::scale_in_idle(Seconds now) {
  if (!capacity_settled(now) || scale_out_requests_.any_in_flight()) return;
  for (auto& [id, machine] : machines_) {
    const bool idle = machine.state == MachineState::Up && !machine.has_possible_attempts();
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
    const bool schedulable = std::exchange(candidate.schedulable, false);
    TentativePlacement without(others);
    if (machine.quarantined() || machine.reclaim_at || has_headroom(without, now))
      set_machine_state(machine, MachineState::Releasing);
    else
      candidate.schedulable = schedulable;
  }
}

void Scheduler::scale_in(Seconds now, std::vector<Action>& out) {
  if (scale_in_in_flight_ || now < next_scale_in_) return;
  next_scale_in_ = now + settings_.heartbeat_period_s * 0.5;
  update_partitioned_zones(now);
  for (auto& [id, machine] : machines_)
    if (should_release(machine, now)) {
      spdlog::info("gives {} back: stage {}, silent {:.1f} s", id, name(machine.state),
                   now - machine.last_heard);
      set_machine_state(machine, MachineState::Releasing);
    }
  scale_in_idle(now);
  ScaleIn release;
  for (const auto& [id, machine] : machines_)
    if (machine.state == MachineState::Releasing &&
        release.machines.size() < kMaxMachinesPerScaleIn)
      release.machines.push_back(id);
  if (release.machines.empty()) return;
  scale_in_in_flight_ = true;
  out.emplace_back(std::move(release));
}

void Scheduler::on_scale_in_answered(const ScaleIn& release, bool ok, Seconds now) {
  scale_in_in_flight_ = false;
  next_scale_in_ = now + settings_.heartbeat_period_s * (ok ? 0.1 : 0.5);
  if (!ok) return;
  for (const auto& id : release.machines) {
    const auto it = machines_.find(id);
    if (it == machines_.end()) continue;
    Machine& machine = it->second;
    remove_all_attempts(machine);
    mark_reconciled(machine);
    if (machine.record != HostRecordState::None) host_record_writes_.want_deletion(id);
    released_[id] = now;
    machines_.erase(it);
  }
}

}  // namespace sumacquay
