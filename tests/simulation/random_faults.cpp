#include "simulation/random_faults.h"

namespace sumacquay::simulation {

namespace {
/// A machine is added while the fleet is smaller than this.
constexpr size_t kMinMachines = 3;
constexpr Seconds kReplacementBootTime = 1;
/// Bit mask of the connections to interrupt: to the key-value store, peers and workers.
constexpr uint64_t kStoreConnection = 1, kPeerConnections = 2, kWorkerConnections = 4,
                   kAllConnections = 7;
}  // namespace

// The order of the random draws is fixed: changing it changes the history of every seed.

void RandomFaults::step() {
  inject_controller_faults(pick_controller());
  inject_store_faults();
  inject_network_and_cloud_faults();
  if (env_.fleet.size() == 0) return;
  inject_machine_faults();
  if (env_.fleet.size() < kMinMachines) cloud_.add_machine(env_.now() + kReplacementBootTime);
}

size_t RandomFaults::pick_controller() {
  const auto leader = controllers_.leader();
  if (leader && random_bool(0.7)) return *leader;
  return env_.random.below(env_.controllers.size());
}

void RandomFaults::inject_controller_faults(size_t controller) {
  if (random_bool(0.0015)) faults_.restart_controller(controller, random_between(0.1, 6));
  if (random_bool(0.001)) faults_.pause_controller(controller, random_between(1, 20));
  if (random_bool(0.001)) faults_.reject_store_requests(controller, random_between(1, 30));
  if (random_bool(0.001)) partition_controller(controller);
  if (random_bool(0.0002)) restart_all_controllers();
}

void RandomFaults::partition_controller(size_t controller) {
  const uint64_t connections = 1 + env_.random.below(kAllConnections);
  const Seconds span = random_between(1, 30);
  if (connections & kStoreConnection) faults_.partition_from_store(controller, span);
  if (connections & kPeerConnections) faults_.partition_from_peers(controller, span);
  if (connections & kWorkerConnections) faults_.partition_from_workers(controller, span);
}

void RandomFaults::restart_all_controllers() {
  for (size_t controller = 0; controller < env_.controllers.size(); ++controller) {
    const Seconds restart_delay = random_between(0.2, 1);
    const double factor = random_bool(0.3) ? 20 : 1;
    faults_.restart_controller(controller, restart_delay * factor);
  }
}

void RandomFaults::inject_store_faults() {
  if (random_bool(0.0004)) faults_.store_outage(random_between(1, 40));
  if (random_bool(0.0006)) faults_.slow_store(random_between(2, 20));
  if (random_bool(0.0006)) faults_.delay_store_writes(0.3, random_between(2, 20));
  if (random_bool(0.0006)) faults_.lose_store_answers(0.3, random_between(2, 20));
}

void RandomFaults::inject_network_and_cloud_faults() {
  if (random_bool(0.0006)) {
    const auto delivery =
        random_bool(0.5) ? DuplicateDelivery::OnLeaderChange : DuplicateDelivery::AfterDelay;
    faults_.duplicate_heartbeats(0.3, random_between(2, 20), delivery);
  }
  if (random_bool(0.0005)) {
    const Seconds span = random_between(5, 40);
    faults_.partition_zone(random_bool(0.5) ? kEast : kWest, span);
  }
  if (random_bool(0.001)) faults_.delay_releases(random_between(5, 60));
}

void RandomFaults::inject_machine_faults() {
  const auto machines = env_.fleet.running(env_.now());
  if (machines.empty()) return;
  const std::string& machine = machines[env_.random.below(machines.size())];
  if (random_bool(0.004)) faults_.hang_machine(machine, random_between(1, 25));
  if (random_bool(0.004)) faults_.partition_machine(machine, random_between(1, 25));
  if (random_bool(0.003)) faults_.drop_inbound_messages(machine, random_between(1, 25));
  if (random_bool(0.001)) faults_.drop_heartbeats(machine, random_between(1, 25));
  if (random_bool(0.002)) faults_.delay_commands(machine, random_between(1, 60));
  if (random_bool(0.001)) faults_.fail_all_tasks(machine);
  if (random_bool(0.001)) faults_.lose_machine(machine);
}

}  // namespace sumacquay::simulation
