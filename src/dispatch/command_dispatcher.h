#pragma once
#include <string>
#include <vector>

#include "backlog/pending_queue.h"
#include "dispatch/actions.h"
#include "dispatch/cluster_state.h"
#include "dispatch/work_counters.h"

namespace sumacquay {

/// Decides which commands a worker gets, either in the answer to its heartbeat or in a request from
/// the leader. Owns the queue of machines that may have commands to send, so that the cost of
/// sending depends on the number of commands and not on the size of the fleet. An entry in the
/// queue is only a hint: each machine is checked again when it leaves the queue.
class CommandDispatcher {
 public:
  CommandDispatcher(ClusterState& state, WorkCounters& work_counters)
      : state_(state), work_counters_(work_counters) {}

  /// Queues the machine, which may have commands to send.
  void enqueue(const Machine& machine);
  /// Queues all machines on which the job's tasks are placed, since the tasks may now be started.
  void enqueue_machines_of(const Job& job);
  /// Queues machines with unsent commands that no event has queued, mostly because a command became
  /// due with time. Called once per round; checks every machine.
  void enqueue_all_due();

  /// All commands that are due for the worker, for the answer to its heartbeat: stops first, which
  /// are never truncated, then starts and permissions to discard attempts that have exited. A
  /// worker that has discarded an attempt would carry out a copy of the request that started it, so
  /// this may advance the fencing token. The answer must carry the token that is current
  /// afterwards.
  std::vector<Command> commands_in_heartbeat_response(Machine& machine);
  /// Appends a `SendCommands` for each queued machine that has commands and can receive them now.
  void dispatch(Seconds now, std::vector<Action>& actions);

 private:
  bool startable(const Machine& machine, const TaskAttemptId& id, const TaskAttempt& attempt) const;
  bool has_unsent_commands(const Machine& machine) const;
  std::vector<Command> commands_in_request(Machine& machine);
  void add_stops(Machine& machine, std::vector<Command>& commands) const;
  size_t add_starts(Machine& machine, std::vector<Command>& commands) const;
  size_t add_discards(const Machine& machine, std::vector<Command>& commands) const;
  void dispatch_to(const std::string& id, Machine& machine, Seconds now,
                   std::vector<Action>& actions);

  ClusterState& state_;
  WorkCounters& work_counters_;
  PendingQueue queued_machines_;
};

}  // namespace sumacquay
