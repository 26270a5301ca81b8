#include "node/node.h"

#include <spdlog/spdlog.h>

#include "dispatch/record_transaction.h"

namespace sumacquay {
namespace {

/// What is left to renewals, reports and users between two looks at the fleet / what a look takes.
constexpr double kBreath = 3;
/// How long a machine has to say that it is there / the workers' lease.
constexpr double kProbeDeadline = 0.05;
/// The pause between two ticks that shows this process to have stood still / the workers' lease.
constexpr double kStoodStill = 0.1;
/// The part of all sockets that orders to workers may keep.
constexpr double kOrderSockets = 0.2;

Leadership::Config leadership_config(const Settings& s) {
  Leadership::Config c;
  c.lease = s.leader_lease_s();
  c.renew = s.renew_s();
  c.grace = s.answers_s();
  return c;
}

uint64_t time_of_day_ms() {
  const auto t = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(t).count());
}

Seconds seconds(std::chrono::steady_clock::time_point t) {
  return std::chrono::duration<double>(t.time_since_epoch()).count();
}

/// A worker answers orders with its report, whether it carries them out or not.
std::optional<WorkerReport> report_in(const HttpResult& r) {
  if (!r.answered || (r.status != 200 && r.status != 409)) return std::nullopt;
  return wire::parse_report(r.body);
}

std::chrono::microseconds as_us(double seconds) {
  return std::chrono::microseconds(static_cast<long long>(seconds * 1e6));
}

}  // namespace

Node::Node(asio::io_context& io, const Settings& settings)
    : io_(io),
      settings_(settings),
      rng_(std::random_device{}()),
      nonce_(rng_() >> 1),
      store_(io, settings),
      mirror_(io, settings, store_),
      leadership_(leadership_config(settings), leadership_effects()),
      cloud_(io, settings.cloud, 4, 32),
      delegate_(nonce_, settings.delegation_after_s(), settings.answers_s()),
      peers_(io, settings, settings.renew_s(),
             {[this](wire::HeartbeatPart part) { return own_heartbeat(part); },
              [this](const wire::Heartbeat& p) { return answer_heartbeat(p); },
              [this](const std::string& n, const wire::Heartbeat& p, auto asked_at) {
                on_heartbeat_answer(n, p, asked_at);
              }}),
      frontend_(settings, store_, mirror_,
                {[this]() -> const std::vector<MachineType>& { return types_; },
                 [this](const std::string& id) { return peers_.counts(id); }, time_of_day_ms}),
      tick_timer_(io),
      types_timer_(io),
      list_timer_(io) {}

void Node::start() {
  HttpLimits limits;
  limits.connections = static_cast<size_t>(settings_.max_sockets * settings_.tuning.sockets);
  limits.idle_s = 60 * settings_.report_s;
  server_ = std::make_unique<HttpServer>(io_, settings_.listen, limits,
                                         [this](const HttpRequest& request, Respond respond) {
                                           on_request(request, std::move(respond));
                                         });
  mirror_.set_listener(
      {[this](const std::string& id) { on_job_record(id); }, [this] { on_leader_record(); }});
  mirror_.start();
  peers_.start();
  load_types();
  tick();
}

Seconds Node::now() const {
  return seconds(std::chrono::steady_clock::now());
}

double Node::random() {
  return std::uniform_real_distribution<double>(0, 1)(rng_);
}

void Node::tick() {
  log_troubles();
  keep_records_known();
  leadership_.tick(now(), mirror_.loaded(), mirror_.leader().version != 0, random());
  resign_if_unheard();
  tick_core();
  tick_timer_.expires_after(as_us(settings_.report_s * settings_.tuning.round * 0.25));
  tick_timer_.async_wait([this](auto error) {
    if (!error) tick();
  });
}

