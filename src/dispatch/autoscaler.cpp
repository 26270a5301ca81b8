#include "dispatch/autoscaler.h"

#include <algorithm>
#include <utility>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// The number of machines that one scale-out may request regardless of the size of the fleet.
constexpr int kMinScaleOutLimit = 12;
/// The cloud protocol's limit on the machines of one request.
constexpr int kMaxInstancesPerRequest = 50;
/// Machines released in one request.
constexpr size_t kMaxMachinesPerScaleIn = 100;
/// Minimum intervals between requests to the cloud, in heartbeat periods. The shorter one applies
/// after the cloud has confirmed a release.
constexpr double kRequestIntervalPeriods = 0.5;
constexpr double kIntervalAfterScaleInPeriods = 0.1;
/// Time for which a released machine may remain in the cloud's list, as a multiple of the list's
/// lag.
constexpr double kListedAfterReleaseListLags = 10;

}  // namespace

// ---------------------------------------------------------------- scale out

Seconds Autoscaler::longest_boot_time() const {
  Seconds longest = 0;
  for (const auto& type : state_.machine_types()) longest = std::max(longest, type.boot_s);
  return longest;
}

std::vector<InstanceOffering> Autoscaler::offerings(Seconds now) const {
  std::vector<InstanceOffering> offerings;
  for (const auto& type : state_.machine_types())
    for (const auto& zone : type.zones)
      for (const bool spot : {false, true}) {
        const bool blocked = context_.failure_detector.zone_partitioned(zone) ||
                             requests_.backing_off({type.name, zone, spot}, now);
        offerings.push_back({&type, zone, spot, spot ? type.spot_price : type.price, blocked});
      }
  return offerings;
}

void Autoscaler::scale_out(std::vector<PlacementRequest> unplaced, Seconds now,
                           std::vector<Action>& actions) {
  const Settings& settings = state_.settings();
  if (now < next_scale_out_ || state_.machine_types().empty() ||
      !context_.capacity.reconciled_or_timed_out(now))
    return;
  next_scale_out_ = now + settings.heartbeat_period_s * kRequestIntervalPeriods;
  context_.arrivals.drop_old_arrivals(now, longest_boot_time());
  for (auto& request : requests_.due_for_retry(now)) actions.emplace_back(std::move(request));
  if (requests_.any_in_flight()) return;
  auto booting = context_.capacity.booting(now);
  auto up = context_.capacity.up(now);
  const auto expected = context_.arrivals.expected(settings.tuning.headroom);
  for (auto& arrival : arrival_requests(expected)) {
    for (const auto& assignment : bin_pack(arrival, up)) {
      ++arrival.tasks_per_zone[up[assignment.candidate].zone];
      std::erase(arrival.tasks, assignment.task);
    }
    if (!arrival.tasks.empty()) unplaced.push_back(std::move(arrival));
  }
  const auto limit = static_cast<int>(settings.tuning.rent * static_cast<double>(up.size()));
  for (const auto& plan : plan_scale_out(std::move(unplaced), booting, offerings(now),
                                         std::max(kMinScaleOutLimit, limit)))
    request_instances(plan, actions);
}

void Autoscaler::request_instances(const ScaleOutRequest& plan, std::vector<Action>& actions) {
  for (int remaining = plan.count; remaining > 0; remaining -= kMaxInstancesPerRequest) {
    ScaleOut request = requests_.create({plan.type, plan.zone, plan.spot},
                                        std::min(remaining, kMaxInstancesPerRequest));
    log_info("scale_out_requested", log_field("count", request.count),
             log_field("type", request.type), log_field("zone", request.zone),
             log_field("spot", request.spot));
    actions.emplace_back(std::move(request));
  }
}

void Autoscaler::on_scale_out_answered(const ScaleOut& request, ScaleOutOutcome outcome,
                                       const std::vector<std::string>& machines, Seconds now) {
  if (outcome == ScaleOutOutcome::Unknown)
    return requests_.retry_after(request, now, state_.settings().heartbeat_period_s);
  const size_t granted = outcome == ScaleOutOutcome::Granted ? machines.size() : 0;
  if (!requests_.complete(request, granted, now)) return;
  for (const auto& id : machines) {
    auto [entry, added] = state_.machines().try_emplace(id);
    if (!added) continue;
    Machine& machine = entry->second;
    machine.host = {id, "", request.type, request.zone, request.spot};
    machine.first_seen = now;
    machine.reconciled = true;
  }
}

