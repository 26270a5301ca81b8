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

/// Executes the scheduler's actions: sends commands and probes to workers, and requests to scale
/// out and in to the cloud. Called by SchedulerDriver after each tick of the scheduler. Owns the
/// clients for workers and the queue of commands.
///
/// The outcome of every action is reported to the scheduler, unless this node has stepped down in
/// the meantime. It is never reported from within `perform`, except for a probe for which no client
/// is available. The term in a worker's answer is reported to the election first, which may make
/// this node step down. If all connections to workers are busy, commands are queued; they are sent
/// only while this node may act as leader.
class ActionExecutor {
 public:
  /// `max_worker_connections`: maximum number of connections to workers.
  ActionExecutor(asio::io_context& io, const Settings& settings, size_t max_worker_connections,
                 HttpClient& cloud, LeaderElection& election, ActiveScheduler& scheduler);
  /// Starts one action of the active scheduler.
  void perform(const Action& action);
  /// Drops queued commands and releases the connections to workers, when this node stops leading.
  void stop();
  /// Number of queued batches of commands.
  size_t queued_commands() const { return queued_.size(); }

 private:
  /// Commands that wait for a connection to their worker to become available.
  struct QueuedCommands {
    SendCommands batch;
    Seconds deadline = 0;  ///< dropped if not sent by then
  };
  void perform(const SendCommands& batch);
  void send(const SendCommands& batch, const std::shared_ptr<HttpClient>& client);
  void send_queued();
  void report_unknown_outcome(const SendCommands& batch);
  Seconds command_timeout() const;
  void perform(const Probe& probe);
  void perform(const ScaleOut& scale_out);
  void perform(const ScaleIn& scale_in);
  std::optional<WorkerHeartbeat> receive_heartbeat(const HttpResult& result);

  asio::io_context& io_;
  const Settings& settings_;
  HttpClient& cloud_;
  LeaderElection& election_;
  ActiveScheduler& scheduler_;
  WorkerClients workers_;
  std::deque<QueuedCommands>
      queued_;  ///< at most one per machine: the scheduler sends one at a time
};

/// The cloud's answer to a scale-out request. Without an answer the outcome is unknown: the request
/// may still be executed.
struct ScaleOutResult {
  Scheduler::ScaleOutOutcome outcome = Scheduler::ScaleOutOutcome::Unknown;
  std::vector<std::string> machines;
};
/// Parses the cloud's answer to a scale-out request.
ScaleOutResult read_scale_out_answer(const HttpResult& result);

}  // namespace sumacquay