/// So that operators can tell from the log which trouble it was: this process that stood still, or
/// the state service that was lost. Lost partners are logged by `Peers`.
void Node::log_troubles() {
  const Seconds gap = now() - ticked_;
  if (ticked_ > 0 && gap > settings_.lease_s * kStoodStill)
    spdlog::info("this process stood still for {:.1f} s", gap);
  ticked_ = now();
  if (served() == state_served_) return;
  state_served_ = !state_served_;
  spdlog::info("state service: {}", state_served_ ? "answers again" : "does not answer this node");
}

/// Where little is written the watch says nothing for long, and nobody can tell silence from a cut.
void Node::keep_records_known() {
  const Seconds known_at = seconds(mirror_.known_at());
  leadership_.records_known(known_at);
  if (reading_ || now() - known_at < settings_.renew_s()) return;
  reading_ = true;
  mirror_.read_barrier([this](bool) { reading_ = false; });
}

/// The state service still renews the lease of a leader that workers can't reach: it has to go by
/// itself, or every worker's lease would end.
void Node::resign_if_unheard() {
  if (settings_.peers.empty() || !leads_now() || !core_->unheard(now())) return;
  spdlog::info("no worker gets through: leaves the lead to another node");
  const uint64_t lease = leadership_.lease();
  leadership_.resign(now(), 2 * settings_.leader_lease_s());
  store_.revoke(lease, [](HttpResult) {});
}

void Node::tick_core() {
  const Seconds began = now();
  if (!leads_now() || began < next_core_tick_) return;
  for (const auto& action : core_->tick(began)) perform(action);
  write_records();
  next_core_tick_ = now() + kBreath * (now() - began);
}

// ---------------------------------------------------------------- requests

void Node::on_request(const HttpRequest& request, Respond respond) {
  if (request.path == wire::path::kReport && request.method == "POST")
    return on_report(request, respond);
  if (request.path == wire::path::kReady)
    return respond({ready() ? 200 : 503, wire::error_body(ready() ? "" : "not ready"), 0});
  if (!frontend_.handle(request, respond)) respond({404, wire::error_body("no such path"), 0});
}

bool Node::served() const {
  const std::chrono::duration<double> age = std::chrono::steady_clock::now() - store_.last_served();
  return age.count() < settings_.lease_s * 0.3;
}

bool Node::ready() const {
  // In an outage for all, no other node could do better: the users stay where they are.
  return mirror_.loaded() && !types_.empty() && (served() || !peers_.others_served());
}

void Node::on_report(const HttpRequest& request, const Respond& respond) {
  const auto report = wire::parse_report(request.body);
  if (!report) return respond({400, wire::error_body("not a report"), 0});
  leadership_.saw_term(now(), report->token >> 20);
  if (!core_ || !leadership_.may_answer(now())) {
    if (may_be_delegate(*report)) {
      const auto stops = delegate_.answer(
          *report, leadership_.highest_term(), seconds(mirror_.known_at()),
          [this](const std::string& id) { return mirror_.ended(id); }, now());
      if (stops) return respond({200, wire::report_answer(report->token, *stops), 0});
    }
    const bool record_newer = mirror_.leader().value.term > peers_.leader_term();
    std::string leader = record_newer ? mirror_.leader().value.node : peers_.leader();
    if (leader == settings_.node) leader.clear();
    return respond({421, wire::redirect_body(leader), 0});
  }
  const auto answer = core_->report(*report, leadership_.may_act(now()), now());
  if (!answer.fresh) return respond({503, {}, 0});
  respond({200, wire::report_answer(answer.token, answer.commands), 0});
}

/// A zone that is cut off loses the leader and the state service together. While this node still
/// hears either, another leader may be found, and workers had better go on looking.
bool Node::may_be_delegate(const WorkerReport& report) const {
  const Seconds served_at = seconds(store_.last_served());
  return leadership_.state() == Leadership::State::Follower && report.zone == settings_.zone &&
         now() - served_at > settings_.delegation_after_s();
}

// ---------------------------------------------------------------- leadership

