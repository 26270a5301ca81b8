#pragma once
#include <string>

#include "config/settings.h"
#include "leadership/leader_election.h"
#include "leadership/lease_delegation.h"
#include "net/http.h"
#include "node/active_scheduler.h"
#include "peer/peer_heartbeats.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"

namespace sumacquay {

/// Answers workers' heartbeats: as the leader, as a delegated responder in a partitioned zone, or
/// as a follower that redirects to the leader. Called by the node for each request.
///
/// Owns nothing; everything it refers to belongs to the node and outlives it. It keeps no
/// leadership state and checks the election for each request.
class WorkerEndpoint {
 public:
  WorkerEndpoint(const Settings& settings, const KeyValueStoreClient& store,
                 const RecordCache& record_cache, LeaderElection& election,
                 ActiveScheduler& scheduler, const PeerHeartbeats& peer_heartbeats,
                 DelegatedResponder& delegated_responder);

  /// Responds with 200 and commands, 400 if the body is not a heartbeat, 421 and the leader's name
  /// if this node may not answer, or 503 if the heartbeat is stale.
  void on_worker_heartbeat(const HttpRequest& request, const Respond& respond);

 private:
  void answer_as_leader(const WorkerHeartbeat& heartbeat, const Respond& respond);
  void answer_as_follower(const WorkerHeartbeat& heartbeat, const Respond& respond);
  std::string leader_to_redirect_to() const;
  bool may_answer_as_delegate(const WorkerHeartbeat& heartbeat) const;

  const Settings& settings_;
  const KeyValueStoreClient& store_;
  const RecordCache& record_cache_;
  LeaderElection& election_;
  ActiveScheduler& scheduler_;
  const PeerHeartbeats& peer_heartbeats_;
  DelegatedResponder& delegated_responder_;
};

}  // namespace sumacquay
