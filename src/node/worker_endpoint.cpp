#include "node/worker_endpoint.h"

#include "node/steady_time.h"
#include "wire/messages.h"
#include "wire/worker_message_size.h"

namespace sumacquay {

WorkerEndpoint::WorkerEndpoint(const Settings& settings, const KeyValueStoreClient& store,
                               const RecordCache& record_cache, LeaderElection& election,
                               ActiveScheduler& scheduler, const PeerHeartbeats& peer_heartbeats,
                               DelegatedResponder& delegated_responder)
    : settings_(settings),
      store_(store),
      record_cache_(record_cache),
      election_(election),
      scheduler_(scheduler),
      peer_heartbeats_(peer_heartbeats),
      delegated_responder_(delegated_responder) {}

void WorkerEndpoint::on_worker_heartbeat(const HttpRequest& request, const Respond& respond) {
  const auto heartbeat = wire::parse_worker_heartbeat(request.body);
  if (!heartbeat) return respond({400, wire::error_body("not a report"), 0});
  election_.observe_term(steady_now(), term_of_fencing_token(heartbeat->fencing_token));
  if (!scheduler_ || !election_.may_answer(steady_now()))
    return answer_as_follower(*heartbeat, respond);
  answer_as_leader(*heartbeat, respond);
}

void WorkerEndpoint::answer_as_leader(const WorkerHeartbeat& heartbeat, const Respond& respond) {
  const Seconds now = steady_now();
  const auto answer = scheduler_->on_heartbeat(heartbeat, election_.may_act(now), now);
  if (!answer.accepted) return respond({503, {}, 0});
  respond({200, wire::heartbeat_response_body(answer.fencing_token, answer.commands), 0});
}

/// Answers on behalf of the leader if this node may, and redirects to the leader otherwise.
void WorkerEndpoint::answer_as_follower(const WorkerHeartbeat& heartbeat, const Respond& respond) {
  if (may_answer_as_delegate(heartbeat)) {
    const auto stop_commands = delegated_responder_.answer(
        heartbeat, election_.highest_term(), to_seconds(record_cache_.fresh_as_of()),
        [this](const std::string& id) { return record_cache_.job_ended(id); }, steady_now());
    if (stop_commands && wire::fit_in_message(*stop_commands))
      return respond(
          {200, wire::heartbeat_response_body(heartbeat.fencing_token, *stop_commands), 0});
  }
  respond({421, wire::redirect_body(leader_to_redirect_to()), 0});
}

/// The node to redirect to; empty if no other node is known to lead.
std::string WorkerEndpoint::leader_to_redirect_to() const {
  const auto& record = record_cache_.leader().value;
  const bool record_newer = record.term > peer_heartbeats_.leader_term();
  const std::string leader = record_newer ? record.node : peer_heartbeats_.leader();
  return leader == settings_.node ? std::string() : leader;
}

/// Whether this node may answer as a delegate. A partitioned zone loses both the leader and the
/// state service. While this node still reaches either of them, workers may find another leader and
/// are redirected; DelegatedResponder checks whether the leader is silent.
bool WorkerEndpoint::may_answer_as_delegate(const WorkerHeartbeat& heartbeat) const {
  const Seconds available_at = to_seconds(store_.last_available_at());
  return election_.state() == LeaderElection::State::Follower && heartbeat.zone == settings_.zone &&
         steady_now() - available_at > settings_.delegate_takeover_s();
}

}  // namespace sumacquay
