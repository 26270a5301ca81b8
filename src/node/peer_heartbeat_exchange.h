#pragma once
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "config/settings.h"
#include "leadership/leader_election.h"
#include "leadership/lease_delegation.h"
#include "node/active_scheduler.h"
#include "node/state_service_health.h"
#include "peer/peer_heartbeats.h"
#include "wire/peer_heartbeat.h"

namespace sumacquay {

/// Builds this node's peer heartbeats and handles those of peers: observes terms, exchanges lease
/// delegations, and detects when all peers have acknowledged this node's term, after which no
/// previous leader can answer a worker. Called through its `hooks` by `PeerHeartbeats`, which does
/// the I/O and determines when heartbeats are sent.
///
/// Owns the terms that peers have acknowledged.
class PeerHeartbeatExchange {
 public:
  PeerHeartbeatExchange(const Settings& settings, const StateServiceHealth& state_service,
                        LeaderElection& election, ActiveScheduler& scheduler,
                        DelegatedResponder& delegated_responder);

  /// The hooks refer to this object, which must outlive the `PeerHeartbeats` that calls them.
  PeerHeartbeats::Hooks hooks();
  /// Discards the acknowledgements of earlier terms, when this node begins to lead.
  void start_term() { acknowledged_terms_.clear(); }

 private:
  wire::PeerHeartbeat own_heartbeat(wire::PeerHeartbeatPart part) const;
  wire::PeerHeartbeat answer(const wire::PeerHeartbeat& from);
  void on_heartbeat(const wire::PeerHeartbeat& heartbeat);
  void on_answer(const std::string& node, const wire::PeerHeartbeat& heartbeat,
                 std::chrono::steady_clock::time_point sent_at);
  const std::string* zone_of(const std::string& node) const;

  const Settings& settings_;
  const StateServiceHealth& state_service_;
  LeaderElection& election_;
  ActiveScheduler& scheduler_;
  DelegatedResponder& delegated_responder_;
  std::map<std::string, uint64_t> acknowledged_terms_;  ///< by peer
};

}  // namespace sumacquay
