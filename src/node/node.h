#pragma once
#include <asio.hpp>
#include <map>
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
#include "node/record_writer.h"
#include "node/steady_time.h"
#include "peer/peer_heartbeats.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"
#include "wire/messages.h"

namespace sumacquay {

/// One controller: connects the parts with one another, and answers workers, users and peers.
/// Made and started by main(); everything runs on the one thread of `io`.
class Node {
 public:
  Node(asio::io_context& io, const Settings& settings);
  void start();

 private:
  double random();
  void tick();
  void request_tick();
  void schedule_tick(Seconds delay);
  Seconds time_to_next_tick() const;
  void tick_scheduler();
  void on_committed();
  std::optional<std::string> reason_to_resign() const;
  // requests
  void on_request(const HttpRequest& request, const Respond& respond);
  void on_worker_heartbeat(const HttpRequest& request, const Respond& respond);
  void answer_as_follower(const WorkerHeartbeat& heartbeat, const Respond& respond);
  std::string leader_to_redirect_to() const;
  bool ready() const;
  bool served() const;
  bool may_answer_as_delegate(const WorkerHeartbeat& heartbeat) const;
  // leadership
  void on_election_state_changed(LeaderElection::State from, LeaderElection::State to);
  void start_leading();
  void stop_leading();
  std::unique_ptr<Scheduler> create_scheduler() const;
  bool leads_now() const { return scheduler_ && election_.may_act(steady_now()); }
  // records
  void on_job_record(const std::string& id);
  void on_all_job_records();
  void report_finished_dependencies(Scheduler& scheduler) const;
  // heartbeats
  PeerHeartbeats::Hooks peer_hooks();
  wire::PeerHeartbeat own_peer_heartbeat(wire::PeerHeartbeatPart part) const;
  wire::PeerHeartbeat answer_peer_heartbeat(const wire::PeerHeartbeat& from);
  void on_peer_heartbeat(const wire::PeerHeartbeat& heartbeat);
  void on_peer_heartbeat_answer(const std::string& node, const wire::PeerHeartbeat& heartbeat,
                                std::chrono::steady_clock::time_point asked_at);
  const std::string* zone_of(const std::string& node) const;

  asio::io_context& io_;
  const Settings& settings_;
  std::mt19937_64 rng_;
  uint64_t process_;  ///< tells this process of the node from earlier ones
  SocketBudget sockets_;
  KeyValueStoreClient store_;
  RecordCache record_cache_;
  ElectionDriver election_driver_;
  LeaderElection& election_;
  ActiveScheduler scheduler_;
  HttpClient cloud_;
  MachineTypesPoller machine_types_;
  MachineListPoller machine_list_;
  ActionExecutor executor_;
  RecordWriter record_writer_;
  DelegatedResponder delegated_responder_;
  PeerHeartbeats peer_heartbeats_;
  Frontend frontend_;
  OutageLog outage_log_;
  ConnectionLog connection_log_;
  std::unique_ptr<HttpServer> server_;
  asio::steady_timer tick_timer_;
  bool tick_requested_ = false;  ///< since the last tick began
  Seconds next_scheduler_tick_ = 0;
  std::map<std::string, uint64_t> peer_terms_;  ///< of peers that follow this node's term
};

}  // namespace sumacquay
