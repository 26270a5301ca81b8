#include "dispatch/scheduler.h"

namespace sumacquay {

Scheduler::Scheduler(const Settings& settings, uint64_t term, Seconds now,
                     Seconds previous_leader_fenced_at, Seconds wall_offset)
    : state_(settings, term, now, wall_offset),
      failures_(state_),
      commands_(state_, work_counters_),
      gang_starts_(state_, commands_),
      record_queue_(state_),
      attempts_(state_, failures_, commands_, gang_starts_, record_queue_, work_counters_),
      failure_detector_(state_, attempts_, failures_, now, previous_leader_fenced_at),
      heartbeat_sizes_(state_, attempts_, commands_),
      reconciler_(state_, attempts_, commands_, failure_detector_, heartbeat_sizes_),
      ingestion_(state_,
                 {failures_, attempts_, commands_, record_queue_, arrivals_, work_counters_}),
      record_planner_(state_, record_queue_, ingestion_, commands_, work_counters_),
      capacity_(state_),
      autoscaler_(state_, {capacity_, attempts_, failure_detector_, record_planner_, arrivals_}),
      queue_(state_, failures_, arrivals_),
      quota_(state_),
      preemptor_(state_, {capacity_, queue_, autoscaler_, attempts_, work_counters_}),
      round_(state_, {capacity_, failures_, queue_, quota_, preemptor_, attempts_, gang_starts_,
                      commands_, record_queue_, work_counters_}),
      rebalancer_(state_, capacity_, autoscaler_, attempts_),
      summary_log_(state_, work_counters_) {}

void Scheduler::on_cached_image(const std::string& machine_id, const std::string& image,
                                double size_gb) {
  if (Machine* machine = state_.find_machine(machine_id))
    state_.record_image_use(*machine, image, size_gb);
}

std::unordered_map<std::string, uint32_t> Scheduler::running_counts() const {
  std::unordered_map<std::string, uint32_t> counts;
  for (const auto& [machine_id, machine] : state_.machines()) {
    const std::string* job = nullptr;  // attempts are sorted by job: one look-up per job
    uint32_t* count = nullptr;
    for (const auto& [id, attempt] : machine.attempts) {
      if (attempt.state != TaskAttemptState::Running) continue;
      if (!job || *job != id.task.job) {
        job = &id.task.job;
        count = &counts[*job];
      }
      ++*count;
    }
  }
  return counts;
}

std::vector<Action> Scheduler::tick(Seconds now) {
  std::vector<Action> actions;
  const Settings& settings = state_.settings();
  failure_detector_.record_event(now);
  if (now >= next_round_) {
    failure_detector_.expire_leases(now);
    next_round_ = now + settings.tuning.round * settings.heartbeat_period_s;
    round_.run(now);
    rebalancer_.rebalance(round_.unplaced(), now);
    const size_t unplaced_jobs = round_.unplaced().size();
    autoscaler_.scale_out(round_.release_unplaced(), now, actions);
    summary_log_.write_if_due(unplaced_jobs, now);
    commands_.enqueue_all_due();
    record_queue_.enqueue_all_due(now);
  }
  autoscaler_.scale_in(now, actions);
  commands_.dispatch(now, actions);
  failure_detector_.probe(now, actions);
  return actions;
}

std::vector<Action> Scheduler::dispatch(Seconds now) {
  std::vector<Action> actions;
  if (!record_queue_.prompt_dispatch_enabled()) return actions;
  failure_detector_.record_event(now);
  commands_.dispatch(now, actions);
  return actions;
}

}  // namespace sumacquay
