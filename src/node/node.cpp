#include "node/node.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "node/leader_hints_source.h"
#include "node/steady_time.h"

namespace sumacquay {
namespace {

/// The pause between two ticks of the node / the placement round.
constexpr double kTickRoundShare = 0.25;
/// The pause after a tick of the scheduler / what the tick took: renewals, reports and users need
/// it.
constexpr double kPausePerTickDuration = 3;
/// For how long an answer of the state service shows that it serves this node / the workers' lease.
constexpr double kServedLeaseShare = 0.3;
/// How long a worker's connection may be idle / the heartbeat period.
constexpr double kIdleHeartbeats = 60;

/// After how long a connection that nobody uses gives way to a worker that reports / the heartbeat
/// period: a worker that is there reports sooner, also if a heartbeat of it is lost.
constexpr double kStaleHeartbeats = 2.5;

constexpr size_t kCloudQueued = 32;

uint64_t time_of_day_ms() {
  const auto t = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(t).count());
}

}  // namespace

Node::Node(asio::io_context& io, const Settings& settings)
    : io_(io),
      settings_(settings),
      rng_(std::random_device{}()),
      process_(rng_() >> 1),
      sockets_(socket_budget(settings)),
      store_(io, settings),
      record_cache_(io, settings, store_),
      election_driver_(io, settings, process_, store_, record_cache_,
                       [this](LeaderElection::State from, LeaderElection::State to) {
                         on_election_state_changed(from, to);
                       }),
      election_(election_driver_.election()),
      cloud_(io, settings.cloud, fixed_sockets::kCloudConnections, kCloudQueued),
      machine_types_(
          io, settings, cloud_, [this] { return random(); },
          [this] {
            if (scheduler_) scheduler_->set_machine_types(machine_types_.types());
          }),
      machine_list_(io, settings, cloud_, scheduler_),
      executor_(io, settings, sockets_.worker_commands, cloud_, election_, scheduler_),
      record_writer_(settings, store_, record_cache_, scheduler_,
                     [this] { asio::post(io_, [this] { on_committed(); }); }),
      delegated_responder_(process_, settings.delegation_after_s(), settings.answers_s()),
      peer_heartbeats_(io, settings, settings.renew_s(), peer_hooks()),
      frontend_(
          settings, sockets_.users_in_progress, store_, record_cache_,
          {[this]() -> const std::vector<MachineType>& { return machine_types_.types(); },
           [this](const std::string& id) { return peer_heartbeats_.leader_hints().counts(id); },
           time_of_day_ms}),
      outage_log_(settings.lease_s),
      connection_log_(settings.lease_s),
      tick_timer_(io) {}

void Node::start() {
  if (const auto cost = cost_of_few_sockets(settings_)) spdlog::warn(*cost);
  HttpLimits limits;
  limits.connections = sockets_.served_and_refused;
  limits.refusals = sockets_.refusals;
  limits.kept_open = sockets_.kept_open;
  limits.idle_s = kIdleHeartbeats * settings_.heartbeat_period_s;
  limits.stale_s = kStaleHeartbeats * settings_.heartbeat_period_s;
  server_ = std::make_unique<HttpServer>(
      io_, settings_.listen, limits,
      [this](const HttpRequest& request, const Respond& respond) { on_request(request, respond); });
  record_cache_.set_listener({[this](const std::string& id) { on_job_record(id); },
                              [this] {
                                election_driver_.on_leader_record();
                                request_tick();
                              }});
  record_cache_.start();
  peer_heartbeats_.start();
  machine_types_.start();
  tick();
}

double Node::random() {
  return std::uniform_real_distribution<double>(0, 1)(rng_);
}

void Node::tick() {
  tick_requested_ = false;
  outage_log_.observe(steady_now(), served());
  connection_log_.observe(steady_now(), server_->counts());
  election_driver_.tick(random());
  if (const auto reason = reason_to_resign()) {
    spdlog::info("{}: leaves the lead to another node", *reason);
    election_driver_.resign();
  }
  tick_scheduler();
  schedule_tick(tick_requested_ ? 0 : time_to_next_tick());
}

