#pragma once
#include <string>
#include <vector>

#include "backlog/pending_queue.h"
#include "dispatch/actions.h"
#include "dispatch/cluster_state.h"
#include "dispatch/work_counters.h"

namespace sumacquay {

/// Decides which commands a worker gets, in the answer to its heartbeat or sent by the leader of
/// its own accord. Owns the queue of machines that may have commands to be sent, so that sending
/// them costs what there is to send and not a look at every machine. The queue only says where to
/// look: whatever leaves it is judged anew.
class CommandDispatcher {
 public:
  CommandDispatcher(ClusterState& state, WorkCounters& work) : state_(state), work_(work) {}

  /// The machine may have commands to be sent.
  void enqueue(const Machine& machine);
  /// The job's tasks may be started now wherever they were placed.
  void enqueue_machines_of(const Job& job);
  /// Finds whatever came up without being queued, by the passing of time above all. Called once a
  /// round; looks at every machine.
  void enqueue_overlooked();

  /// All that the worker is to be told: stops first, which are never cut, then starts and, if
  /// `with_forgets`, permissions to forget attempts that have exited.
  std::vector<Command> commands_for(Machine& machine, bool with_forgets);
  /// Appends a `SendCommands` for each queued machine that can be sent some now.
  void dispatch(Seconds now, std::vector<Action>& actions);

 private:
  bool startable(const Machine& machine, const TaskAttemptId& id, const TaskAttempt& attempt) const;
  bool has_unsent_commands(const Machine& machine) const;
  void add_stops(Machine& machine, std::vector<Command>& commands) const;
  bool may_forget(const TaskAttemptId& id, const TaskAttempt& attempt) const;
  void dispatch_to(const std::string& id, Machine& machine, Seconds now,
                   std::vector<Action>& actions);

  ClusterState& state_;
  WorkCounters& work_;
  PendingQueue machines_;
};

}  // namespace sumacquay