Leadership::Effects Node::leadership_effects() {
  Leadership::Effects e;
  e.grant = [this](Leadership::Campaign campaign, Seconds lease) {
    const Seconds asked = now();
    store_.grant(lease, [this, campaign, asked](std::optional<uint64_t> id) {
      leadership_.granted(now(), campaign, id, asked);
    });
  };
  e.elect = [this](Leadership::Campaign campaign, uint64_t lease) { elect(campaign, lease); };
  e.renew = [this](uint64_t lease) {
    const Seconds sent = now();
    store_.renew(lease, settings_.renew_s(), [this, lease, sent](StoreClient::Renewal r) {
      leadership_.renewed(now(), lease, sent, r == StoreClient::Renewal::Renewed,
                          r == StoreClient::Renewal::Ended);
    });
  };
  e.changed = [this](Leadership::State from, Leadership::State to) { on_leadership(from, to); };
  return e;
}

void Node::elect(Leadership::Campaign campaign, uint64_t lease) {
  const uint64_t term = std::max(mirror_.term().value.term, leadership_.highest_term()) + 1;
  const wire::LeaderRecord record{settings_.node, nonce_, term, lease};
  const std::string value = wire::encode_leader(record);
  const Seconds end = now() + settings_.leader_lease_s();
  store_.transact(Urgency::Leadership, {{keys::kLeader, 0}, {keys::kTerm, mirror_.term().version}},
                  {{keys::kLeader, value, lease}, {keys::kTerm, value, 0}},
                  [this, campaign, record, lease, end](TxnResult t) {
                    if (t.outcome == TxnOutcome::Committed) {
                      mirror_.wrote_leader(record, t.revision);
                      return take_office(campaign, record.term, end);
                    }
                    // Ended at once, so that a transaction that is still on its way can't win.
                    store_.revoke(lease, [](HttpResult) {});
                    mirror_.read_barrier(
                        [this, campaign](bool) { leadership_.elected(now(), campaign, false, 0); });
                  });
}

/// Reads everything that earlier leaders wrote before it acts on the records.
void Node::take_office(Leadership::Campaign campaign, uint64_t term, Seconds end) {
  mirror_.read_barrier([this, campaign, term, end](bool fresh) {
    if (fresh) return leadership_.elected(now(), campaign, true, term);
    if (now() > end) return leadership_.elected(now(), campaign, false, 0);
    auto timer = std::make_shared<asio::steady_timer>(io_, as_us(settings_.lease_s * 0.005));
    timer->async_wait(
        [this, timer, campaign, term, end](auto) { take_office(campaign, term, end); });
  });
}

void Node::on_leadership(Leadership::State from, Leadership::State to) {
  spdlog::info("leadership: {} -> {} (term {})", name(from), name(to), leadership_.term());
  if (to == Leadership::State::Follower) {
    // Reset from inside a call of the core's would pull it away under its feet.
    asio::post(io_, [this, generation = core_generation_] {
      if (generation == core_generation_ && leadership_.state() == Leadership::State::Follower)
        core_.reset();
    });
    ++core_generation_;
    list_timer_.cancel();
    workers_.clear();
    return;
  }
  if (to != Leadership::State::Leading || from == Leadership::State::Expired) return;
  ++core_generation_;
  writing_ = false;
  peer_terms_.clear();
  const Seconds fence = now() + settings_.answers_s();
  core_ = std::make_unique<LeaderCore>(settings_, leadership_.term(), now(), fence,
                                       static_cast<double>(time_of_day_ms()) / 1000 - now());
  core_->set_types(types_);
  for (const auto& [id, host] : mirror_.hosts()) core_->host_stored(host.value, now());
  for (const auto& [id, job] : mirror_.live()) core_->job_stored(job.value, job.version, now());
  for (const auto& held : peers_.images()) core_->image_held(held.machine, held.image, held.gb);
  // The cloud's list is late: without this, what the leader before rented is rented once more.
  core_->listed(peers_.booting(), now());
  spdlog::info("takes over {} jobs and {} machines", mirror_.live().size(), mirror_.hosts().size());
  if (settings_.peers.empty()) core_->fenced(now());
  peers_.beat_now(wire::HeartbeatPart::Beat);
  list_machines();
  asio::post(io_, [this] { tick_core(); });
}