/// Something has changed that a tick should see, however long the next one was to come.
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

/// A leader looks at its workers steadily. Any other node sleeps until its election has something
/// to do, but for no longer than between two renewals.
Seconds Node::time_to_next_tick() const {
  const Seconds shortest = settings_.heartbeat_period_s * settings_.tuning.round * kTickRoundShare;
  if (scheduler_) return shortest;
  return std::clamp(election_driver_.due_at() - steady_now(), shortest,
                    std::max(shortest, settings_.renew_s()));
}

/// Why this node should leave the lead, none if it should not. The state service still renews the
/// lease of a leader that workers can't reach: it has to go by itself, or every worker's lease
/// would end. One that has used up the numbers of its term could start nothing any more.
std::optional<std::string> Node::reason_to_resign() const {
  if (!leads_now()) return std::nullopt;
  if (scheduler_->term_nearly_exhausted()) return "few attempts are left of its term";
  if (!settings_.peers.empty() && scheduler_->isolated_from_workers(steady_now()))
    return "no worker gets through";
  return std::nullopt;
}

void Node::tick_scheduler() {
  const Seconds began = steady_now();
  if (!leads_now() || began < next_scheduler_tick_) return;
  for (const auto& action : scheduler_->tick(began)) executor_.perform(action);
  if (leads_now()) record_writer_.write_planned_records();
  const Seconds ended = steady_now();
  next_scheduler_tick_ = ended + kPausePerTickDuration * (ended - began);
}

/// Records were written that starts waited for, and there is room for the next transaction.
void Node::on_committed() {
  if (!settings_.tuning.prompt_dispatch) return tick_scheduler();
  if (!leads_now()) return;
  for (const auto& action : scheduler_->dispatch(steady_now())) executor_.perform(action);
  if (leads_now()) record_writer_.write_planned_records();
}

// ---------------------------------------------------------------- requests

void Node::on_request(const HttpRequest& request, const Respond& respond) {
  if (request.path == wire::path::kWorkerHeartbeat && request.method == "POST")
    return on_worker_heartbeat(request, respond);
  if (request.path == wire::path::kReady)
    return respond({ready() ? 200 : 503, wire::error_body(ready() ? "" : "not ready"), 0});
  if (!frontend_.handle(request, respond)) respond({404, wire::error_body("no such path"), 0});
}

bool Node::served() const {
  const std::chrono::duration<double> age = std::chrono::steady_clock::now() - store_.last_served();
  return age.count() < settings_.lease_s * kServedLeaseShare;
}

bool Node::ready() const {
  // In an outage for all, no other node could do better: the users stay where they are.
  return record_cache_.loaded() && !machine_types_.types().empty() &&
         (served() || !peer_heartbeats_.others_served());
}

void Node::on_worker_heartbeat(const HttpRequest& request, const Respond& respond) {
  const auto heartbeat = wire::parse_worker_heartbeat(request.body);
  if (!heartbeat) return respond({400, wire::error_body("not a report"), 0});
  election_.observe_term(steady_now(), term_of_fencing_token(heartbeat->fencing_token));
  if (!scheduler_ || !election_.may_answer(steady_now()))
    return answer_as_follower(*heartbeat, respond);
  const Seconds now = steady_now();
  const auto answer = scheduler_->on_heartbeat(*heartbeat, election_.may_act(now), now);
  if (!answer.fresh) return respond({503, {}, 0});
  respond({200, wire::heartbeat_answer(answer.fencing_token, answer.commands), 0});
}

/// In the leader's place where this node may, otherwise with the leader's name.
void Node::answer_as_follower(const WorkerHeartbeat& heartbeat, const Respond& respond) {
  if (may_answer_as_delegate(heartbeat)) {
    const auto stops = delegated_responder_.answer(
        heartbeat, election_.highest_term(), to_seconds(record_cache_.known_at()),
        [this](const std::string& id) { return record_cache_.ended(id); }, steady_now());
    if (stops) return respond({200, wire::heartbeat_answer(heartbeat.fencing_token, *stops), 0});
  }
  respond({421, wire::redirect_body(leader_to_redirect_to()), 0});
}

