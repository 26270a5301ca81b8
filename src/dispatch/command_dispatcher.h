#pragma once
#include <optional>
#include <string>
#include <vector>

#include "backlog/pending_queue.h"
#include "dispatch/actions.h"
#include "dispatch/cluster_state.h"
#include "dispatch/command_message.h"
#include "dispatch/work_counters.h"

namespace sumacquay {

/// The largest space in a worker's heartbeat, in bytes, for completed attempts that the job's
/// record does not list as done: half of all. The rest is left to tasks that run, among them those
/// whose completion lets the record list the others.
inline constexpr double kMaxRetainedHeartbeatBytes = 0.5 * wire::kMaxListBytes;

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

  /// The commands that are due for the worker, for the answer to its heartbeat: stops first, then
  /// starts and permissions to discard attempts that have exited, as far as the message has space.
  /// None if it has no space for the stops of all tasks whose jobs have ended, so that the worker's
  /// lease must not be renewed. A worker that has discarded an attempt would carry out a copy of
  /// the request that started it, so this may advance the fencing token. The answer must carry the
  /// token that is current afterwards.
  std::optional<std::vector<Command>> commands_in_heartbeat_response(Machine& machine);
  /// Appends a `SendCommands` for each queued machine that has commands and can receive them now.
  void dispatch(Seconds now, std::vector<Action>& actions);

 private:
  bool startable(const Machine& machine, const TaskAttemptId& id, const TaskAttempt& attempt) const;
  bool has_unsent_commands(const Machine& machine) const;
  bool has_unsent_discards(const Machine& machine) const;
  std::vector<Command> commands_in_request(Machine& machine);
  std::vector<Command> due_stops(const Machine& machine) const;
  /// How many of the due stops were added to a message.
  enum class StopsAdded { All, AllOfEndedJobs, Some };
  StopsAdded add_stops(const Machine& machine, CommandMessage& message) const;
  static void mark_stops_sent(Machine& machine, const CommandMessage& message, StopsAdded added);
  size_t add_starts(Machine& machine, CommandMessage& message) const;
  std::vector<TaskAttemptId> discardable_attempts(const Machine& machine) const;
  size_t add_discards(Machine& machine, CommandMessage& message) const;
  size_t add_unsent_discards(Machine& machine, CommandMessage& message) const;
  void on_discards_added(Machine& machine, size_t discards);
  void dispatch_to(const std::string& id, Machine& machine, Seconds now,
                   std::vector<Action>& actions);

  ClusterState& state_;
  WorkCounters& work_counters_;
  PendingQueue queued_machines_;
};

}  // namespace sumacquay
