#include "peer/peer_heartbeats.h"

#include <algorithm>

#include "config/socket_budget.h"
#include "logging/log_event.h"

namespace sumacquay {
namespace {
using Clock = std::chrono::steady_clock;
/// A received heartbeat counts as recent for this many periods.
constexpr double kRecentPeriods = 4;
/// Interval between heartbeats that carry job progress; the progress that users see may lag by 3 s.
constexpr double kJobProgressIntervalS = 2.4;
/// Job progress is sent this many times per transmission of the hints, which may be older.
constexpr int kJobProgressPerHints = 2;
/// Timeout of a heartbeat request, in periods.
constexpr double kTimeoutPeriods = 2;
constexpr size_t kBodyLimit = HttpLimits{}.max_body_bytes;

/// No heartbeats are sent to a peer while this many are in flight to it.
constexpr size_t kMaxHeartbeatsInFlight = 2;

double age_s(Clock::time_point time) {
  return std::chrono::duration<double>(Clock::now() - time).count();
}
}  // namespace

PeerHeartbeats::PeerHeartbeats(asio::io_context& io, const Settings& settings, double period_s,
                               Hooks hooks)
    : io_(io),
      settings_(settings),
      period_s_(period_s),
      hooks_(std::move(hooks)),
      timer_(io),
      periods_per_job_progress_(std::max(1, static_cast<int>(kJobProgressIntervalS / period_s))) {
  for (const auto& peer : settings.peers) {
    peers_[peer.node].last_heartbeat = Clock::now();
    clients_[peer.node] = std::make_unique<HttpClient>(
        io, peer.addr, fixed_sockets::kClientConnectionsPerPeer, kMaxPeerHeartbeatFragments);
  }
}

void PeerHeartbeats::start() {
  HttpLimits limits;
  limits.max_connections = fixed_sockets::kServerConnectionsPerPeer * settings_.peers.size() +
                           fixed_sockets::kSpareServerConnections;
  server_ = std::make_unique<HttpServer>(
      io_, settings_.peer_listen, limits,
      [this](const HttpRequest& request, const Respond& respond) { on_request(request, respond); });
  send_periodic_peer_heartbeats();
}

void PeerHeartbeats::on_request(const HttpRequest& request, const Respond& respond) {
  const auto heartbeat = request.path == wire::path::kPeerHeartbeat
                             ? wire::decode_peer_heartbeat(request.body)
                             : std::nullopt;
  if (!heartbeat) return respond({400, {}, 0});
  record_heartbeat(*heartbeat);
  respond({200, wire::encode_peer_heartbeat(hooks_.build_answer(*heartbeat)), 0});
}

void PeerHeartbeats::send_peer_heartbeats(wire::PeerHeartbeatPart part) {
  const wire::PeerHeartbeat own_heartbeat = hooks_.build_heartbeat(part);
  if (own_heartbeat.leading) leader_hints_.apply(own_heartbeat);
  const auto bodies =
      wire::encode_peer_heartbeat_fragments(own_heartbeat, ++last_batch_, kBodyLimit);
  for (auto& [node, client] : clients_) {
    if (client->in_progress() >= kMaxHeartbeatsInFlight) continue;
    for (const auto& body : bodies) send(*client, node, body);
  }
}

void PeerHeartbeats::send(HttpClient& client, const std::string& node, const std::string& body) {
  client.request("POST", wire::path::kPeerHeartbeat, body, period_s_ * kTimeoutPeriods,
                 [this, node, sent_at = Clock::now()](const HttpResult& result) {
                   const auto heartbeat =
                       result.ok() ? wire::decode_peer_heartbeat(result.body) : std::nullopt;
                   if (!heartbeat) return;
                   record_heartbeat(*heartbeat);
                   hooks_.on_answer(node, *heartbeat, sent_at);
                 });
}

/// Logs each peer once when it falls silent and once when its heartbeats resume.
void PeerHeartbeats::log_silent_peers() {
  for (auto& [node, peer] : peers_) {
    const bool silent = age_s(peer.last_heartbeat) > kRecentPeriods * period_s_;
    if (silent == peer.silent) continue;
    peer.silent = silent;
    log_info(silent ? "peer_silent" : "peer_heard", log_field("peer", node));
  }
}

void PeerHeartbeats::send_periodic_peer_heartbeats() {
  log_silent_peers();
  const int period = periods_++;
  send_peer_heartbeats(period % periods_per_job_progress_ == 0
                           ? wire::PeerHeartbeatPart::JobProgress
                           : wire::PeerHeartbeatPart::StatusOnly);
  if (period % (kJobProgressPerHints * periods_per_job_progress_) == 0)
    send_peer_heartbeats(wire::PeerHeartbeatPart::SuccessorHints);
  timer_.expires_after(std::chrono::microseconds(static_cast<long long>(period_s_ * 1e6)));
  timer_.async_wait([this](auto error) {
    if (!error) send_periodic_peer_heartbeats();
  });
}

void PeerHeartbeats::record_heartbeat(const wire::PeerHeartbeat& heartbeat) {
  const auto peer = peers_.find(heartbeat.node);
  if (peer != peers_.end()) peer->second.last_heartbeat = Clock::now();
  if (heartbeat.store_reachable) store_reachable_reported_at_ = Clock::now();
  if (!heartbeat.leading || heartbeat.term < leader_term_) return;
  leader_ = heartbeat.node;
  leader_term_ = heartbeat.term;
  leader_heartbeat_at_ = Clock::now();
  leader_hints_.apply(heartbeat);
}

std::string PeerHeartbeats::leader() const {
  return age_s(leader_heartbeat_at_) < kRecentPeriods * period_s_ ? leader_ : std::string();
}

bool PeerHeartbeats::store_reachable_by_any_peer() const {
  return age_s(store_reachable_reported_at_) < kRecentPeriods * period_s_;
}

}  // namespace sumacquay