/// Empty if no other node is known to lead.
std::string Node::leader_to_redirect_to() const {
  const auto& record = record_cache_.leader().value;
  const bool record_newer = record.term > peer_heartbeats_.leader_term();
  const std::string leader = record_newer ? record.node : peer_heartbeats_.leader();
  return leader == settings_.node ? std::string() : leader;
}

/// A zone that is cut off loses the leader and the state service together. While this node still
/// hears either, another leader may be found, and workers had better go on looking.
bool Node::may_answer_as_delegate(const WorkerHeartbeat& heartbeat) const {
  const Seconds served_at = to_seconds(store_.last_served());
  return election_.state() == LeaderElection::State::Follower && heartbeat.zone == settings_.zone &&
         steady_now() - served_at > settings_.delegation_after_s();
}

// ---------------------------------------------------------------- leadership

void Node::on_election_state_changed(LeaderElection::State from, LeaderElection::State to) {
  spdlog::info("leadership: {} -> {} (term {})", name(from), name(to), election_.term());
  request_tick();
  if (to == LeaderElection::State::Follower) return stop_leading();
  if (to == LeaderElection::State::Leading && from != LeaderElection::State::LeaseExpired)
    start_leading();
}

void Node::stop_leading() {
  // Released from inside one of its own calls the scheduler would be destroyed while it runs.
  asio::post(io_, [this, ended = scheduler_.end()] { scheduler_.release(ended); });
  machine_list_.stop();
  executor_.stop();
}

void Node::start_leading() {
  record_writer_.reset();
  peer_terms_.clear();
  scheduler_.begin(create_scheduler());
  spdlog::info("takes over {} jobs and {} machines", record_cache_.live().size(),
               record_cache_.hosts().size());
  if (settings_.peers.empty()) scheduler_->on_previous_leader_fenced(steady_now());
  peer_heartbeats_.send_peer_heartbeats(wire::PeerHeartbeatPart::StatusOnly);
  machine_list_.start();
  asio::post(io_, [this] { tick_scheduler(); });
}

/// A scheduler that knows all that the records and the leader before told this node.
std::unique_ptr<Scheduler> Node::create_scheduler() const {
  const Seconds now = steady_now();
  const Seconds previous_leader_fenced_at = now + settings_.answers_s();
  const Seconds wall_offset = static_cast<double>(time_of_day_ms()) / 1000 - steady_now();
  auto scheduler = std::make_unique<Scheduler>(settings_, election_.term(), now,
                                               previous_leader_fenced_at, wall_offset);
  scheduler->set_machine_types(machine_types_.types());
  for (const auto& [id, host] : record_cache_.hosts())
    scheduler->restore_machine(host.value, steady_now());
  for (const auto& [id, job] : record_cache_.live())
    scheduler->on_job_record(job.value, job.version, steady_now());
  report_finished_dependencies(*scheduler);
  for (const auto& held : peer_heartbeats_.leader_hints().images())
    scheduler->on_cached_image(held.machine, held.image, held.gb);
  // The cloud's list is late: without this, what the leader before rented is rented once more.
  scheduler->on_machines_listed(peer_heartbeats_.leader_hints().booting(), steady_now());
  return scheduler;
}

// ---------------------------------------------------------------- records

/// An empty id: the whole copy was loaded anew.
void Node::on_job_record(const std::string& id) {
  if (!scheduler_) return;
  if (id.empty())
    on_all_job_records();
  else if (const auto* record = record_cache_.live(id))
    scheduler_->on_job_record(record->value, record->version, steady_now());
  else
    scheduler_->on_job_finished(id);
  report_finished_dependencies(*scheduler_);
  scheduler_->request_round();
}

