#include "node/node.h"

#include <algorithm>

#include "logging/log_event.h"
#include "node/steady_time.h"
#include "node/wall_clock.h"
#include "wire/messages.h"

namespace sumacquay {
namespace {

/// Minimum interval between two ticks of the node, as a fraction of the placement round.
constexpr double kTickRoundFraction = 0.25;
/// How long a connection of a worker may be idle, in heartbeat periods.
constexpr double kIdleTimeoutHeartbeatPeriods = 60;

/// Idle time after which a connection may be closed in favour of a new one, in heartbeat periods. A
/// live worker sends its next heartbeat earlier, even if one is lost.
constexpr double kStaleTimeoutHeartbeatPeriods = 2.5;

/// Maximum number of requests to the cloud that wait for a connection.
constexpr size_t kMaxQueuedCloudRequests = 32;

}  // namespace

Node::Node(asio::io_context& io, const Settings& settings)
    : io_(io),
      settings_(settings),
      rng_(std::random_device{}()),
      incarnation_(rng_() >> 1),
      sockets_(socket_budget(settings)),
      store_(io, settings),
      state_service_(settings, store_),
      record_cache_(io, settings, store_),
      election_driver_(io, settings, incarnation_, store_, record_cache_,
                       [this](LeaderElection::State from, LeaderElection::State to) {
                         on_election_state_changed(from, to);
                       }),
      election_(election_driver_.election()),
      scheduler_feed_(settings, record_cache_, scheduler_),
      cloud_(io, settings.cloud, fixed_sockets::kCloudConnections, kMaxQueuedCloudRequests),
      machine_types_(
          io, settings, cloud_, [this] { return random_jitter(); },
          [this] {
            if (scheduler_) scheduler_->set_machine_types(machine_types_.types());
          }),
      machine_list_(io, settings, cloud_, scheduler_),
      executor_(io, settings, sockets_.worker_commands, cloud_, election_, scheduler_),
      record_writer_(settings, store_, record_cache_, scheduler_,
                     [this] { asio::post(io_, [this] { scheduler_driver_.on_committed(); }); }),
      scheduler_driver_(settings, election_, scheduler_, executor_, record_writer_),
      delegated_responder_(incarnation_, settings.delegate_takeover_s(), settings.answer_grace_s()),
      peer_exchange_(settings, state_service_, election_, scheduler_, delegated_responder_),
      peer_heartbeats_(io, settings, settings.leader_renewal_interval_s(), peer_exchange_.hooks()),
      worker_endpoint_(settings, store_, record_cache_, election_, scheduler_, peer_heartbeats_,
                       delegated_responder_),
      frontend_(settings, sockets_.max_user_requests, store_, record_cache_,
                {[this]() -> const std::vector<MachineType>& { return machine_types_.types(); },
                 [this](const std::string& id) {
                   return peer_heartbeats_.leader_hints().job_progress(id);
                 },
                 unix_time_ms}),
      outage_log_(settings.lease_s),
      connection_log_(settings.lease_s),
      oversized_request_log_(settings.lease_s),
      tick_timer_(io) {}

void Node::start() {
  if (const auto warning = low_socket_warning(settings_))
    log_warning("few_sockets", log_field("reason", *warning));
  listen();
  record_cache_.set_listener({[this](const std::string& id) { scheduler_feed_.on_job_record(id); },
                              [this] {
                                election_driver_.on_leader_record();
                                request_tick();
                              }});
  record_cache_.start();
  peer_heartbeats_.start();
  machine_types_.start();
  tick();
}

void Node::listen() {
  HttpLimits limits;
  limits.max_connections = sockets_.served_and_refused;
  limits.reserved_refusal_connections = sockets_.reserved_refusal_connections;
  limits.max_kept_alive = sockets_.max_kept_alive;
  limits.idle_timeout_s = kIdleTimeoutHeartbeatPeriods * settings_.heartbeat_period_s;
  limits.stale_after_s = kStaleTimeoutHeartbeatPeriods * settings_.heartbeat_period_s;
  server_ = std::make_unique<HttpServer>(
      io_, settings_.listen, limits,
      [this](const HttpRequest& request, const Respond& respond) { on_request(request, respond); });
}

/// Random number from 0 to 1; keeps nodes from acting at the same time.
double Node::random_jitter() {
  return std::uniform_real_distribution<double>(0, 1)(rng_);
}

// ---------------------------------------------------------------- ticks

void Node::tick() {
  tick_requested_ = false;
  outage_log_.observe(steady_now(), state_service_.available());
  connection_log_.observe(steady_now(), server_->counts());
  oversized_request_log_.observe(steady_now(), server_->oversized_requests());
  election_driver_.tick(random_jitter());
  if (const auto reason = scheduler_driver_.reason_to_resign()) {
    log_info("leader_resigned", log_field("reason", name(*reason)),
             log_field("term", election_.term()));
    election_driver_.resign();
  }
  scheduler_driver_.tick();
  schedule_tick(tick_requested_ ? 0 : time_to_next_tick());
}

/// Schedules a tick immediately, because of a change that cannot wait for the next regular tick.
void Node::request_tick() {
  tick_requested_ = true;
  schedule_tick(0);
}

void Node::schedule_tick(Seconds delay) {
  tick_timer_.expires_after(to_microseconds(delay));
  tick_timer_.async_wait([this](auto error) {
    if (!error) tick();
  });
}

/// A leader ticks at the minimum interval to supervise its workers. Any other node sleeps until its
/// election has work to do, but no longer than a renewal period.
Seconds Node::time_to_next_tick() const {
  const Seconds min_interval =
      settings_.heartbeat_period_s * settings_.tuning.round * kTickRoundFraction;
  if (scheduler_) return min_interval;
  return std::clamp(election_driver_.due_at() - steady_now(), min_interval,
                    std::max(min_interval, settings_.leader_renewal_interval_s()));
}

// ---------------------------------------------------------------- requests

void Node::on_request(const HttpRequest& request, const Respond& respond) {
  if (request.path == wire::path::kWorkerHeartbeat && request.method == "POST")
    return worker_endpoint_.on_worker_heartbeat(request, respond);
  if (request.path == wire::path::kReady)
    return respond({ready() ? 200 : 503, wire::error_body(ready() ? "" : "not ready"), 0});
  if (!frontend_.handle(request, respond)) respond({404, wire::error_body("no such path"), 0});
}

bool Node::ready() const {
  // If the state service is unavailable to all nodes, no other node could serve users better, so
  // this node stays ready.
  return record_cache_.loaded() && !machine_types_.types().empty() &&
         (state_service_.available() || !peer_heartbeats_.store_reachable_by_any_peer());
}

// ---------------------------------------------------------------- leadership

void Node::on_election_state_changed(LeaderElection::State from, LeaderElection::State to) {
  log_info("election_state_changed", log_field("from", name(from)), log_field("to", name(to)),
           log_field("term", election_.term()));
  request_tick();
  if (to == LeaderElection::State::Follower) return stop_leading();
  if (to == LeaderElection::State::Leading && from != LeaderElection::State::LeaseExpired)
    start_leading();
}

void Node::stop_leading() {
  // Posted, because this may be running within a call of the scheduler, which must not be destroyed
  // during the call.
  asio::post(io_, [this, ended = scheduler_.end()] { scheduler_.release(ended); });
  machine_list_.stop();
  executor_.stop();
}

void Node::start_leading() {
  record_writer_.reset();
  peer_exchange_.start_term();
  scheduler_.begin(scheduler_feed_.create_scheduler(election_.term(), machine_types_.types(),
                                                    peer_heartbeats_.leader_hints()));
  log_info("failover_started", log_field("jobs", record_cache_.live_jobs().size()),
           log_field("machines", record_cache_.hosts().size()),
           log_field("term", election_.term()));
  if (settings_.peers.empty()) scheduler_->on_previous_leader_fenced(steady_now());
  peer_heartbeats_.send_peer_heartbeats(wire::PeerHeartbeatPart::StatusOnly);
  machine_list_.start();
  asio::post(io_, [this] { scheduler_driver_.tick(); });
}

}  // namespace sumacquay
