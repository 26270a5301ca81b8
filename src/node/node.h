#pragma once
#include <asio.hpp>
#include <map>
#include <memory>
#include <random>

#include "config/settings.h"
#include "dispatch/leader_core.h"
#include "frontend/frontend.h"
#include "leadership/delegation.h"
#include "leadership/leadership.h"
#include "net/http.h"
#include "peer/peers.h"
#include "store/mirror.h"
#include "store/store_client.h"
#include "wire/messages.h"

namespace sumacquay {

/// One controller: wires the parts together and carries out what the leader decides.
class Node {
 public:
  Node(asio::io_context& io, const Settings& settings);
  void start();

 private:
  Seconds now() const;
  double random();
  void tick();
  void tick_core();
  void log_troubles();
  void keep_records_known();
  void resign_if_unheard();
  // requests
  void on_request(const HttpRequest& request, Respond respond);
  void on_report(const HttpRequest& request, const Respond& respond);
  bool ready() const;
  bool served() const;
  // leadership
  Leadership::Effects leadership_effects();
  void elect(Leadership::Campaign campaign, uint64_t lease);
  void take_office(Leadership::Campaign campaign, uint64_t term, Seconds end);
  void on_leadership(Leadership::State from, Leadership::State to);
  void on_leader_record();
  void on_job_record(const std::string& id);
  bool may_be_delegate(const WorkerReport& report) const;
  const std::string* zone_of(const std::string& node) const;
  void hear(const wire::Heartbeat& heartbeat);
  wire::Heartbeat answer_heartbeat(const wire::Heartbeat& from);
  void on_heartbeat_answer(const std::string& node, const wire::Heartbeat& heartbeat,
                           std::chrono::steady_clock::time_point asked_at);
  wire::Heartbeat own_heartbeat(wire::HeartbeatPart part);
  void add_counts(wire::Heartbeat& p) const;
  void add_hints(wire::Heartbeat& p) const;
  // the leader's hands
  void perform(const Action& action);
  void perform(const SendOrders& order);
  void perform(const Probe& probe);
  void perform(const Rent& rent);
  void perform(const Release& release);
  void write_records();
  void records_written(const std::vector<RecordWrite>& writes, const TxnResult& result);
  void list_machines();
  void list_page(uint64_t generation, const std::string& after,
                 std::shared_ptr<std::vector<ListedMachine>> so_far);
  void load_types();
  bool leads_now() const { return core_ && leadership_.may_act(now()); }

  asio::io_context& io_;
  const Settings& settings_;
  std::mt19937_64 rng_;
  uint64_t nonce_;
  StoreClient store_;
  Mirror mirror_;
  Leadership leadership_;
  HttpClient cloud_;
  Delegate delegate_;
  Peers peers_;
  Frontend frontend_;
  std::unique_ptr<HttpServer> server_;
  asio::steady_timer tick_timer_, types_timer_, list_timer_;
  std::vector<MachineType> types_;
  std::unique_ptr<LeaderCore> core_;
  uint64_t core_generation_ = 0;
  Seconds next_core_tick_ = 0, ticked_ = 0;
  struct WorkerClient {
    std::shared_ptr<HttpClient> client;
    Seconds used = 0;
  };
  std::shared_ptr<HttpClient> worker_client(const std::string& addr);
  std::map<std::string, WorkerClient> workers_;  ///< by address
  std::map<std::string, uint64_t> peer_terms_;
  bool writing_ = false, revoked_ = false, reading_ = false, state_served_ = true;
};

}  // namespace sumacquay