/// The scheduler reads no records: it is told of finished jobs as far as others depend on them.
void Node::report_finished_dependencies(Scheduler& scheduler) const {
  const std::set<std::string> unknown = scheduler.unknown_dependencies();
  for (const auto& id : unknown)
    if (const auto record = record_cache_.dependency_end(id))
      scheduler.on_dependency_finished(id, *record);
}

void Node::on_all_job_records() {
  std::vector<std::string> finished;
  for (const auto& [id, job] : scheduler_->jobs())
    if (!record_cache_.live(id)) finished.push_back(id);
  for (const auto& id : finished) scheduler_->on_job_finished(id);
  for (const auto& [id, job] : record_cache_.live())
    scheduler_->on_job_record(job.value, job.version, steady_now());
}

// ---------------------------------------------------------------- heartbeats

PeerHeartbeats::Hooks Node::peer_hooks() {
  PeerHeartbeats::Hooks hooks;
  hooks.own = [this](wire::PeerHeartbeatPart part) { return own_peer_heartbeat(part); };
  hooks.answer = [this](const wire::PeerHeartbeat& from) { return answer_peer_heartbeat(from); };
  hooks.answered = [this](const std::string& node, const wire::PeerHeartbeat& heartbeat,
                          auto asked_at) { on_peer_heartbeat_answer(node, heartbeat, asked_at); };
  return hooks;
}

wire::PeerHeartbeat Node::own_peer_heartbeat(wire::PeerHeartbeatPart part) const {
  const Seconds now = steady_now();
  wire::PeerHeartbeat heartbeat;
  heartbeat.node = settings_.node;
  heartbeat.term = election_.highest_term();
  heartbeat.leading = scheduler_ && election_.may_answer(now);
  heartbeat.served = served();
  heartbeat.status = delegated_responder_.status(now);
  if (!heartbeat.leading) return heartbeat;
  heartbeat.part = part;
  if (part == wire::PeerHeartbeatPart::Counts) add_counts(*scheduler_, heartbeat);
  if (part == wire::PeerHeartbeatPart::Hints) add_hints(*scheduler_, now, heartbeat);
  return heartbeat;
}

const std::string* Node::zone_of(const std::string& node) const {
  for (const auto& peer : settings_.peers)
    if (peer.node == node) return &peer.zone;
  return nullptr;
}

void Node::on_peer_heartbeat(const wire::PeerHeartbeat& heartbeat) {
  const Seconds now = steady_now();
  election_.observe_term(now, heartbeat.term);
  const std::string* zone = zone_of(heartbeat.node);
  if (scheduler_ && zone)
    scheduler_->delegations().heard(heartbeat.node, *zone, heartbeat.status, now);
}

/// Delegations go out with answers only: they count from when they were asked for.
wire::PeerHeartbeat Node::answer_peer_heartbeat(const wire::PeerHeartbeat& from) {
  on_peer_heartbeat(from);
  wire::PeerHeartbeat answer = own_peer_heartbeat(wire::PeerHeartbeatPart::StatusOnly);
  const std::string* zone = zone_of(from.node);
  if (leads_now() && zone && settings_.finds_delegated_responder(*zone))
    answer.delegation = scheduler_->delegations().delegate(from.node, *zone,
                                                           election_.answers_until(), steady_now());
  return answer;
}

void Node::on_peer_heartbeat_answer(const std::string& node, const wire::PeerHeartbeat& heartbeat,
                                    std::chrono::steady_clock::time_point asked_at) {
  on_peer_heartbeat(heartbeat);
  if (heartbeat.delegation)
    delegated_responder_.delegated(*heartbeat.delegation, to_seconds(asked_at), steady_now());
  if (!scheduler_ || heartbeat.leading || heartbeat.term < election_.term()) return;
  // That node follows this term: it answers no worker under an older one. Once all do, nobody else
  // can renew a worker's lease.
  peer_terms_[node] = heartbeat.term;
  if (peer_terms_.size() == settings_.peers.size())
    scheduler_->on_previous_leader_fenced(steady_now());
}

}  // namespace sumacquay
