#pragma once
#include <optional>

#include "config/settings.h"
#include "leadership/leader_election.h"
#include "node/action_executor.h"
#include "node/active_scheduler.h"
#include "node/record_writer.h"

namespace sumacquay {

/// Why a leader resigns although its lease is valid.
enum class ResignReason {
  TermNearlyExhausted,  ///< few attempt numbers or fencing tokens are left in its term
  IsolatedFromWorkers,  ///< no worker's heartbeats reach this node
};

/// Name of the reason in log messages.
const char* name(ResignReason reason);

/// Runs the scheduler while this node leads: ticks it, passes its actions to the ActionExecutor and
/// has the RecordWriter write its records. Called by the node. Owns the timing of the scheduler's
/// ticks.
class SchedulerDriver {
 public:
  SchedulerDriver(const Settings& settings, const LeaderElection& election,
                  ActiveScheduler& scheduler, ActionExecutor& executor,
                  RecordWriter& record_writer);

  /// Ticks the scheduler, if this node leads and the pause after the last tick is over.
  void tick();
  /// Handles a committed transaction: starts that waited for its records can be sent, and the next
  /// transaction can be written.
  void on_committed();
  /// Why this node should resign; nothing if it should not.
  [[nodiscard]] std::optional<ResignReason> reason_to_resign() const;

 private:
  bool leads() const;

  const Settings& settings_;
  const LeaderElection& election_;
  ActiveScheduler& scheduler_;
  ActionExecutor& executor_;
  RecordWriter& record_writer_;
  Seconds next_tick_ = 0;
};

}  // namespace sumacquay
