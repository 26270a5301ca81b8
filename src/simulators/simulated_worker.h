#pragma once
#include <asio.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "config/settings.h"
#include "net/http.h"
#include "net/http_client.h"
#include "simulators/rule_checker.h"
#include "simulators/submitted_jobs.h"
#include "simulators/worker_state.h"

namespace sumacquay::simulators {

/// Protocol intervals and timeouts of a worker.
struct WorkerTiming {
  Seconds heartbeat_period_s = 4;
  Seconds lease_s = 22;
  Seconds fetch_s = 0.5;     ///< mean time to fetch a task's image
  Seconds gang_wait_s = 30;  ///< timeout of a task that waits for the rest of its gang
  Seconds gang_peer_s = 5;   ///< delay before the other tasks of a gang exit when one is lost
};

/// Message counters of all workers since the start.
struct WorkerCounts {
  uint64_t heartbeats = 0;               ///< sent
  uint64_t heartbeats_answered = 0;      ///< with a 200 that renewed the lease
  uint64_t redirects = 0;                ///< responses with status 421
  uint64_t worker_commands = 0;          ///< command requests received
  uint64_t bytes_out = 0, bytes_in = 0;  ///< bodies and estimated headers
  uint64_t leases_lost = 0;              ///< leases that expired
};

/// State and callbacks shared by all simulated workers.
struct WorkerContext {
  asio::io_context& io;
  std::vector<std::string> controller_names;
  std::vector<Endpoint> controllers;
  WorkerTiming timing;
  SubmittedJobs& jobs;
  RuleChecker& checker;
  WorkerCounts counts;
  std::mt19937_64 random;
  /// Called when a task starts to run.
  std::function<void(const std::string& job)> task_running;
  /// Called when a task of a gang has fetched its image and waits for the rest of the gang.
  std::function<void(const std::string& machine, const TaskKey& key, uint64_t attempt)>
      gang_task_ready;
  /// Called when a task has exited without success or its worker's lease has expired.
  std::function<void(const TaskKey& key, uint64_t attempt)> gang_task_lost;
};

/// A worker that speaks the full protocol but executes no workload: it has the connections,
/// heartbeats, lease and task states of a real worker, and its tasks are timers. Thousands of them
/// share one thread.
class SimulatedWorker {
 public:
  SimulatedWorker(WorkerContext& context, WorkerState state, const Endpoint& listen);
  SimulatedWorker(const SimulatedWorker&) = delete;
  ~SimulatedWorker();

  /// Schedules the first heartbeat at a random time within one heartbeat period.
  void start();
  /// Partitions the worker from all controllers, or ends the partition.
  void set_partitioned(bool partitioned);
  const WorkerState& state() const { return state_; }

  /// Starts a waiting task of a gang once all tasks of the attempt have fetched their images.
  void start_gang_task(const TaskKey& key, uint64_t attempt, Seconds run_s);
  /// Ends a task of a gang because another task of the attempt was lost.
  void end_gang_task(const TaskKey& key, uint64_t attempt, ExitCause cause);

 private:
  void schedule_wake_up();
  void on_wake_up();
  void advance_tasks(Seconds now);
  void advance_task(const TaskAttemptId& id, WorkerTask& task, Seconds now);
  void set_running(const TaskAttemptId& id, WorkerTask& task, Seconds run_s, Seconds now);
  void set_exited(const TaskAttemptId& id, WorkerTask& task, ExitCause cause);
  void end_agent_epoch_if_expired(Seconds now);
  void expedite_heartbeat(Seconds now);
  void advance_fencing_token(uint64_t seen, Seconds now);
  void send_heartbeat(Seconds now);
  void on_heartbeat_response(const HttpResult& result, Seconds sent_at, uint64_t agent_epoch);
  void on_leader_response(const std::string& body, Seconds sent_at, Seconds now);
  void switch_controller(const std::string& controller, Seconds now);
  void switch_to_next_controller(Seconds now);
  void on_commands(const HttpRequest& request, const Respond& respond);
  void execute(const std::vector<Command>& commands, Seconds now);
  void start_task(const Command& command, Seconds now);
  Seconds random_between(Seconds low, Seconds high);

  WorkerContext& context_;
  WorkerState state_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpClient> client_;
  asio::steady_timer timer_;
  size_t controller_index_ = 0;
  bool partitioned_ = false;
  bool heartbeat_in_flight_ = false;
  Seconds next_heartbeat_ = 0;
  Seconds last_heartbeat_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sumacquay::simulators
