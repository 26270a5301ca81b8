#include "node/scheduler_driver.h"

#include "node/leads_now.h"
#include "node/steady_time.h"

namespace sumacquay {
namespace {

/// Minimum pause after a tick of the scheduler, as a multiple of the tick's duration. It leaves CPU
/// time for lease renewals, heartbeats and users' requests.
constexpr double kPausePerTickDuration = 3;

}  // namespace

const char* name(ResignReason reason) {
  switch (reason) {
    case ResignReason::TermNearlyExhausted:
      return "term_nearly_exhausted";
    case ResignReason::IsolatedFromWorkers:
      return "isolated_from_workers";
  }
  return "?";
}

SchedulerDriver::SchedulerDriver(const Settings& settings, const LeaderElection& election,
                                 ActiveScheduler& scheduler, ActionExecutor& executor,
                                 RecordWriter& record_writer)
    : settings_(settings),
      election_(election),
      scheduler_(scheduler),
      executor_(executor),
      record_writer_(record_writer) {}

bool SchedulerDriver::leads() const {
  return leads_now(scheduler_, election_);
}

void SchedulerDriver::tick() {
  const Seconds started_at = steady_now();
  if (!leads() || started_at < next_tick_) return;
  for (const auto& action : scheduler_->tick(started_at)) executor_.perform(action);
  if (leads()) record_writer_.write_planned_records();
  const Seconds finished_at = steady_now();
  next_tick_ = finished_at + kPausePerTickDuration * (finished_at - started_at);
}

void SchedulerDriver::on_committed() {
  if (!settings_.tuning.prompt_dispatch) return tick();
  if (!leads()) return;
  for (const auto& action : scheduler_->dispatch(steady_now())) executor_.perform(action);
  if (leads()) record_writer_.write_planned_records();
}

/// A leader that no worker can reach can still renew its own lease in the state service, so it must
/// resign; otherwise every worker's lease would expire. A leader that has used up the attempt
/// numbers or fencing tokens of its term could not start any more tasks.
std::optional<ResignReason> SchedulerDriver::reason_to_resign() const {
  if (!leads()) return std::nullopt;
  if (scheduler_->term_nearly_exhausted()) return ResignReason::TermNearlyExhausted;
  if (!settings_.peers.empty() && scheduler_->isolated_from_workers(steady_now()))
    return ResignReason::IsolatedFromWorkers;
  return std::nullopt;
}

}  // namespace sumacquay