void Node::on_leader_record() {
  const auto& leader = mirror_.leader();
  leadership_.saw_term(now(), std::max(leader.value.term, mirror_.term().value.term));
  const bool mine = leader.version && leader.value.node == settings_.node;
  if (!mine || leader.value.nonce == nonce_ || revoked_) return;
  // An earlier process of this node held the lease. It has ended, so nobody need wait for it.
  revoked_ = true;
  store_.revoke(leader.value.lease, [](HttpResult) {});
}

void Node::on_job_record(const std::string& id) {
  if (!core_) return;
  if (id.empty()) {
    std::vector<std::string> finished;
    for (const auto& [known, job] : core_->jobs())
      if (!mirror_.live(known)) finished.push_back(known);
    for (const auto& gone : finished) core_->job_finished(gone);
    for (const auto& [known, job] : mirror_.live())
      core_->job_stored(job.value, job.version, now());
  } else if (const auto* record = mirror_.live(id)) {
    core_->job_stored(record->value, record->version, now());
  } else {
    core_->job_finished(id);
  }
  core_->hurry();
}

wire::Heartbeat Node::own_heartbeat(wire::HeartbeatPart part) {
  wire::Heartbeat p;
  p.node = settings_.node;
  p.term = leadership_.highest_term();
  p.leading = core_ && leadership_.may_answer(now());
  p.served = served();
  p.status = delegate_.status(now());
  if (!p.leading) return p;
  p.part = part;
  if (part == wire::HeartbeatPart::Counts) add_counts(p);
  if (part == wire::HeartbeatPart::Hints) add_hints(p);
  return p;
}

void Node::add_counts(wire::Heartbeat& p) const {
  for (const auto& [id, running] : core_->running_counts()) {
    const auto job = core_->jobs().find(id);
    if (job != core_->jobs().end()) p.counts.push_back({id, job->second.done.count(), running});
  }
}

void Node::add_hints(wire::Heartbeat& p) const {
  for (const auto& [id, m] : core_->machines()) {
    for (const auto& [image, gb] : m.images.kept()) p.images.push_back({id, image, gb});
    if (m.stage == Machine::Stage::Booting)
      p.booting.push_back({id, "", m.info.type, m.info.zone, m.info.spot,
                           ListedMachine::State::Booting, now() - m.first_seen});
  }
}

const std::string* Node::zone_of(const std::string& node) const {
  for (const auto& peer : settings_.peers)
    if (peer.node == node) return &peer.zone;
  return nullptr;
}

void Node::hear(const wire::Heartbeat& heartbeat) {
  leadership_.saw_term(now(), heartbeat.term);
  const std::string* zone = zone_of(heartbeat.node);
  if (core_ && zone) core_->delegations().heard(heartbeat.node, *zone, heartbeat.status, now());
}

/// Delegations go out with answers only: they count from when they were asked for.
wire::Heartbeat Node::answer_heartbeat(const wire::Heartbeat& from) {
  hear(from);
  wire::Heartbeat p = own_heartbeat(wire::HeartbeatPart::Beat);
  const std::string* zone = zone_of(from.node);
  if (leads_now() && zone && settings_.finds_delegate(*zone))
    p.delegation =
        core_->delegations().delegate(from.node, *zone, leadership_.answers_until(), now());
  return p;
}

void Node::on_heartbeat_answer(const std::string& node, const wire::Heartbeat& heartbeat,
                               std::chrono::steady_clock::time_point asked_at) {
  hear(heartbeat);
  if (heartbeat.delegation) delegate_.delegated(*heartbeat.delegation, seconds(asked_at), now());
  if (!core_ || heartbeat.leading || heartbeat.term < leadership_.term()) return;
  // That node follows this term: it answers no worker under an older one. Once all do, nobody else
  // can renew a worker's lease.
  peer_terms_[node] = heartbeat.term;
  if (peer_terms_.size() == settings_.peers.size()) core_->fenced(now());
}

