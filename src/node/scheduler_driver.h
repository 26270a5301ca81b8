#pragma once
#include <optional>

#include "config/settings.h"
#include "leadership/leader_election.h"
#include "node/action_executor.h"
#include "node/active_scheduler.h"
#include "node/record_writer.h"

namespace sumacquay {

/// Why a leader gives up its lease by itself.
enum class ResignReason {
  TermNearlyExhausted,  ///< few attempt numbers or fencing tokens are left of its term
  IsolatedFromWorkers,  ///< no worker's heartbeat reaches this node
};

/// The reason as it stands in the log.
const char* name(ResignReason reason);

/// Runs the scheduler while this node leads: ticks it, hands its actions to the executor and its
/// writes to the record writer. Called by the node.
///
/// It owns the pause between two ticks of the scheduler. It must not know how actions and writes
/// are carried out.
class SchedulerDriver {
 public:
  SchedulerDriver(const Settings& settings, const LeaderElection& election,
                  ActiveScheduler& scheduler, ActionExecutor& executor,
                  RecordWriter& record_writer);

  /// A tick of the scheduler, unless this node does not lead or the pause after the last one is not
  /// over yet.
  void tick();
  /// A transaction was committed: starts that waited for its records may go out, and there is room
  /// for the next transaction.
  void on_committed();
  /// Why this node should leave the lead, none if it should not.
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