void Autoscaler::on_machines_listed(const std::vector<ListedMachine>& machines, Seconds now) {
  auto& released = state_.released_machines();
  for (const auto& listed : machines) {
    const auto released_entry = released.find(listed.id);
    if (released_entry != released.end()) {
      // Still listed after many times the list's lag: the release did not take effect.
      if (now > released_entry->second + kListedAfterReleaseListLags * state_.settings().list_lag_s)
        released.erase(released_entry);
      continue;
    }
    auto [entry, added] = state_.machines().try_emplace(listed.id);
    Machine& machine = entry->second;
    if (added) {
      machine.host.id = listed.id;
      machine.first_seen = now - listed.age_s;
      machine.reconciled = true;  // no host record: no start was ever sent
    }
    machine.host.type = listed.type;
    machine.host.zone = listed.zone;
    machine.host.spot = listed.spot;
    if (machine.host.addr.empty()) machine.host.addr = listed.addr;
    if (listed.state == ListedMachine::State::Failed) machine.listed_failed = true;
  }
}

// ---------------------------------------------------------------- scale in

std::vector<PlacementRequest> Autoscaler::arrival_requests(
    const std::vector<JobSpec>& expected) const {
  auto requests = placement_requests_for(expected);
  for (PlacementRequest& request : requests)
    request.heartbeat_bytes = state_.heartbeat_bytes_per_task(*request.spec);
  return requests;
}

bool Autoscaler::has_headroom(TentativePlacement& placement) const {
  const auto expected = context_.arrivals.expected(state_.settings().tuning.headroom);
  const auto arrivals = arrival_requests(expected);
  return std::all_of(
      arrivals.begin(), arrivals.end(),
      [&placement](const PlacementRequest& arrival) { return placement.place(arrival); });
}

void Autoscaler::update_idle_times(Seconds now) {
  for (auto& [id, machine] : state_.machines()) {
    const bool idle = machine.state == MachineState::Up && !machine.may_have_attempts();
    if (!idle)
      machine.idle_since.reset();
    else if (!machine.idle_since)
      machine.idle_since = now;
  }
}

/// Releases machines that have been idle for the configured fraction of their boot time, unless
/// expected arrivals would not fit without them. Quarantined machines and spot machines that are
/// being reclaimed are released without that check.
void Autoscaler::release_idle_machines(Seconds now) {
  if (!context_.capacity.reconciled_or_timed_out(now) || requests_.any_in_flight()) return;
  update_idle_times(now);
  auto candidates = context_.capacity.up(now);
  for (auto& candidate : candidates) {
    Machine& machine = state_.machines().at(candidate.machine);
    const MachineType* type = state_.find_machine_type(machine.host.type);
    if (!machine.idle_since || !type ||
        now - *machine.idle_since < state_.settings().tuning.idle * type->boot_s)
      continue;
    const bool schedulable = std::exchange(candidate.schedulable, false);
    TentativePlacement placement(candidates);
    if (machine.quarantined() || machine.reclaim_at || has_headroom(placement))
      state_.set_machine_state(machine, MachineState::Releasing);
    else
      candidate.schedulable = schedulable;
  }
}

void Autoscaler::release_failed_machines(Seconds now) {
  for (auto& [id, machine] : state_.machines()) {
    if (!context_.failure_detector.should_release(machine, now)) continue;
    log_info("machine_released", log_field("machine", id), log_field("zone", machine.host.zone),
             log_field("from", name(machine.state)),
             log_field("silent_s", now - machine.last_seen_at));
    state_.set_machine_state(machine, MachineState::Releasing);
  }
}

void Autoscaler::scale_in(Seconds now, std::vector<Action>& actions) {
  if (scale_in_in_flight_ || now < next_scale_in_) return;
  next_scale_in_ = now + state_.settings().heartbeat_period_s * kRequestIntervalPeriods;
  context_.failure_detector.update_partitioned_zones(now);
  release_failed_machines(now);
  release_idle_machines(now);
  ScaleIn release;
  for (const auto& [id, machine] : state_.machines())
    if (machine.state == MachineState::Releasing &&
        release.machines.size() < kMaxMachinesPerScaleIn)
      release.machines.push_back(id);
  if (release.machines.empty()) return;
  scale_in_in_flight_ = true;
  actions.emplace_back(std::move(release));
}

void Autoscaler::on_scale_in_answered(const ScaleIn& release, bool ok, Seconds now) {
  scale_in_in_flight_ = false;
  next_scale_in_ = now + state_.settings().heartbeat_period_s *
                             (ok ? kIntervalAfterScaleInPeriods : kRequestIntervalPeriods);
  if (!ok) return;
  for (const auto& id : release.machines) {
    Machine* machine = state_.find_machine(id);
    if (!machine) continue;
    context_.attempts.remove_all(*machine);
    state_.mark_reconciled(*machine);
    if (machine->host_record_state != HostRecordState::None)
      context_.record_planner.request_machine_deletion(id);
    state_.released_machines()[id] = now;
    state_.machines().erase(id);
  }
}

}  // namespace sumacquay
