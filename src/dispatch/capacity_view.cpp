#include "dispatch/capacity_view.h"

#include <utility>

namespace sumacquay {
namespace {

/// Time without a heartbeat after which a machine gets no new tasks, in heartbeat periods.
/// Heartbeats arrive up to a quarter of a period late, and one may be lost and sent again.
constexpr double kHeartbeatTimeoutPeriods = 2.5;
/// Allowance for network delay.
constexpr Seconds kNetworkDelayAllowance = 0.5;

CandidateMachine candidate_for(const ClusterState& state, const Machine& machine,
                               const MachineType& type) {
  CandidateMachine candidate;
  candidate.machine = machine.host.id;
  candidate.source = &machine;
  candidate.type = machine.host.type;
  candidate.zone = machine.host.zone;
  candidate.spot = machine.host.spot;
  candidate.capacity = candidate.available = type.capacity;
  for (const auto& [id, attempt] : machine.attempts) {
    const Resources occupied = attempt.occupied();
    candidate.available -= occupied;
    const bool leaving =
        attempt.may_be_present() ? !attempt.desired_running : state.may_discard(id, attempt);
    if (leaving) candidate.releasing += occupied;
  }
  return candidate;
}

}  // namespace

Seconds CapacityView::heartbeat_timeout() const {
  return kHeartbeatTimeoutPeriods * state_.settings().heartbeat_period_s + kNetworkDelayAllowance;
}

bool CapacityView::schedulable(const Machine& machine, Seconds now) const {
  return machine.state == MachineState::Up && machine.fencing_token_acknowledged &&
         !machine.quarantined() && !machine.draining && !machine.reclaim_at &&
         now - machine.last_heartbeat_at < heartbeat_timeout();
}

std::vector<CandidateMachine> CapacityView::machines_in(MachineState machine_state,
                                                        Seconds now) const {
  std::vector<CandidateMachine> candidates;
  for (const auto& [id, machine] : state_.machines()) {
    if (machine.state != machine_state) continue;
    const MachineType* type = state_.find_machine_type(machine.host.type);
    if (!type) continue;
    CandidateMachine candidate = candidate_for(state_, machine, *type);
    candidate.schedulable = machine_state == MachineState::Booting || schedulable(machine, now);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

std::vector<CandidateMachine> CapacityView::up(Seconds now) const {
  return machines_in(MachineState::Up, now);
}

std::vector<CandidateMachine> CapacityView::booting(Seconds now) const {
  return machines_in(MachineState::Booting, now);
}

bool CapacityView::reconciled_or_timed_out(Seconds now) const {
  return state_.all_reconciled() || now - state_.failover_at() > heartbeat_timeout();
}

}  // namespace sumacquay
