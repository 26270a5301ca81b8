#include "dispatch/fleet_summary_log.h"

#include <algorithm>

#include "logging/log_event.h"

namespace sumacquay {

void FleetSummaryLog::write_type(const MachineType& type) const {
  size_t booting = 0;
  size_t up = 0;
  size_t idle = 0;
  size_t leaving = 0;
  Resources changing;  // starting or stopping
  Resources running;
  Resources capacity;
  double largest_heartbeat_bytes = 0;
  for (const auto& [id, machine] : state_.machines()) {
    if (machine.host.type != type.name) continue;
    if (machine.state == MachineState::Booting) ++booting;
    if (machine.state == MachineState::Releasing || machine.state == MachineState::LeaseExpired)
      ++leaving;
    if (machine.state != MachineState::Up) continue;
    ++up;
    if (!machine.may_have_attempts()) ++idle;
    capacity += type.capacity;
    double heartbeat_bytes = 0;
    for (const auto& [attempt_id, attempt] : machine.attempts) {
      heartbeat_bytes += attempt.heartbeat_bytes;
      if (!attempt.may_be_present()) continue;
      (attempt.state == TaskAttemptState::Running ? running : changing) += attempt.request;
    }
    largest_heartbeat_bytes = std::max(largest_heartbeat_bytes, heartbeat_bytes);
  }
  log_info("fleet_summary", log_field("type", type.name), log_field("up", up),
           log_field("idle", idle), log_field("booting", booting), log_field("leaving", leaving),
           log_field("cpus_running", running.cpus), log_field("cpus_changing", changing.cpus),
           log_field("cpus", capacity.cpus), log_field("gpus_running", running.gpus),
           log_field("gpus_changing", changing.gpus), log_field("gpus", capacity.gpus),
           log_field("heartbeat_bytes", static_cast<size_t>(largest_heartbeat_bytes)));
}

void FleetSummaryLog::write_if_due(size_t unplaced_jobs, Seconds now) {
  if (now < next_summary_at_) return;
  next_summary_at_ = now + state_.settings().lease_s;
  for (const auto& type : state_.machine_types()) write_type(type);
  log_info("jobs_summary", log_field("jobs", state_.jobs().size()),
           log_field("unplaced", unplaced_jobs), log_field("rounds", work_counters_.rounds),
           log_field("victim_lists", work_counters_.victim_lists));
}

}  // namespace sumacquay
