// Heartbeats between controllers: the leader's identity, and lease delegation for partitioned
// zones.
#include "simulation/controller_process.h"

namespace sumacquay::simulation {

namespace {
/// Timeout of an answer, in heartbeat intervals.
constexpr double kAnswerTimeoutIntervals = 2;
}  // namespace

wire::PeerHeartbeat ControllerProcess::own_peer_heartbeat() const {
  wire::PeerHeartbeat heartbeat;
  heartbeat.node = node_name(controller_);
  heartbeat.term = election_->highest_term();
  heartbeat.leading = may_answer();
  heartbeat.delegation_status = delegated_responder_->status(env_.now());
  return heartbeat;
}

void ControllerProcess::send_peer_heartbeats() {
  for (size_t peer = 0; peer < env_.controllers.size(); ++peer)
    if (peer != controller_) send_peer_heartbeat(peer);
}

void ControllerProcess::send_peer_heartbeat(size_t peer) {
  Random& random = env_.random;
  Seconds delay = random.chance(0.02) ? random.between(0.1, 2) : random.between(0.001, 0.05);
  const Seconds partition_end = env_.network.peer_partition_end(controller_, peer);
  if (env_.now() < partition_end) {
    if (random.chance(0.5)) return;
    delay += partition_end - env_.now();  // delivered after the partition; must do no harm
  }
  Environment& env = env_;
  env.controllers.schedule_at(
      peer, delay,
      [&env, from = controller_, sender = weak_from_this(), heartbeat = own_peer_heartbeat(),
       sent_at = env.now()](ControllerProcess& receiver) {
        const wire::PeerHeartbeat answer = receiver.answer_peer_heartbeat(from, heartbeat);
        const size_t to = receiver.controller();
        if (env.now() < env.network.peer_partition_end(from, to)) return;
        const Seconds max_delay = env.random.chance(0.1) ? 2 : 0.1;
        env.controllers.schedule_in(from, sender, env.random.between(0.001, max_delay),
                                    [to, answer, sent_at](ControllerProcess& self) {
                                      self.on_peer_heartbeat_answered(to, answer, sent_at);
                                    });
      });
}

/// Delegations are sent in answers only, since their duration counts from the request.
wire::PeerHeartbeat ControllerProcess::answer_peer_heartbeat(size_t from,
                                                             const wire::PeerHeartbeat& heartbeat) {
  process_peer_heartbeat(heartbeat);
  wire::PeerHeartbeat answer = own_peer_heartbeat();
  const std::string& zone = env_.controllers[from].settings.zone;
  if (leads() && settings().delegate_reachable_within_lease(zone))
    answer.delegation = scheduler_->delegations().delegate(
        heartbeat.node, zone, election_->may_answer_until(), env_.now());
  return answer;
}

void ControllerProcess::on_peer_heartbeat_answered(size_t peer, const wire::PeerHeartbeat& answer,
                                                   Seconds sent_at) {
  if (env_.now() - sent_at > kAnswerTimeoutIntervals * settings().leader_renewal_interval_s())
    return;
  process_peer_heartbeat(answer);
  if (answer.delegation)
    delegated_responder_->on_delegation(*answer.delegation, sent_at, env_.now());
  if (!scheduler_ || answer.leading || answer.term < election_->term()) return;
  // The peer follows this term and no longer answers workers under an older one. Once all peers do,
  // no other controller can renew a worker lease.
  peer_terms_[peer] = answer.term;
  if (peer_terms_.size() + 1 == env_.controllers.size())
    scheduler_->on_previous_leader_fenced(env_.now());
}

void ControllerProcess::process_peer_heartbeat(const wire::PeerHeartbeat& heartbeat) {
  const auto peer = env_.controllers.index_of(heartbeat.node);
  const bool newer = !known_leader_ || heartbeat.term >= known_leader_->term;
  if (peer && heartbeat.leading && newer)
    known_leader_ = KnownLeader{*peer, heartbeat.term, env_.now()};
  election_->observe_term(env_.now(), heartbeat.term);
  if (scheduler_ && peer)
    scheduler_->delegations().on_status(heartbeat.node, env_.controllers[*peer].settings.zone,
                                        heartbeat.delegation_status, env_.now());
}

}  // namespace sumacquay::simulation