// ---------------------------------------------------------------- the leader's hands

void Node::perform(const Action& action) {
  std::visit([this](const auto& a) { perform(a); }, action);
}

/// The client for a worker, none if its address can't be used or too many are busy. The one that
/// has been unused longest gives way, so that orders to a large fleet leave sockets for all else.
std::shared_ptr<HttpClient> Node::worker_client(const std::string& addr) {
  const auto known = workers_.find(addr);
  if (known != workers_.end()) {
    known->second.used = now();
    return known->second.client;
  }
  if (workers_.size() >= static_cast<size_t>(settings_.max_sockets * kOrderSockets)) {
    auto oldest = workers_.end();
    for (auto w = workers_.begin(); w != workers_.end(); ++w)
      if (w->second.client->in_progress() == 0 &&
          (oldest == workers_.end() || w->second.used < oldest->second.used))
        oldest = w;
    if (oldest == workers_.end()) return nullptr;
    workers_.erase(oldest);
  }
  try {
    const auto colon = addr.rfind(':');
    const Endpoint to{addr.substr(0, colon),
                      static_cast<unsigned short>(std::stoul(addr.substr(colon + 1)))};
    asio::ip::make_address(to.host);
    auto client = std::make_shared<HttpClient>(io_, to, 1, 4);
    workers_[addr] = {client, now()};
    return client;
  } catch (const std::exception&) {
    spdlog::error("a worker has no usable address: {}", addr);
    return nullptr;
  }
}

void Node::perform(const SendOrders& order) {
  const auto client = worker_client(order.addr);
  if (!client)
    return asio::post(io_, [this, machine = order.machine, generation = core_generation_] {
      if (generation == core_generation_ && core_)
        core_->orders_done(machine, std::nullopt, false, now());
    });
  const double deadline = std::min(settings_.report_s * 1.5, settings_.lease_s * 0.2);
  client->request(
      "POST", wire::path::kOrders, wire::orders_body(order.token, order.session, order.commands),
      deadline,
      [this, client, machine = order.machine, generation = core_generation_](HttpResult r) {
        if (generation != core_generation_ || !core_) return;
        const auto report = report_in(r);
        if (report) leadership_.saw_term(now(), report->token >> 20);
        if (!core_) return;
        core_->orders_done(machine, report, r.ok() && report, now());
      });
}

void Node::perform(const Probe& probe) {
  const auto client = worker_client(probe.addr);
  if (!client) return core_->not_probed(probe.machine);
  client->request(
      "POST", wire::path::kOrders, wire::orders_body(probe.token, probe.session, {}),
      settings_.lease_s * kProbeDeadline,
      [this, client, machine = probe.machine, generation = core_generation_](HttpResult r) {
        if (generation != core_generation_ || !core_) return;
        const auto report = report_in(r);
        if (report) leadership_.saw_term(now(), report->token >> 20);
        if (core_) core_->probed(machine, report, now());
      });
}

void Node::perform(const Rent& rent) {
  cloud_.request("POST", wire::path::kMachines,
                 wire::rent_body(rent.request, rent.type, rent.zone, rent.spot, rent.count),
                 settings_.lease_s * 0.5,
                 [this, rent, generation = core_generation_](HttpResult r) {
                   if (generation != core_generation_ || !core_) return;
                   auto outcome = LeaderCore::RentOutcome::Unknown;
                   std::vector<std::string> machines;
                   if (r.ok()) {
                     if (auto rented = wire::parse_rented(r.body)) {
                       outcome = LeaderCore::RentOutcome::Rented;
                       machines = *rented;
                     }
                   } else if (r.answered && (r.status == 503 || r.status == 400)) {
                     outcome = LeaderCore::RentOutcome::Refused;
                   }
                   core_->rent_done(rent, outcome, machines, now());
                 });
}

