#include "node/peer_heartbeat_exchange.h"

#include <algorithm>

#include "node/leader_hints_source.h"
#include "node/leads_now.h"
#include "node/steady_time.h"

namespace sumacquay {

PeerHeartbeatExchange::PeerHeartbeatExchange(const Settings& settings,
                                             const StateServiceHealth& state_service,
                                             LeaderElection& election, ActiveScheduler& scheduler,
                                             DelegatedResponder& delegated_responder)
    : settings_(settings),
      state_service_(state_service),
      election_(election),
      scheduler_(scheduler),
      delegated_responder_(delegated_responder) {}

PeerHeartbeats::Hooks PeerHeartbeatExchange::hooks() {
  PeerHeartbeats::Hooks hooks;
  hooks.build_heartbeat = [this](wire::PeerHeartbeatPart part) { return own_heartbeat(part); };
  hooks.build_answer = [this](const wire::PeerHeartbeat& from) { return answer(from); };
  hooks.on_answer = [this](const std::string& node, const wire::PeerHeartbeat& heartbeat,
                           auto sent_at) { on_answer(node, heartbeat, sent_at); };
  return hooks;
}

wire::PeerHeartbeat PeerHeartbeatExchange::own_heartbeat(wire::PeerHeartbeatPart part) const {
  const Seconds now = steady_now();
  wire::PeerHeartbeat heartbeat;
  heartbeat.node = settings_.node;
  heartbeat.term = election_.highest_term();
  heartbeat.leading = scheduler_ && election_.may_answer(now);
  heartbeat.store_reachable = state_service_.available();
  heartbeat.delegation_status = delegated_responder_.status(now);
  if (!heartbeat.leading) return heartbeat;
  heartbeat.part = part;
  if (part == wire::PeerHeartbeatPart::JobProgress) add_job_progress(*scheduler_, heartbeat);
  if (part == wire::PeerHeartbeatPart::SuccessorHints) add_hints(*scheduler_, now, heartbeat);
  return heartbeat;
}

/// Null if the settings contain no such peer.
const std::string* PeerHeartbeatExchange::zone_of(const std::string& node) const {
  const auto peer = std::ranges::find(settings_.peers, node, &PeerSettings::node);
  return peer == settings_.peers.end() ? nullptr : &peer->zone;
}

void PeerHeartbeatExchange::on_heartbeat(const wire::PeerHeartbeat& heartbeat) {
  const Seconds now = steady_now();
  election_.observe_term(now, heartbeat.term);
  const std::string* zone = zone_of(heartbeat.node);
  if (scheduler_ && zone)
    scheduler_->delegations().on_status(heartbeat.node, *zone, heartbeat.delegation_status, now);
}

/// Delegations are sent only in answers, because a delegate counts their validity from when it sent
/// its own heartbeat.
wire::PeerHeartbeat PeerHeartbeatExchange::answer(const wire::PeerHeartbeat& from) {
  on_heartbeat(from);
  wire::PeerHeartbeat answer = own_heartbeat(wire::PeerHeartbeatPart::StatusOnly);
  const std::string* zone = zone_of(from.node);
  if (leads_now(scheduler_, election_) && zone && settings_.delegate_reachable_within_lease(*zone))
    answer.delegation = scheduler_->delegations().delegate(
        from.node, *zone, election_.may_answer_until(), steady_now());
  return answer;
}

void PeerHeartbeatExchange::on_answer(const std::string& node, const wire::PeerHeartbeat& heartbeat,
                                      std::chrono::steady_clock::time_point sent_at) {
  on_heartbeat(heartbeat);
  if (heartbeat.delegation)
    delegated_responder_.on_delegation(*heartbeat.delegation, to_seconds(sent_at), steady_now());
  if (!scheduler_ || heartbeat.leading || heartbeat.term < election_.term()) return;
  // The peer has acknowledged this term and no longer answers workers under an older one. Once all
  // peers have, no other node can renew a worker's lease.
  acknowledged_terms_[node] = heartbeat.term;
  if (acknowledged_terms_.size() == settings_.peers.size())
    scheduler_->on_previous_leader_fenced(steady_now());
}

}  // namespace sumacquay
