#include "node/leader_hints_source.h"

namespace sumacquay {

void add_job_progress(const Scheduler& scheduler, wire::PeerHeartbeat& heartbeat) {
  for (const auto& [id, running] : scheduler.running_counts()) {
    const auto job = scheduler.jobs().find(id);
    if (job == scheduler.jobs().end()) continue;
    heartbeat.job_progress.push_back({id, job->second.done.count(), running});
  }
}

void add_hints(const Scheduler& scheduler, Seconds now, wire::PeerHeartbeat& heartbeat) {
  for (const auto& [id, machine] : scheduler.machines()) {
    for (const auto& [image, gb] : machine.images.images())
      heartbeat.cached_images.push_back({id, image, gb});
    if (machine.state != MachineState::Booting) continue;
    ListedMachine booting;
    booting.id = id;
    booting.type = machine.host.type;
    booting.zone = machine.host.zone;
    booting.spot = machine.host.spot;
    booting.state = ListedMachine::State::Booting;
    booting.age_s = now - machine.first_seen;
    heartbeat.booting_machines.push_back(std::move(booting));
  }
}

}  // namespace sumacquay
