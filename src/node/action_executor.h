#pragma once
#include <asio.hpp>
#include <deque>
#include <string>

#include "config/settings.h"
#include "dispatch/actions.h"
#include "dispatch/scheduler.h"
#include "leadership/leader_election.h"
#include "net/http.h"
#include "node/active_scheduler.h"
#include "node/worker_clients.h"

namespace sumacquay {

/// Carries out what the leader decides: commands and probes go to workers, scale outs and ins to
/// the cloud. Called by the node after each tick of the scheduler.
///
/// Guarantees that the scheduler gets the outcome of every action, unless this node has stepped
/// down since; never from inside `perform`, but for a probe that found no client. A term in a
/// worker's answer is passed on before the outcome, and may make this node step down. With more
/// machines than connections for commands, a command waits for a connection; it is sent only while
/// this node leads.
class ActionExecutor {
 public:
  /// `most_workers`: connections to workers at once.
  ActionExecutor(asio::io_context& io, const Settings& settings, size_t most_workers,
                 HttpClient& cloud, LeaderElection& election, ActiveScheduler& scheduler);
  void perform(const Action& action);
  /// This node no longer leads: its connections to workers are closed.
  void stop();
  /// Commands that wait for a connection.
  size_t waiting_commands() const { return waiting_.size(); }

 private:
  /// Commands that wait for a connection to their worker.
  struct WaitingCommands {
    SendCommands batch;
    Seconds until = 0;  ///< then it is given up
  };
  void perform(const SendCommands& batch);
  void send(const SendCommands& batch, const std::shared_ptr<HttpClient>& client);
  void send_waiting();
  void give_up(const SendCommands& batch);
  Seconds command_deadline() const;
  void perform(const Probe& probe);
  void perform(const ScaleOut& rent);
  void perform(const ScaleIn& release);
  std::optional<WorkerHeartbeat> receive_heartbeat(const HttpResult& result);

  asio::io_context& io_;
  const Settings& settings_;
  HttpClient& cloud_;
  LeaderElection& election_;
  ActiveScheduler& scheduler_;
  WorkerClients workers_;
  std::deque<WaitingCommands>
      waiting_;  ///< one a machine at most: the scheduler sends one at a time
};

/// What the cloud's answer to a rent says. Without one it may still be carried out.
struct RentResult {
  Scheduler::ScaleOutOutcome outcome = Scheduler::ScaleOutOutcome::Unknown;
  std::vector<std::string> machines;
};
RentResult read_scale_out_answer(const HttpResult& result);

}  // namespace sumacquay
