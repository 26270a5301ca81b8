// A summary of the fleet for operators, once a lease, in the log.
#include <spdlog/spdlog.h>

#include "dispatch/scheduler.h"

namespace sumacquay {

/// For operators: what the fleet is paid for, by type.
void Scheduler::log_fleet_summary(Seconds now) {
  if (now < next_summary_) return;
  next_summary_ = now + settings_.lease_s;
  for (const auto& t : types_) {
    size_t booting = 0;
    size_t up = 0;
    size_t idle = 0;
    size_t leaving = 0;
    Resources fetching;
    Resources used;
    Resources capacity;
    for (const auto& [id, machine] : machines_) {
      if (machine.info.type != t.name) continue;
      if (machine.state == MachineState::Booting) ++booting;
      if (machine.state == MachineState::Releasing || machine.state == MachineState::LeaseExpired)
        ++leaving;
      if (machine.state != MachineState::Up) continue;
      ++up;
      if (!machine.has_possible_attempts()) ++idle;
      capacity += t.capacity;
      for (const auto& [key, attempt] : machine.attempts) {
        if (!attempt.possibly_present()) continue;
        (attempt.state == TaskAttemptState::Running ? used : fetching) += attempt.request;
      }
    }
    spdlog::info(
        "{}: {} up, {} of them idle, {} booting, {} leaving; CPUs running {:.0f}, starting or "
        "stopping {:.0f}, of {:.0f}; GPUs {:.0f}, {:.0f}, of {:.0f}",
        t.name, up, idle, booting, leaving, used.cpus, fetching.cpus, capacity.cpus, used.gpus,
        fetching.gpus, capacity.gpus);
  }
  spdlog::info("{} jobs known, {} without room; {} rounds so far, {} lists of victims",
               jobs_.size(), unplaced_.size(), work_.rounds, work_.victim_lists);
}

}  // namespace sumacquay