void Node::perform(const Release& release) {
  cloud_.request("POST", wire::path::kRelease, wire::release_body(release.machines),
                 settings_.lease_s * 0.5,
                 [this, release, generation = core_generation_](HttpResult r) {
                   if (generation != core_generation_ || !core_) return;
                   core_->release_done(release, r.ok(), now());
                 });
}

void Node::write_records() {
  if (writing_ || !leads_now() || !mirror_.loaded()) return;
  const auto writes = core_->wanted_writes(now(), static_cast<size_t>(settings_.state_txn_ops));
  if (writes.empty()) return;
  const auto transaction = record_transaction(writes, mirror_.term().version);
  writing_ = true;
  store_.transact(Urgency::Record, transaction.guards, encode(transaction.changes),
                  [this, writes, generation = core_generation_](TxnResult t) {
                    if (generation != core_generation_ || !core_) return;
                    records_written(writes, t);
                  });
}

void Node::records_written(const std::vector<RecordWrite>& writes, const TxnResult& t) {
  const bool committed = t.outcome == TxnOutcome::Committed;
  if (committed) {
    for (const auto& w : writes) {
      if (!w.host.empty())
        mirror_.wrote_host(w.host, w.host_record ? &*w.host_record : nullptr, t.revision);
      else if (w.finished)
        mirror_.wrote_finished(w.job, {w.record->state, w.record->done.count()}, t.revision);
      else
        mirror_.wrote_job(*w.record, t.revision);
    }
  }
  if (!core_) return;
  for (const auto& w : writes) core_->write_done(w, committed, t.revision, now());
  if (committed) {
    writing_ = false;
    core_->hurry();
    return asio::post(io_, [this] { tick_core(); });
  }
  // It failed, or nobody knows: what the records say now decides what is still to be written.
  for (const auto& key : t.failed)
    if (key == keys::kTerm) spdlog::info("the term has changed");
  mirror_.read_barrier([this, generation = core_generation_](bool) {
    if (generation == core_generation_) writing_ = false;
  });
}

void Node::list_machines() {
  list_page(core_generation_, "", std::make_shared<std::vector<ListedMachine>>());
}

void Node::list_page(uint64_t generation, const std::string& after,
                     std::shared_ptr<std::vector<ListedMachine>> so_far) {
  cloud_.request("GET", wire::machines_path(after, 500), "", settings_.lease_s * 0.5,
                 [this, generation, so_far](HttpResult r) {
                   if (generation != core_generation_ || !core_) return;
                   const auto page = r.ok() ? wire::parse_machines(r.body) : std::nullopt;
                   if (page) {
                     so_far->insert(so_far->end(), page->machines.begin(), page->machines.end());
                     if (page->more && !page->machines.empty())
                       return list_page(generation, page->machines.back().id, so_far);
                     core_->listed(*so_far, now());
                   }
                   list_timer_.expires_after(as_us(settings_.list_lag_s * 0.5));
                   list_timer_.async_wait([this, generation](auto error) {
                     if (!error && generation == core_generation_) list_machines();
                   });
                 });
}

void Node::load_types() {
  cloud_.request("GET", wire::path::kTypes, "", settings_.lease_s * 0.5, [this](HttpResult r) {
    if (auto types = r.ok() ? wire::parse_types(r.body) : std::nullopt) {
      types_ = std::move(*types);
      if (core_) core_->set_types(types_);
    }
    // Prices move; a node that has no types yet can't take submissions.
    const double pause =
        types_.empty() ? settings_.report_s * (0.3 + 0.4 * random()) : 6 * settings_.lease_s;
    types_timer_.expires_after(as_us(pause));
    types_timer_.async_wait([this](auto error) {
      if (!error) load_types();
    });
  });
}

}  // namespace sumacquay
