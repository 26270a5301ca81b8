#pragma once
#include <asio.hpp>
#include <memory>
#include <random>

#include "config/settings.h"
#include "config/socket_budget.h"
#include "frontend/frontend.h"
#include "leadership/lease_delegation.h"
#include "net/http.h"
#include "node/action_executor.h"
#include "node/active_scheduler.h"
#include "node/connection_log.h"
#include "node/election_driver.h"
#include "node/machine_list_poller.h"
#include "node/machine_types_poller.h"
#include "node/outage_log.h"
#include "node/oversized_request_log.h"
#include "node/peer_heartbeat_exchange.h"
#include "node/record_writer.h"
#include "node/scheduler_driver.h"
#include "node/scheduler_feed.h"
#include "node/state_service_health.h"
#include "node/worker_endpoint.h"
#include "peer/peer_heartbeats.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"

namespace sumacquay {

/// One controller: owns and connects all components, ticks them, routes requests to them, and
/// starts and stops the ones that run only while this node leads. Created and started by main();
/// everything runs on the single thread of `io`. The node determines when a component acts, and
/// makes no scheduling decisions.
class Node {
 public:
  /// `settings` must outlive the node.
  Node(asio::io_context& io, const Settings& settings);
  /// Starts the servers, the reading of the records and the ticks. Throws if an address cannot be
  /// bound.
  void start();

 private:
  double random_jitter();
  void tick();
  void request_tick();
  void schedule_tick(Seconds delay);
  Seconds time_to_next_tick() const;
  void on_request(const HttpRequest& request, const Respond& respond);
  bool ready() const;
  void on_election_state_changed(LeaderElection::State from, LeaderElection::State to);
  void start_leading();
  void stop_leading();
  void listen();

  asio::io_context& io_;
  const Settings& settings_;
  std::mt19937_64 rng_;
  uint64_t incarnation_;  ///< distinguishes this process from earlier ones of the node
  SocketBudget sockets_;
  KeyValueStoreClient store_;
  StateServiceHealth state_service_;
  RecordCache record_cache_;
  ElectionDriver election_driver_;
  LeaderElection& election_;
  ActiveScheduler scheduler_;
  SchedulerFeed scheduler_feed_;
  HttpClient cloud_;
  MachineTypesPoller machine_types_;
  MachineListPoller machine_list_;
  ActionExecutor executor_;
  RecordWriter record_writer_;
  SchedulerDriver scheduler_driver_;
  DelegatedResponder delegated_responder_;
  PeerHeartbeatExchange peer_exchange_;
  PeerHeartbeats peer_heartbeats_;
  WorkerEndpoint worker_endpoint_;
  Frontend frontend_;
  OutageLog outage_log_;
  ConnectionLog connection_log_;
  OversizedRequestLog oversized_request_log_;
  std::unique_ptr<HttpServer> server_;
  asio::steady_timer tick_timer_;
  bool tick_requested_ = false;  ///< since the start of the last tick
};

}  // namespace sumacquay
