#pragma once
// A whole deployment in virtual time: controllers that elect a leader among them, the state
// service, workers and users, with every trouble that the protocol speaks of. An independent
// checker, which sees only the machines, the users' answers and the time, watches over the rules.
#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <variant>

#include "dispatch/leader_core.h"
#include "leadership/leadership.h"
#include "store/mirror.h"
#include "wire/messages.h"

namespace sumacquay {

struct WorldOptions {
  Seconds lease_s = 10;
  Seconds cancel_s = 22;  ///< hardly two leases: whoever answers for too long is found out
  std::vector<std::string> controller_zones = {"east", "west", "east"};
  int machines = 4;
  size_t most_machines = 8;
  /// What the cloud says of the time to boot: decides how soon silent machines are given up.
  Seconds nominal_boot_s = 5;
  Seconds boot_least = 2, boot_most = 6;
  Seconds task_least = 2, task_most = 15;
  Seconds fetch_least = 0.1, fetch_most = 1;
};

/// The state service: keys with versions, guards and leases.
class StateService {
 public:
  using Value =
      std::variant<std::monostate, JobRecord, wire::FinishedRecord, HostRecord, wire::LeaderRecord>;
  struct Change {
    std::string key;
    std::shared_ptr<const Value> value;  ///< monostate: deleted
    uint64_t version = 0, lease = 0;
  };
  struct Guard {
    std::string key;
    uint64_t version = 0;
  };

  uint64_t version(const std::string& key) const {
    const auto it = items_.find(key);
    return it == items_.end() ? 0 : it->second.version;
  }
  const Value* find(const std::string& key) const {
    const auto it = items_.find(key);
    return it == items_.end() ? nullptr : it->second.value.get();
  }
  /// The revision, none if a guard fails or a lease has ended.
  std::optional<uint64_t> transact(const std::vector<Guard>& guards, std::vector<Change> changes) {
    for (const auto& c : changes)
      if (c.lease && !leases_.count(c.lease)) return std::nullopt;
    for (const auto& g : guards)
      if (version(g.key) != g.version) return std::nullopt;
    if (changes.empty()) return revision_;
    ++revision_;
    for (auto& c : changes) put(std::move(c));
    return revision_;
  }
  uint64_t grant(Seconds now, Seconds life) {
    leases_[++last_lease_] = {now + life, life};
    return last_lease_;
  }
  bool renew(uint64_t lease, Seconds now) {
    const auto it = leases_.find(lease);
    if (it == leases_.end()) return false;
    it->second.first = now + it->second.second;
    return true;
  }
  void revoke(uint64_t lease) {
    if (!leases_.erase(lease)) return;
    std::vector<std::string> gone;
    for (const auto& [key, item] : items_)
      if (item.lease == lease) gone.push_back(key);
    if (gone.empty()) return;
    ++revision_;
    for (const auto& key : gone) put({key, std::make_shared<const Value>(), 0, 0});
  }
  void end_leases(Seconds now) {
    std::vector<uint64_t> ended;
    for (const auto& [id, lease] : leases_)
      if (now > lease.first + 0.05) ended.push_back(id);
    for (const auto id : ended) revoke(id);
  }
  void give_leases_full_time(Seconds now) {
    for (auto& [id, lease] : leases_) lease.first = now + lease.second;
  }
  uint64_t revision() const { return revision_; }
  std::vector<Change> changes_after(uint64_t revision) const {
    const auto from = std::upper_bound(log_.begin(), log_.end(), revision,
                                       [](uint64_t r, const Change& c) { return r < c.version; });
    return {from, log_.end()};
  }
  std::vector<Change> all() const {
    std::vector<Change> out;
    for (const auto& [key, item] : items_) out.push_back(item);
    return out;
  }

 private:
  void put(Change c) {
    c.version = revision_;
    if (std::holds_alternative<std::monostate>(*c.value))
      items_.erase(c.key);
    else
      items_[c.key] = c;
    log_.push_back(std::move(c));
  }

  std::map<std::string, Change> items_;
  std::map<uint64_t, std::pair<Seconds, Seconds>> leases_;  ///< end, full time
  std::vector<Change> log_;
  uint64_t revision_ = 1, last_lease_ = 0;
};

class World {
 public:
  static constexpr Seconds kStep = 0.05;

  explicit World(uint64_t seed, WorldOptions options = {}) : rng_(seed), options_(options) {
    type_.name = "g";
    type_.room = {16, 4, 64};
    type_.zones = {"east", "west"};
    type_.boot_s = options_.nominal_boot_s;
    type_.price = 10;
    type_.spot_price = 3;
    const size_t n = options_.controller_zones.size();
    controllers_.resize(n);
    for (size_t c = 0; c < n; ++c) {
      Settings& s = controllers_[c].settings;
      s = settings();
      s.node = node_name(c);
      s.zone = options_.controller_zones[c];
      for (size_t o = 0; o < n; ++o)
        if (o != c) s.peers.push_back({node_name(o), options_.controller_zones[o], {}});
    }
    for (int i = 0; i < options_.machines; ++i) add_machine(now_);
    for (size_t c = 0; c < n; ++c) begin_process(c);
  }

  // ---- time

  /// Histories: generated troubles, then the quiet in which all work has to end.
  void run(Seconds troubles, Seconds quiet) {
    while (now_ < troubles) {
      make_trouble();
      if (now_ < troubles * 0.7 && chance(0.02)) submit_any();
      step();
    }
    end_troubles();
    while (now_ < troubles + quiet) step();
  }
  void run_for(Seconds span) {
    const Seconds end = now_ + span;
    while (now_ < end) step();
  }
  bool run_until(const std::function<bool()>& reached, Seconds most) {
    const Seconds end = now_ + most;
    while (now_ < end && !reached()) step();
    return reached();
  }
  /// All troubles are over; the work ends.
  void finish(Seconds quiet = 250) {
    end_troubles();
    for (auto& [id, j] : truth_)
      if (j.spec.kind == JobKind::Service) cancel(id);
    run_for(quiet);
  }
  Seconds now() const { return now_; }
  bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(rng_) < p; }
  double between(double a, double b) { return std::uniform_real_distribution<double>(a, b)(rng_); }
  uint64_t any(uint64_t n) { return rng_() % n; }
  void at(Seconds delay, std::function<void()> f) { later(delay, std::move(f)); }

  // ---- users

  JobSpec any_spec() {
    JobSpec s;
    s.kind = std::array{JobKind::Array, JobKind::Gang, JobKind::Service}[rng_() % 3];
    s.priority = std::array{Priority::Low, Priority::High, Priority::Production}[rng_() % 3];
    s.tasks = 1 + static_cast<uint32_t>(rng_() % 4);
    s.team = chance(0.5) ? "limited" : "open";
    s.need = {2, 1, 4};
    s.image = "img";
    s.spread = s.kind == JobKind::Service;
    s.one_zone = s.kind == JobKind::Gang && chance(0.5);
    s.spot = chance(0.3);
    s.checkpoint_s = chance(0.5) ? 2 : 0;
    s.save_s = 1;
    return s;
  }
  std::string submit(JobSpec s) {
    s.id = "job-" + std::to_string(truth_.size() + 1);
    truth_[s.id].spec = s;
    ask_to_accept(s.id);
    return s.id;
  }
  std::string submit_any() {
    const JobSpec s = any_spec();
    const std::string id = submit(s);
    if (s.kind == JobKind::Service || chance(0.2))
      later(between(1, 60), [this, id] { cancel(id); });
    return id;
  }
  /// `via`: the controller to begin with, none: any.
  void cancel(const std::string& id, int via = -1) {
    truth_[id].cancel_asked = true;
    ask_to_cancel(id, via);
  }
  bool accepted(const std::string& id) const { return truth_.at(id).accepted; }
  std::optional<Seconds> cancelled_at(const std::string& id) const {
    return truth_.at(id).cancelled_at;
  }
  /// When the first of its tasks ran, none: not yet.
  std::optional<Seconds> began_at(const std::string& id) const { return truth_.at(id).began_at; }
  /// Tasks that are neither done nor on any machine.
  size_t tasks_waiting(const std::string& id) const {
    std::set<uint32_t> there = truth_.at(id).done;
    for (const auto& [machine, w] : workers_)
      for (const auto& [key, t] : w.tasks)
        if (key.job == id && t.state != TaskState::Exited) there.insert(key.task);
    return truth_.at(id).spec.tasks - there.size();
  }
  std::vector<std::string> jobs_running() const {
    std::set<std::string> out;
    for (const auto& [id, w] : workers_)
      for (const auto& [key, t] : w.tasks)
        if (t.state != TaskState::Exited && !truth_.at(key.job).cancel_asked) out.insert(key.job);
    return {out.begin(), out.end()};
  }
  /// Machines with a task of the job on them.
  std::vector<std::string> machines_of(const std::string& job) const {
    std::vector<std::string> out;
    for (const auto& [id, w] : workers_)
      for (const auto& [key, t] : w.tasks)
        if (t.state != TaskState::Exited && key.job == job && (out.empty() || out.back() != id))
          out.push_back(id);
    return out;
  }

  // ---- troubles of controllers

  size_t controllers() const { return controllers_.size(); }
  /// The one that may act, -1: none.
  int leader() const {
    for (size_t c = 0; c < controllers_.size(); ++c) {
      const auto& p = controllers_[c].process;
      if (p && p->core && p->leadership->may_act(now_)) return static_cast<int>(c);
    }
    return -1;
  }
  /// A controller that doesn't lead.
  int follower() { return (std::max(leader(), 0) + 1 + static_cast<int>(any(2))) % 3; }
  uint64_t highest_term() const { return terms_.empty() ? 0 : terms_.rbegin()->first; }
  size_t terms() const { return terms_.size(); }
  void end_process(int c, Seconds back_in) {
    controllers_[c].process.reset();
    const uint64_t turn = ++controllers_[c].turn;
    later(back_in, [this, c, turn] {
      if (controllers_[c].turn == turn && !controllers_[c].process) begin_process(c);
    });
  }
  void stand_still(int c, Seconds span) { controllers_[c].still_until = now_ + span; }
  void cut_from_state(int c, Seconds span) { controllers_[c].no_state_until = now_ + span; }
  void cut_from_peers(int c, Seconds span) { controllers_[c].no_peers_until = now_ + span; }
  void cut_from_workers(int c, Seconds span) { controllers_[c].no_workers_until = now_ + span; }
  void refuse(int c, Seconds span) { controllers_[c].refused_until = now_ + span; }
  void cut_zone(const std::string& zone, Seconds span) { zone_cut_until_[zone] = now_ + span; }

  // ---- troubles of the state service

  void outage(Seconds span) { outage_until_ = std::max(outage_until_, now_ + span); }
  void slow(Seconds span) { slow_until_ = now_ + span; }
  void late_writes(double share, Seconds span) {
    late_share_ = share;
    late_until_ = now_ + span;
  }
  void lost_answers(double share, Seconds span) {
    lost_share_ = share;
    lost_until_ = now_ + span;
  }
  size_t late_writes_applied() const { return late_writes_applied_; }
  size_t late_writes_tried() const { return late_writes_tried_; }
  size_t answers_lost() const { return answers_lost_; }

  // ---- troubles of the cloud

  /// Machines that are given back go late, without an answer.
  void late_releases(Seconds span) { late_releases_until_ = now_ + span; }

  // ---- troubles of machines

  std::vector<std::string> machines() const {
    std::vector<std::string> out;
    for (const auto& [id, w] : workers_)
      if (now_ >= w.up_at) out.push_back(id);
    return out;
  }
  const std::string& zone_of(const std::string& machine) const { return workers_.at(machine).zone; }
  void hang(const std::string& id, Seconds span) { set(id, &Worker::hung_until, span); }
  void cut(const std::string& id, Seconds span) { set(id, &Worker::cut_until, span); }
  void deafen(const std::string& id, Seconds span) { set(id, &Worker::deaf_until, span); }
  void mute(const std::string& id, Seconds span) { set(id, &Worker::mute_until, span); }
  /// Orders to the machine, or their answers, are held up until then.
  void hold_orders(const std::string& id, Seconds span) { set(id, &Worker::held_until, span); }
  void lose_machine(const std::string& id) { workers_.erase(id); }
  void late_reports(double share, Seconds span, bool for_next = false) {
    copy_share_ = share;
    copies_until_ = now_ + span;
    copies_for_next_ = for_next;
  }
  /// Half of the reports are overtaken: by orders, their answers and probes.
  void slow_reports(Seconds span) { reports_slow_until_ = now_ + span; }
  size_t late_reports_heard() const { return late_reports_heard_; }
  /// Sent under an earlier leader than the one that heard them.
  size_t late_reports_to_new_leader() const { return late_reports_to_new_leader_; }
  size_t late_orders() const { return late_orders_; }
  size_t late_orders_done() const { return late_orders_done_; }

  // ---- what came of it

  size_t unfinished() const {
    size_t n = 0;
    for (const auto& [id, j] : truth_)
      if (j.accepted && !j.cancel_asked && j.done.size() < j.spec.tasks) ++n;
    return n;
  }
  size_t submitted() const { return truth_.size(); }
  size_t starts() const { return starts_; }
  size_t delegated() const { return delegated_; }
  size_t cancellations() const { return cancellations_; }
  /// Starts ordered after the confirmation, and the longest time between the two.
  size_t starts_after_cancel() const { return starts_after_cancel_; }
  Seconds ordered_after_cancel() const { return ordered_after_cancel_; }
  const std::vector<std::string>& broken() const { return broken_; }

 private:
  struct Task {
    uint64_t attempt = 0;
    TaskState state = TaskState::Fetching;
    ExitCause cause = ExitCause::None;
    Seconds next = 0;
  };
  struct Worker {
    std::string zone;
    bool spot = false;
    Seconds up_at = 0, session_began = 0, next_report = 0;
    Seconds hung_until = -1, cut_until = -1, deaf_until = -1, mute_until = -1, held_until = -1;
    bool sick = false;
    uint64_t session = 1, seq = 0, token = 0;
    Seconds answered_sent = -1;
    bool waiting = false;
    Seconds report_sent = 0;
    size_t node = 0;
    std::map<TaskKey, Task> tasks;
  };
  struct Truth {
    JobSpec spec;
    bool accepted = false, cancel_asked = false, told_done = false;
    std::set<uint32_t> done;
    std::optional<Seconds> cancelled_at;  ///< first confirmation by any node
    std::optional<Seconds> began_at;
    Seconds waits_since = -1;
  };

  template <class T>
  struct Versioned {
    T value{};
    uint64_t version = 0;
  };
  /// A controller's copy of the records.
  struct Records {
    bool loaded = false;
    uint64_t revision = 0;
    Seconds known_at = 0;
    std::map<std::string, Versioned<JobRecord>> live;
    std::map<std::string, wire::FinishedRecord> finished;
    std::map<std::string, Versioned<HostRecord>> hosts;
    std::map<std::string, uint64_t> host_deleted;
    Versioned<wire::LeaderRecord> leader, term;
    uint64_t leader_seen = 0;
  };
  struct Process {
    uint64_t nonce = 0;
    Records records;
    std::unique_ptr<Leadership> leadership;
    std::unique_ptr<LeaderCore> core;
    std::unique_ptr<Delegate> delegate;
    uint64_t generation = 0;
    std::map<size_t, uint64_t> peer_terms;
    bool writing = false, looking = false, revoked = false;
    Seconds next_look = 0, next_beat = 0, served_at = 0, leader_heard = -1e9;
    int leader = -1;
    uint64_t leader_term = 0;
  };
  struct Controller {
    Settings settings;
    std::shared_ptr<Process> process;
    uint64_t turn = 0;
    Seconds still_until = -1, no_state_until = -1, no_peers_until = -1, no_workers_until = -1,
            refused_until = -1;
  };
  enum class Outcome { Ok, Failed, Refused, None };
  struct Reply {
    Outcome outcome = Outcome::None;
    uint64_t number = 0;
    std::vector<StateService::Change> changes;
  };
  using Op = std::function<Reply()>;

  static std::string node_name(size_t c) { return "n" + std::to_string(c); }
  size_t node_of(const std::string& name) const {
    for (size_t c = 0; c < controllers_.size(); ++c)
      if (controllers_[c].settings.node == name) return c;
    return controllers_.size();
  }
  Settings settings() const {
    Settings s;
    s.report_s = 1;
    s.lease_s = options_.lease_s;
    s.cancel_s = options_.cancel_s;
    s.list_lag_s = 2;
    s.state_txn_ops = 12;
    s.zones = type_.zones;
    TeamSettings limited;
    limited.name = "limited";
    limited.gpus = 4;
    limited.gpus_max = 6;
    TeamSettings open;
    open.name = "open";
    s.teams = {limited, open};
    return s;
  }
  void set(const std::string& id, Seconds Worker::*field, Seconds span) {
    const auto it = workers_.find(id);
    if (it != workers_.end()) it->second.*field = now_ + span;
  }

  void later(Seconds delay, std::function<void()> f) { mail_.emplace(now_ + delay, std::move(f)); }
  void deliver() {
    while (!mail_.empty() && mail_.begin()->first <= now_) {
      auto f = std::move(mail_.begin()->second);
      mail_.erase(mail_.begin());
      f();
    }
  }
  /// An event of one process of a controller: it comes once the controller goes on, if it does.
  void to_process(size_t c, const std::weak_ptr<Process>& who, Seconds delay,
                  std::function<void(Process&)> f) {
    later(delay, [this, c, who, f = std::move(f)] {
      const auto p = who.lock();
      if (!p) return;
      if (now_ < controllers_[c].still_until)
        return to_process(c, who, controllers_[c].still_until - now_, f);
      f(*p);
    });
  }
  void to_controller(size_t c, Seconds delay, std::function<void(Process&)> f) {
    later(delay, [this, c, f = std::move(f)] {
      if (controllers_[c].process) to_process(c, controllers_[c].process, 0, f);
    });
  }
  void note(const std::string& rule, const TaskKey& key, const std::string& where) {
    note(rule + " " + key.job + "/" + std::to_string(key.task) + " on " + where);
  }
  void note(const std::string& what) {
    if (broken_.size() < 20) broken_.push_back(what + " at " + std::to_string(now_));
  }

  void step() {
    now_ += kStep;
    if (outage_until_ > 0 && now_ >= outage_until_) {
      outage_until_ = -1;
      state_.give_leases_full_time(now_);
    }
    if (!out()) state_.end_leases(now_);
    deliver();
    for (size_t c = 0; c < controllers_.size(); ++c)
      if (controllers_[c].process && now_ >= controllers_[c].still_until) step_process(c);
    for (auto& [id, w] : workers_) step_worker(id, w);
    check_standing_rules();
    if (now_ >= next_wait_check_) {
      next_wait_check_ = now_ + 1;
      check_waiting();
    }
  }

  void end_troubles() {
    quiet_since_ = now_;
    for (auto& c : controllers_)
      c.still_until = c.no_state_until = c.no_peers_until = c.no_workers_until = c.refused_until =
          -1;
    for (size_t c = 0; c < controllers_.size(); ++c)
      if (!controllers_[c].process) begin_process(c);
    if (out()) outage_until_ = now_;
    late_releases_until_ = slow_until_ = late_until_ = lost_until_ = copies_until_ = -1;
    reports_slow_until_ = -1;
    zone_cut_until_.clear();
    for (auto& [id, w] : workers_)
      w.hung_until = w.cut_until = w.deaf_until = w.mute_until = w.held_until = -1;
  }

  // ---- the state service

  bool out() const { return now_ < outage_until_; }
  bool zone_cut(const std::string& zone) const {
    const auto it = zone_cut_until_.find(zone);
    return it != zone_cut_until_.end() && now_ < it->second;
  }
  /// Until when two places are cut off from each other; the state service and users are in no zone.
  Seconds apart_until(const std::string& a, const std::string& b) const {
    if (a == b) return -1;
    Seconds until = -1;
    for (const auto& zone : {a, b}) {
      const auto it = zone_cut_until_.find(zone);
      if (it != zone_cut_until_.end()) until = std::max(until, it->second);
    }
    return until;
  }
  Seconds no_state_until(size_t c) const {
    const Controller& me = controllers_[c];
    return std::max(me.no_state_until, apart_until(me.settings.zone, ""));
  }
  void ask_state(size_t c, bool writes, Op op, std::function<void(Process&, const Reply&)> done,
                 Seconds deadline = 0) {
    const std::weak_ptr<Process> who = controllers_[c].process;
    auto settled = std::make_shared<bool>(false);
    auto answer = [this, c, who, settled, done = std::move(done)](Seconds delay, Reply r) {
      to_process(c, who, delay, [this, settled, done, r](Process& p) {
        if (*settled) return;
        *settled = true;
        if (r.outcome == Outcome::Ok || r.outcome == Outcome::Failed) p.served_at = now_;
        done(p, r);
      });
    };
    answer(deadline > 0 ? deadline : options_.lease_s * 0.15, {});
    double travel = chance(0.01) ? between(0.1, 0.4) : between(0.001, 0.01);
    if (now_ < slow_until_) travel += between(0.1, 1.5);
    if (now_ < no_state_until(c)) {
      if (!writes || chance(0.5)) return;
      travel += no_state_until(c) - now_;  // held on its way
    }
    later(travel, [this, c, writes, op = std::move(op), answer] {
      if (out() || now_ < controllers_[c].refused_until)
        return answer(between(0.001, 0.01), {Outcome::Refused, 0, {}});
      if (writes && now_ < late_until_ && chance(late_share_)) {
        later(between(2, 12), [this, op] {
          if (out()) return;
          ++late_writes_tried_;
          if (op().outcome == Outcome::Ok) ++late_writes_applied_;
        });
        return;
      }
      Reply r = op();
      if (writes && now_ < lost_until_ && chance(lost_share_)) {
        answers_lost_ += r.outcome == Outcome::Ok;
        return;
      }
      if (now_ < no_state_until(c)) return;
      answer(between(0.001, 0.01), std::move(r));
    });
  }
  Op transaction(std::vector<StateService::Guard> guards, std::vector<StateService::Change> changes,
                 uint64_t term = 0, uint64_t nonce = 0) {
    return [this, guards = std::move(guards), changes = std::move(changes), term, nonce] {
      std::vector<std::pair<std::string, const StateService::Value*>> before;
      const auto revision = state_.transact(guards, changes);
      if (!revision) return Reply{Outcome::Failed, state_.revision(), {}};
      if (term) {
        const auto [it, added] = terms_.emplace(term, nonce);
        if (!added && it->second != nonce) note("two leaders under term " + std::to_string(term));
      }
      check_records(changes);
      return Reply{Outcome::Ok, *revision, {}};
    };
  }
  static std::shared_ptr<const StateService::Value> value(StateService::Value v) {
    return std::make_shared<const StateService::Value>(std::move(v));
  }

  // ---- a controller's copy of the records

  void look(size_t c, Process& p, std::function<void(Process&, bool)> done = nullptr) {
    ask_state(
        c, false,
        [this, loaded = p.records.loaded, from = p.records.revision] {
          return Reply{Outcome::Ok, state_.revision(),
                       loaded ? state_.changes_after(from) : state_.all()};
        },
        [this, c, asked_at = now_, loaded = p.records.loaded, done = std::move(done)](
            Process& me, const Reply& r) {
          const bool ok = r.outcome == Outcome::Ok && (loaded || !me.records.loaded);
          if (ok) take_in(c, me, r, asked_at);
          if (done) done(me, ok);
        });
  }
  void take_in(size_t c, Process& p, const Reply& r, Seconds asked_at) {
    Records& mine = p.records;
    bool leader_changed = false;
    std::vector<std::string> jobs;
    for (const auto& item : r.changes) {
      const bool gone = std::holds_alternative<std::monostate>(*item.value);
      if (item.key.starts_with(keys::kLive)) {
        const std::string id = item.key.substr(keys::kLive.size());
        auto known = mine.live.find(id);
        if (known != mine.live.end() && known->second.version >= item.version) continue;
        if (gone || mine.finished.count(id))
          mine.live.erase(id);
        else
          mine.live[id] = {std::get<JobRecord>(*item.value), item.version};
        jobs.push_back(id);
      } else if (item.key.starts_with(keys::kFinished)) {
        const std::string id = item.key.substr(keys::kFinished.size());
        if (gone) continue;
        mine.live.erase(id);
        mine.finished.emplace(id, std::get<wire::FinishedRecord>(*item.value));
        jobs.push_back(id);
      } else if (item.key.starts_with(keys::kHost)) {
        const std::string id = item.key.substr(keys::kHost.size());
        const auto known = mine.hosts.find(id);
        if (known != mine.hosts.end() && known->second.version >= item.version) continue;
        const auto dead = mine.host_deleted.find(id);
        if (dead != mine.host_deleted.end() && dead->second >= item.version) continue;
        if (gone)
          mine.hosts.erase(id);
        else
          mine.hosts[id] = {std::get<HostRecord>(*item.value), item.version};
      } else if (item.key == keys::kLeader) {
        if (item.version <= mine.leader_seen) continue;
        mine.leader_seen = item.version;
        mine.leader = {};
        if (!gone) mine.leader = {std::get<wire::LeaderRecord>(*item.value), item.version};
        leader_changed = true;
      } else if (item.key == keys::kTerm) {
        if (gone || item.version <= mine.term.version) continue;
        mine.term = {std::get<wire::LeaderRecord>(*item.value), item.version};
        leader_changed = true;
      }
    }
    mine.revision = std::max(mine.revision, r.number);
    mine.known_at = std::max(mine.known_at, asked_at);
    const bool first = !mine.loaded;
    mine.loaded = true;
    if (leader_changed || first) on_leader_record(c, p);
    if (first) return on_all_job_records(p);
    for (const auto& id : jobs) on_job_record(p, id);
  }
  void on_leader_record(size_t c, Process& p) {
    const auto& leader = p.records.leader;
    p.leadership->saw_term(now_, std::max(leader.value.term, p.records.term.value.term));
    const bool mine = leader.version && leader.value.node == node_name(c);
    if (!mine || leader.value.nonce == p.nonce || p.revoked) return;
    p.revoked = true;
    revoke(c, leader.value.lease);
  }
  void revoke(size_t c, uint64_t lease) {
    ask_state(
        c, false,
        [this, lease] {
          state_.revoke(lease);
          return Reply{Outcome::Ok, 0, {}};
        },
        [](Process&, const Reply&) {});
  }
  void on_job_record(Process& p, const std::string& id) {
    if (!p.core) return;
    const auto it = p.records.live.find(id);
    if (it != p.records.live.end())
      p.core->job_stored(it->second.value, it->second.version, now_);
    else
      p.core->job_finished(id);
    p.core->hurry();
  }
  void on_all_job_records(Process& p) {
    if (!p.core) return;
    std::vector<std::string> finished;
    for (const auto& [known, job] : p.core->jobs())
      if (!p.records.live.count(known)) finished.push_back(known);
    for (const auto& gone : finished) p.core->job_finished(gone);
    for (const auto& [known, job] : p.records.live)
      p.core->job_stored(job.value, job.version, now_);
    p.core->hurry();
  }
  void wrote_job(Process& p, const JobRecord& record, uint64_t version) {
    if (p.records.finished.count(record.spec.id)) return;
    auto& slot = p.records.live[record.spec.id];
    if (slot.version >= version) return;
    slot = {record, version};
    on_job_record(p, record.spec.id);
  }
  void wrote_finished(Process& p, const std::string& id, const wire::FinishedRecord& record) {
    p.records.live.erase(id);
    p.records.finished.emplace(id, record);
    on_job_record(p, id);
  }

  // ---- controllers

  void begin_process(size_t c) {
    auto p = std::make_shared<Process>();
    controllers_[c].process = p;
    p->nonce = ++last_nonce_;
    p->served_at = now_;
    const Settings& s = controllers_[c].settings;
    p->delegate = std::make_unique<Delegate>(p->nonce, s.delegation_after_s(), s.answers_s());
    Leadership::Config config;
    config.lease = s.leader_lease_s();
    config.renew = s.renew_s();
    config.grace = s.answers_s();
    Leadership::Effects e;
    Process* me = p.get();
    e.grant = [this, c](Leadership::Campaign campaign, Seconds lease) {
      ask_state(
          c, false,
          [this, lease] {
            return Reply{Outcome::Ok, state_.grant(now_, lease), {}};
          },
          [this, campaign, asked = now_](Process& it, const Reply& r) {
            std::optional<uint64_t> id;
            if (r.outcome == Outcome::Ok) id = r.number;
            it.leadership->granted(now_, campaign, id, asked);
          });
    };
    e.elect = [this, c, me](Leadership::Campaign campaign, uint64_t lease) {
      elect(c, *me, campaign, lease);
    };
    e.renew = [this, c, s](uint64_t lease) {
      ask_state(
          c, false,
          [this, lease] {
            return Reply{state_.renew(lease, now_) ? Outcome::Ok : Outcome::Failed, 0, {}};
          },
          [this, lease, sent = now_](Process& it, const Reply& r) {
            it.leadership->renewed(now_, lease, sent, r.outcome == Outcome::Ok,
                                   r.outcome == Outcome::Failed);
          },
          s.renew_s());
    };
    e.changed = [this, c, me](Leadership::State from, Leadership::State to) {
      on_leadership(c, *me, from, to);
    };
    p->leadership = std::make_unique<Leadership>(config, e);
  }

  void elect(size_t c, Process& p, Leadership::Campaign campaign, uint64_t lease) {
    const uint64_t term = std::max(p.records.term.value.term, p.leadership->highest_term()) + 1;
    const wire::LeaderRecord record{node_name(c), p.nonce, term, lease};
    const Seconds end = now_ + controllers_[c].settings.leader_lease_s();
    ask_state(
        c, true,
        transaction({{keys::kLeader, 0}, {keys::kTerm, p.records.term.version}},
                    {{keys::kLeader, value(record), 0, lease}, {keys::kTerm, value(record), 0, 0}},
                    term, p.nonce),
        [this, c, campaign, record, lease, end](Process& me, const Reply& r) {
          if (r.outcome == Outcome::Ok) {
            me.records.leader_seen = std::max(me.records.leader_seen, r.number);
            me.records.leader = me.records.term = {record, r.number};
            return take_office(c, me, campaign, record.term, end);
          }
          revoke(c, lease);
          look(c, me, [this, campaign](Process& it, bool) {
            it.leadership->elected(now_, campaign, false, 0);
          });
        });
  }
  void take_office(size_t c, Process& p, Leadership::Campaign campaign, uint64_t term,
                   Seconds end) {
    look(c, p, [this, c, campaign, term, end](Process& me, bool fresh) {
      if (fresh) return me.leadership->elected(now_, campaign, true, term);
      if (now_ > end) return me.leadership->elected(now_, campaign, false, 0);
      to_process(
          c, controllers_[c].process, options_.lease_s * 0.005,
          [this, c, campaign, term, end](Process& it) { take_office(c, it, campaign, term, end); });
    });
  }
  void on_leadership(size_t c, Process& p, Leadership::State from, Leadership::State to) {
    if (to == Leadership::State::Follower) {
      to_process(c, controllers_[c].process, 0, [generation = p.generation](Process& me) {
        if (generation + 1 == me.generation &&
            me.leadership->state() == Leadership::State::Follower)
          me.core.reset();
      });
      ++p.generation;
      return;
    }
    if (to != Leadership::State::Leading || from == Leadership::State::Expired) return;
    ++p.generation;
    p.writing = false;
    p.peer_terms.clear();
    const Settings& s = controllers_[c].settings;
    p.core = std::make_unique<LeaderCore>(s, p.leadership->term(), now_, now_ + s.answers_s());
    p.core->set_types({type_});
    for (const auto& [id, host] : p.records.hosts) p.core->host_stored(host.value, now_);
    for (const auto& [id, job] : p.records.live) p.core->job_stored(job.value, job.version, now_);
    beat(c, p);
    for (const auto& [term, r] : kept_reports_) hear_copy(r, term);
    kept_reports_.clear();
  }

  bool leads(const Process& p) const { return p.core && p.leadership->may_act(now_); }

  void step_process(size_t c) {
    Process& p = *controllers_[c].process;
    if (!p.looking && now_ >= p.next_look) {
      p.looking = true;
      look(c, p, [this](Process& me, bool) {
        me.looking = false;
        me.next_look = now_ + between(0.05, 0.2);
      });
    }
    p.leadership->records_known(p.records.known_at);
    p.leadership->tick(now_, p.records.loaded, p.records.leader.version != 0, between(0, 1));
    if (leads(p) && p.core->unheard(now_)) {
      const uint64_t lease = p.leadership->lease();
      p.leadership->resign(now_, 2 * controllers_[c].settings.leader_lease_s());
      revoke(c, lease);
    }
    if (leads(p)) {
      for (const auto& action : p.core->tick(now_))
        std::visit([this, c, &p](const auto& a) { perform(c, p, a); }, action);
      write_records(c, p);
    }
    if (now_ >= p.next_beat) {
      p.next_beat = now_ + controllers_[c].settings.renew_s();
      beat(c, p);
    }
  }

  void write_records(size_t c, Process& p) {
    if (p.writing || !leads(p) || !p.records.loaded) return;
    const auto writes =
        p.core->wanted_writes(now_, static_cast<size_t>(controllers_[c].settings.state_txn_ops));
    if (writes.empty()) return;
    std::vector<StateService::Guard> guards{{keys::kTerm, p.records.term.version}};
    std::vector<StateService::Change> changes;
    for (const auto& w : writes) {
      if (!w.host.empty()) {
        changes.push_back(
            {keys::kHost + w.host, w.host_record ? value(*w.host_record) : value({}), 0, 0});
        continue;
      }
      guards.push_back({keys::kLive + w.job, w.version});
      if (w.finished) {
        changes.push_back({keys::kLive + w.job, value({}), 0, 0});
        changes.push_back({keys::kFinished + w.job,
                           value(wire::FinishedRecord{w.record->state, w.record->done.count()}), 0,
                           0});
      } else {
        changes.push_back({keys::kLive + w.job, value(*w.record), 0, 0});
      }
    }
    p.writing = true;
    ask_state(c, true, transaction(guards, changes, p.leadership->term(), p.nonce),
              [this, c, writes, generation = p.generation](Process& me, const Reply& r) {
                if (generation != me.generation || !me.core) return;
                records_written(c, me, writes, r);
              });
  }
  void records_written(size_t c, Process& p, const std::vector<RecordWrite>& writes,
                       const Reply& r) {
    const bool committed = r.outcome == Outcome::Ok;
    if (committed) {
      for (const auto& w : writes) {
        if (!w.host.empty()) {
          if (w.host_record) {
            p.records.hosts[w.host] = {*w.host_record, r.number};
          } else {
            p.records.hosts.erase(w.host);
            p.records.host_deleted[w.host] = r.number;
          }
        } else if (w.finished) {
          wrote_finished(p, w.job, {w.record->state, w.record->done.count()});
        } else {
          wrote_job(p, *w.record, r.number);
        }
      }
    }
    for (const auto& w : writes) p.core->write_done(w, committed, r.number, now_);
    if (committed) {
      p.writing = false;
      return p.core->hurry();
    }
    look(c, p, [generation = p.generation](Process& me, bool) {
      if (generation == me.generation) me.writing = false;
    });
  }

  // ---- controllers among themselves

  wire::Heartbeat own_heartbeat(size_t c, const Process& p) const {
    wire::Heartbeat h;
    h.node = node_name(c);
    h.term = p.leadership->highest_term();
    h.leading = p.core && p.leadership->may_answer(now_);
    h.status = p.delegate->status(now_);
    return h;
  }
  void hear(size_t c, Process& p, const wire::Heartbeat& h) {
    if (h.leading && h.term >= p.leader_term) {
      p.leader = static_cast<int>(node_of(h.node));
      p.leader_term = h.term;
      p.leader_heard = now_;
    }
    p.leadership->saw_term(now_, h.term);
    if (p.core)
      p.core->delegations().heard(h.node, controllers_[node_of(h.node)].settings.zone, h.status,
                                  now_);
    (void)c;
  }
  Seconds peers_apart_until(size_t a, size_t b) const {
    return std::max({controllers_[a].no_peers_until, controllers_[b].no_peers_until,
                     apart_until(controllers_[a].settings.zone, controllers_[b].settings.zone)});
  }
  void beat(size_t c, Process& p) {
    const wire::Heartbeat own = own_heartbeat(c, p);
    for (size_t o = 0; o < controllers_.size(); ++o) {
      if (o == c) continue;
      double delay = chance(0.02) ? between(0.1, 2) : between(0.001, 0.05);
      if (now_ < peers_apart_until(c, o)) {
        if (chance(0.5)) continue;
        delay += peers_apart_until(c, o) - now_;  // held on its way; must do no harm
      }
      const std::weak_ptr<Process> sender = controllers_[c].process;
      to_controller(o, delay, [this, c, o, own, sender, asked_at = now_](Process& other) {
        hear(o, other, own);
        wire::Heartbeat answer = own_heartbeat(o, other);
        const std::string& zone = controllers_[c].settings.zone;
        if (leads(other) && controllers_[o].settings.finds_delegate(zone))
          answer.delegation = other.core->delegations().delegate(
              own.node, zone, other.leadership->answers_until(), now_);
        if (now_ < peers_apart_until(c, o)) return;
        to_process(c, sender, between(0.001, chance(0.1) ? 2 : 0.1),
                   [this, c, o, answer, asked_at](Process& me) {
                     if (now_ - asked_at > 2 * controllers_[c].settings.renew_s()) return;
                     hear(c, me, answer);
                     if (answer.delegation)
                       me.delegate->delegated(*answer.delegation, asked_at, now_);
                     if (!me.core || answer.leading || answer.term < me.leadership->term()) return;
                     me.peer_terms[o] = answer.term;
                     if (me.peer_terms.size() + 1 == controllers_.size()) me.core->fenced(now_);
                   });
      });
    }
  }

  // ---- users' requests

  /// Any controller that users reach, beginning with one.
  int reachable(int via) {
    const int n = static_cast<int>(controllers_.size());
    const int first = via >= 0 ? via : static_cast<int>(any(static_cast<uint64_t>(n)));
    for (int i = 0; i < n; ++i) {
      const int c = (first + i) % n;
      if (controllers_[c].process && !zone_cut(controllers_[c].settings.zone)) return c;
    }
    return -1;
  }
  /// Asks a controller, and another one if that gives no answer; `serve` calls back with true once
  /// it has answered.
  using Answered = std::function<void(bool)>;
  void ask(int via, std::function<void(size_t, Process&, Answered)> serve,
           std::function<bool()> settled) {
    const int c = reachable(via);
    auto over = std::make_shared<bool>(false);
    auto again = [this, serve, settled, over, c] {
      if (*over || settled()) return;
      *over = true;
      later(between(1, 1.2), [this, serve, settled, c] {
        if (!settled())
          ask(c >= 0 ? (c + 1) % static_cast<int>(controllers_.size()) : -1, serve, settled);
      });
    };
    if (c < 0) return again();
    to_controller(static_cast<size_t>(c), between(0.001, 0.02), [c, serve, again](Process& p) {
      serve(static_cast<size_t>(c), p, [again](bool ok) {
        if (!ok) again();
      });
    });
    later(5, again);
  }
  void ask_to_accept(const std::string& id) {
    ask(
        -1,
        [this, id](size_t c, Process& p, Answered answered) {
          if (!p.records.loaded) return answered(false);
          JobRecord r;
          r.spec = truth_[id].spec;
          r.submitted_ms = static_cast<uint64_t>(now_ * 1000);
          if (p.records.live.count(id) || p.records.finished.count(id)) {
            truth_[id].accepted = true;
            return answered(true);
          }
          ask_state(c, true,
                    transaction({{keys::kLive + id, 0}, {keys::kFinished + id, 0}},
                                {{keys::kLive + id, value(r), 0, 0}}),
                    [this, id, r, answered](Process& me, const Reply& reply) {
                      if (reply.outcome == Outcome::Ok) wrote_job(me, r, reply.number);
                      if (reply.outcome != Outcome::Ok && reply.outcome != Outcome::Failed)
                        return answered(false);
                      truth_[id].accepted = true;
                      answered(true);
                    });
        },
        [this, id] { return truth_[id].accepted; });
  }
  void confirm(const std::string& id, JobState state) {
    Truth& j = truth_[id];
    if (state == JobState::Done) {
      if (j.done.size() < j.spec.tasks) note("not_done " + id);
      if (j.cancelled_at) note("went_back " + id);
      j.told_done = true;
    } else if (state == JobState::Cancelled) {
      if (!j.cancel_asked || j.told_done) note("went_back " + id);
      if (j.cancelled_at) return;
      j.cancelled_at = now_;
      ++cancellations_;
    }
  }
  void ask_to_cancel(const std::string& id, int via) {
    ask(
        via,
        [this, id](size_t c, Process& p, Answered answered) {
          serve_cancel(c, p, id, 0, std::move(answered));
        },
        [this, id] { return truth_[id].cancelled_at || truth_[id].told_done; });
  }
  void serve_cancel(size_t c, Process& p, const std::string& id, int tries, Answered answered) {
    const auto known = p.records.finished.find(id);
    if (known != p.records.finished.end()) {
      confirm(id, known->second.state);
      return answered(true);
    }
    if (!p.records.loaded) return answered(false);
    look(c, p, [this, c, id, tries, answered](Process& me, bool fresh) {
      if (!fresh) return answered(false);
      const auto over = me.records.finished.find(id);
      if (over != me.records.finished.end()) {
        confirm(id, over->second.state);
        return answered(true);
      }
      const auto live = me.records.live.find(id);
      if (live == me.records.live.end()) return answered(false);
      if (live->second.value.state != JobState::Pending) {
        confirm(id, live->second.value.state);
        return answered(true);
      }
      JobRecord cancelled = live->second.value;
      cancelled.state = JobState::Cancelled;
      ask_state(c, true,
                transaction({{keys::kLive + id, live->second.version}},
                            {{keys::kLive + id, value(cancelled), 0, 0}}),
                [this, c, id, cancelled, tries, answered](Process& it, const Reply& r) {
                  if (r.outcome == Outcome::Ok) {
                    wrote_job(it, cancelled, r.number);
                    confirm(id, JobState::Cancelled);
                    return answered(true);
                  }
                  if (r.outcome == Outcome::Failed && tries < 4)
                    return serve_cancel(c, it, id, tries + 1, answered);
                  answered(false);
                });
    });
  }

  // ---- the leader's hands

  /// Until when a controller and a machine can't speak.
  Seconds worker_apart_until(size_t c, const Worker& w) const {
    return std::max({controllers_[c].no_workers_until, w.cut_until,
                     apart_until(controllers_[c].settings.zone, w.zone)});
  }
  void perform(size_t c, Process& p, const SendOrders& o) {
    const auto to = workers_.find(o.machine);
    double delay = chance(0.01) ? between(0.5, 40) : between(0.001, 0.01);
    bool answer_lost = to == workers_.end() || chance(0.01);
    if (to != workers_.end()) {
      const Worker& w = to->second;
      if (now_ < w.deaf_until) delay = 1e9;  // lost
      if (now_ < worker_apart_until(c, w)) delay += worker_apart_until(c, w) - now_;
      if (now_ < w.held_until) {
        if (chance(0.5))
          delay += w.held_until - now_;
        else
          answer_lost = true;
      }
    }
    const std::weak_ptr<Process> who = controllers_[c].process;
    auto settled = std::make_shared<bool>(false);
    auto answer = [this, c, who, settled, machine = o.machine, generation = p.generation](
                      Seconds after, std::optional<WorkerReport> report, bool executed) {
      to_process(c, who, after,
                 [this, settled, machine, generation, report, executed](Process& me) {
                   if (*settled) return;
                   *settled = true;
                   if (generation != me.generation || !me.core) return;
                   if (report) me.leadership->saw_term(now_, report->token >> 20);
                   if (me.core) me.core->orders_done(machine, report, executed, now_);
                 });
    };
    const Seconds deadline = std::min(1.5, options_.lease_s * 0.2);
    answer(deadline, std::nullopt, false);
    if (delay < 1e6) carry_out(o, delay, now_, answer_lost, answer);
  }
  template <class F>
  void carry_out(const SendOrders& o, Seconds delay, Seconds sent, bool answer_lost, F answer) {
    later(delay, [this, o, sent, answer_lost, answer] {
      const auto it = workers_.find(o.machine);
      if (it == workers_.end() || now_ < it->second.up_at) return;
      Worker& w = it->second;
      if (now_ < w.hung_until) return carry_out(o, w.hung_until - now_, sent, answer_lost, answer);
      const bool executed = o.token >= w.token && o.session == w.session;
      if (now_ - sent > 2) ++late_orders_;
      if (executed) {
        w.token = o.token;
        if (now_ - sent > 2) ++late_orders_done_;
        execute(o.machine, w, o.commands, sent);
      }
      const WorkerReport report = report_of(o.machine, w);
      if (!answer_lost && now_ >= w.deaf_until) answer(between(0.001, 0.01), report, executed);
    });
  }

  void perform(size_t c, Process& p, const Probe& probe) {
    const auto it = workers_.find(probe.machine);
    const bool reached = it != workers_.end() && now_ >= it->second.up_at &&
                         now_ >= it->second.hung_until && now_ >= it->second.deaf_until &&
                         now_ >= it->second.held_until &&
                         now_ >= worker_apart_until(c, it->second) && !chance(0.02);
    std::optional<WorkerReport> report;
    if (!reached || chance(0.05))  // carried out late
      later(between(0.5, 40), [this, probe] {
        const auto w = workers_.find(probe.machine);
        if (w != workers_.end() && w->second.session == probe.session)
          w->second.token = std::max(w->second.token, probe.token);
      });
    if (reached) {
      if (probe.session == it->second.session)
        it->second.token = std::max(it->second.token, probe.token);
      report = report_of(probe.machine, it->second);
    }
    to_process(c, controllers_[c].process, reached ? between(0.001, 0.01) : options_.lease_s * 0.05,
               [this, machine = probe.machine, report, generation = p.generation](Process& me) {
                 if (generation != me.generation || !me.core) return;
                 if (report) me.leadership->saw_term(now_, report->token >> 20);
                 if (me.core) me.core->probed(machine, report, now_);
               });
  }

  void perform(size_t c, Process& p, const Rent& r) {
    const std::weak_ptr<Process> who = controllers_[c].process;
    later(between(0.05, 0.3), [this, c, who, r, generation = p.generation] {
      std::vector<std::string> ids;
      for (int i = 0; i < r.count && workers_.size() < options_.most_machines; ++i)
        ids.push_back(
            add_machine(now_ + between(options_.boot_least, options_.boot_most), r.zone, r.spot));
      to_process(c, who, 0.01, [this, r, ids, generation](Process& me) {
        if (generation != me.generation || !me.core) return;
        me.core->rent_done(
            r, ids.empty() ? LeaderCore::RentOutcome::Refused : LeaderCore::RentOutcome::Rented,
            ids, now_);
      });
    });
  }
  void perform(size_t c, Process& p, const Release& r) {
    const std::weak_ptr<Process> who = controllers_[c].process;
    const bool held = now_ < late_releases_until_;
    later(held ? between(5, 40) : between(0.05, 1), [this, r] {
      for (const auto& id : r.machines) workers_.erase(id);
    });
    const bool lost = held || chance(0.1);
    to_process(c, who, lost ? options_.lease_s * 0.5 : 1.01,
               [r, lost, generation = p.generation, this](Process& me) {
                 if (generation == me.generation && me.core) me.core->release_done(r, !lost, now_);
               });
  }

  // ---- workers

  std::string add_machine(Seconds up_at, std::string zone = "", bool spot = false) {
    const std::string id = "i-" + std::to_string(1000 + next_machine_++);
    Worker w;
    w.zone = !zone.empty() ? zone : (next_machine_ % 2 ? "east" : "west");
    w.spot = spot;
    w.up_at = w.session_began = up_at;
    w.node = any(controllers_.size());
    workers_[id] = w;
    return id;
  }

  WorkerReport report_of(const std::string& id, Worker& w) {
    WorkerReport r;
    r.machine = id;
    r.addr = id + ":1";
    r.type = "g";
    r.zone = w.zone;
    r.spot = w.spot;
    r.session = w.session;
    r.seq = ++w.seq;
    r.token = w.token;
    for (const auto& [key, t] : w.tasks) r.tasks.push_back({key, t.attempt, t.state, t.cause});
    return r;
  }

  void next_node(Worker& w) {
    w.waiting = false;
    w.node = (w.node + 1) % controllers_.size();
    w.next_report = now_ + 1;
  }

  void step_worker(const std::string& id, Worker& w) {
    if (now_ < w.up_at) return;
    // A hung machine goes on within its lease at the latest: past it nothing of its tasks is left.
    const Seconds since = w.answered_sent >= 0 ? w.answered_sent : w.session_began;
    if (now_ - since > options_.lease_s) {
      w.tasks.clear();
      ++w.session;
      w.session_began = now_;
      w.answered_sent = -1;
    }
    if (now_ < w.hung_until) return;
    for (auto& [key, t] : w.tasks) run_task(w, key, t);
    if (w.waiting && now_ - w.report_sent > 4) next_node(w);
    if (w.waiting || now_ < w.next_report) return;
    w.waiting = true;
    w.report_sent = now_;
    w.next_report = now_ + between(0.75, 1.25);
    const WorkerReport r = report_of(id, w);
    if (chance(0.01) || (now_ < copies_until_ && chance(copy_share_))) {
      if (now_ < copies_until_ && copies_for_next_)
        kept_reports_.emplace_back(highest_term(), r);
      else
        later(between(2, 2.5 * options_.lease_s),
              [this, r, term = highest_term()] { hear_copy(r, term); });
    }
    const size_t c = w.node;
    if (now_ < w.mute_until) return;  // no connection comes about
    const Seconds apart = worker_apart_until(c, w);
    double delay = between(0.001, 0.05);
    if (now_ < apart) {
      if (chance(0.7)) return;
      delay += apart - now_;  // held on its way
    }
    if (now_ < reports_slow_until_ && chance(0.5)) delay += between(0.2, 3.5);
    if (!controllers_[c].process) return next_node(w);
    to_controller(c, delay, [this, c, r, sent = now_](Process& p) { receive(c, p, r, sent); });
  }

  /// A late copy, at every controller.
  void hear_copy(const WorkerReport& r, uint64_t term_at_sending) {
    for (size_t c = 0; c < controllers_.size(); ++c)
      to_controller(c, between(0.001, 0.1), [this, r, term_at_sending](Process& p) {
        ++late_reports_heard_;
        if (p.core && p.leadership->may_answer(now_) && p.leadership->term() > term_at_sending)
          ++late_reports_to_new_leader_;
        answer_report(p, r, nullptr);
      });
  }

  struct ReportReply {
    int status = 421;
    int leader = -1;
    uint64_t token = 0;
    std::vector<Command> commands;
  };
  ReportReply answer_report(Process& p, const WorkerReport& r, const Settings* delegate_of) {
    ReportReply out;
    p.leadership->saw_term(now_, r.token >> 20);
    if (!p.core || !p.leadership->may_answer(now_)) {
      if (delegate_of && may_be_delegate(p, r, *delegate_of)) {
        const auto stops = p.delegate->answer(
            r, p.leadership->highest_term(), p.records.known_at,
            [&p](const std::string& id) { return ended(p.records, id); }, now_);
        if (stops) {
          ++delegated_;
          out.status = 200;
          out.token = r.token;
          out.commands = *stops;
          return out;
        }
      }
      const bool record_newer = p.records.leader.value.term > p.leader_term;
      if (record_newer)
        out.leader = static_cast<int>(node_of(p.records.leader.value.node));
      else if (now_ - p.leader_heard < 4 * settings().renew_s())
        out.leader = p.leader;
      return out;
    }
    const auto answer = p.core->report(r, p.leadership->may_act(now_), now_);
    out.status = answer.fresh ? 200 : 503;
    out.token = answer.token;
    out.commands = answer.commands;
    return out;
  }
  bool may_be_delegate(const Process& p, const WorkerReport& r, const Settings& s) const {
    return p.leadership->state() == Leadership::State::Follower && r.zone == s.zone &&
           now_ - p.served_at > s.delegation_after_s();
  }
  static bool ended(const Records& records, const std::string& id) {
    const auto live = records.live.find(id);
    return live != records.live.end() ? live->second.value.state != JobState::Pending
                                      : records.finished.count(id) > 0;
  }

  void receive(size_t c, Process& p, const WorkerReport& r, Seconds sent) {
    const ReportReply reply = answer_report(p, r, &controllers_[c].settings);
    const auto from = workers_.find(r.machine);
    if (from == workers_.end() || chance(0.01) || now_ < worker_apart_until(c, from->second))
      return;
    later(between(0.001, chance(0.03) ? 3.9 : 0.05),
          [this, c, r, reply, sent, ordered = now_] { hear_reply(c, r, reply, sent, ordered); });
  }
  void hear_reply(size_t c, const WorkerReport& r, const ReportReply& reply, Seconds sent,
                  Seconds ordered) {
    const auto it = workers_.find(r.machine);
    if (it == workers_.end()) return;
    Worker& w = it->second;
    if (now_ < w.deaf_until || !w.waiting || w.report_sent != sent) return;
    if (now_ < w.hung_until) {
      if (w.hung_until - sent < 4)
        later(w.hung_until - now_ + 0.001,
              [this, c, r, reply, sent, ordered] { hear_reply(c, r, reply, sent, ordered); });
      return;
    }
    if (now_ - sent > 4) return;
    if (reply.status != 200) {
      const bool named = reply.status == 421 && reply.leader >= 0 &&
                         static_cast<size_t>(reply.leader) != c &&
                         static_cast<size_t>(reply.leader) < controllers_.size();
      if (!named) return next_node(w);
      w.waiting = false;
      w.node = static_cast<size_t>(reply.leader);
      w.next_report = now_ + between(0, 0.5);
      return;
    }
    w.waiting = false;
    if (w.session != r.session || reply.token < w.token) return;
    w.answered_sent = sent;
    if (reply.token > w.token) w.next_report = std::min(w.next_report, now_ + 0.5);
    w.token = reply.token;
    execute(r.machine, w, reply.commands, ordered);
  }

  void execute(const std::string& id, Worker& w, const std::vector<Command>& commands,
               Seconds ordered) {
    for (const auto& c : commands) {
      auto it = w.tasks.find(c.key);
      if (c.verb == Verb::Start) {
        if (it != w.tasks.end() && it->second.attempt == c.attempt) continue;
        if (it != w.tasks.end() && it->second.state != TaskState::Exited) continue;
        w.tasks[c.key] = {c.attempt, TaskState::Fetching, ExitCause::None,
                          now_ + between(options_.fetch_least, options_.fetch_most)};
        check_start(id, w, c.key, ordered);
      } else if (it == w.tasks.end() || it->second.attempt != c.attempt) {
        continue;
      } else if (c.verb == Verb::Stop) {
        if (it->second.state == TaskState::Exited) continue;
        it->second.state = TaskState::Exited;
        it->second.cause = ExitCause::Stopped;
      } else if (it->second.state == TaskState::Exited) {
        w.tasks.erase(it);
      }
    }
  }

  void run_task(Worker& w, const TaskKey& key, Task& t) {
    if (t.state == TaskState::Exited || now_ < t.next) return;
    if (t.state == TaskState::Fetching) {
      t.state = TaskState::Running;
      Truth& begun = truth_[key.job];
      if (!begun.began_at) begun.began_at = now_;
      t.next = now_ + between(options_.task_least, options_.task_most);
      if (!w.sick) return;
      t.state = TaskState::Exited;
      t.cause = ExitCause::Error;
      return;
    }
    Truth& j = truth_[key.job];
    if (j.spec.kind == JobKind::Service) return;
    t.state = TaskState::Exited;
    t.cause = ExitCause::Done;
    if (j.spec.kind == JobKind::Gang)
      for (uint32_t i = 0; i < j.spec.tasks; ++i) j.done.insert(i);
    j.done.insert(key.task);
  }

  // ---- the checker

  template <class F>
  void each_present(F&& f) {
    for (const auto& [id, w] : workers_)
      for (const auto& [key, t] : w.tasks)
        if (t.state != TaskState::Exited) f(id, w, key);
  }

  void check_start(const std::string& id, const Worker& w, const TaskKey& key, Seconds ordered) {
    ++starts_;
    const Truth& j = truth_[key.job];
    if (j.cancelled_at && ordered > *j.cancelled_at) {
      ++starts_after_cancel_;
      ordered_after_cancel_ = std::max(ordered_after_cancel_, ordered - *j.cancelled_at);
    }
    std::map<std::string, uint32_t> zones;
    each_present([&](const std::string& other, const Worker& ow, const TaskKey& ok) {
      if (ok == key && other != id) note("ran_twice", key, id + " and " + other);
      if (ok.job == key.job) ++zones[ow.zone];
    });
    if (j.spec.spread && zones[w.zone] > (j.spec.tasks + 1) / 2) note("wrong_place", key, id);
    if (j.spec.one_zone && zones.size() > 1) note("wrong_place", key, id);
    if (j.spec.zone && *j.spec.zone != w.zone) note("wrong_place", key, id);
    if (w.spot && !j.spec.spot) note("wrong_place", key, id);
  }

  void check_standing_rules() {
    std::map<std::string, double> gpus;
    each_present([&](const std::string& id, const Worker&, const TaskKey& key) {
      const Truth& j = truth_[key.job];
      gpus[j.spec.team] += j.spec.need.gpus;
      // A hung machine and a cut one have no time on top.
      if (j.cancelled_at && now_ > *j.cancelled_at + options_.cancel_s)
        note("ran_cancelled", key, id);
    });
    if (gpus["limited"] > 6) note("quota", {"limited", 0}, "all");
  }

  void check_records(const std::vector<StateService::Change>& changes) {
    for (const auto& c : changes) {
      JobState state;
      std::string id;
      if (const auto* live = std::get_if<JobRecord>(c.value.get())) {
        id = live->spec.id;
        state = live->state;
      } else if (const auto* finished = std::get_if<wire::FinishedRecord>(c.value.get())) {
        id = c.key.substr(keys::kFinished.size());
        state = finished->state;
      } else {
        continue;
      }
      const Truth& j = truth_[id];
      if (state == JobState::Done && j.done.size() < j.spec.tasks) note("not_done " + id);
      if (state != JobState::Cancelled && j.cancelled_at) note("went_back " + id);
      if (state != JobState::Done && j.told_done) note("went_back " + id);
      if (state == JobState::Cancelled && !j.cancel_asked) note("went_back " + id);
    }
  }

  /// Once the troubles are over: nobody waits for 90 s beside room that fits.
  void check_waiting() {
    if (quiet_since_ < 0) return;
    std::map<std::string, double> team;
    std::map<std::string, Amounts> used;
    std::map<std::string, std::map<std::string, uint32_t>> zones;
    std::set<TaskKey> present;
    each_present([&](const std::string& id, const Worker& w, const TaskKey& key) {
      const JobSpec& spec = truth_[key.job].spec;
      team[spec.team] += spec.need.gpus;
      used[id] += spec.need;
      ++zones[key.job][w.zone];
      present.insert(key);
    });
    for (auto& [id, j] : truth_) {
      size_t absent = 0;
      for (uint32_t i = 0; i < j.spec.tasks; ++i)
        if (!j.done.count(i) && !present.count({id, i})) ++absent;
      const size_t wants = j.spec.kind == JobKind::Gang ? absent : std::min<size_t>(absent, 1);
      std::map<std::string, size_t> places;
      size_t all = 0;
      for (const auto& [machine, w] : workers_) {
        if (now_ < w.up_at + 5 || w.sick || (w.spot && !j.spec.spot)) continue;
        if (j.spec.zone && *j.spec.zone != w.zone) continue;
        if (j.spec.spread && zones[id][w.zone] >= j.spec.zone_limit()) continue;
        if (j.spec.one_zone && zones[id].size() == 1 && !zones[id].count(w.zone)) continue;
        Amounts room = type_.room;
        room -= used[machine];
        while (j.spec.need.fits_in(room)) {
          room -= j.spec.need;
          ++places[w.zone], ++all;
        }
      }
      if (j.spec.one_zone) all = std::max(places["east"], places["west"]);
      const bool limited = j.spec.team == "limited" &&
                           team["limited"] + static_cast<double>(wants) * j.spec.need.gpus > 6;
      const bool could = j.accepted && !j.cancel_asked && absent > 0 && all >= wants && !limited;
      if (!could)
        j.waits_since = -1;
      else if (j.waits_since < 0)
        j.waits_since = now_;
      else if (now_ - j.waits_since > 90)
        note("waits " + id), j.waits_since = now_;
    }
  }

  // ---- generated troubles

  void make_trouble() {
    const int c = leader() >= 0 && chance(0.7) ? leader() : static_cast<int>(any(controllers()));
    if (chance(0.0015)) end_process(c, between(0.1, 6));
    if (chance(0.001)) stand_still(c, between(1, 20));
    if (chance(0.001)) refuse(c, between(1, 30));
    if (chance(0.001)) {
      const uint64_t which = 1 + any(7);
      const Seconds span = between(1, 30);
      if (which & 1) cut_from_state(c, span);
      if (which & 2) cut_from_peers(c, span);
      if (which & 4) cut_from_workers(c, span);
    }
    if (chance(0.0002))
      for (size_t o = 0; o < controllers(); ++o)
        end_process(static_cast<int>(o), between(0.2, 1) * (chance(0.3) ? 20 : 1));
    if (chance(0.0004)) outage(between(1, 40));
    if (chance(0.0006)) slow(between(2, 20));
    if (chance(0.0006)) late_writes(0.3, between(2, 20));
    if (chance(0.0006)) lost_answers(0.3, between(2, 20));
    if (chance(0.0006)) late_reports(0.3, between(2, 20), chance(0.5));
    if (chance(0.0005)) cut_zone(chance(0.5) ? "east" : "west", between(5, 40));
    if (chance(0.001)) late_releases(between(5, 60));
    if (workers_.empty()) return;
    const auto ids = machines();
    if (!ids.empty()) {
      const std::string& id = ids[any(ids.size())];
      if (chance(0.004)) hang(id, between(1, 25));
      if (chance(0.004)) cut(id, between(1, 25));
      if (chance(0.003)) deafen(id, between(1, 25));
      if (chance(0.001)) mute(id, between(1, 25));
      if (chance(0.002)) hold_orders(id, between(1, 60));
      if (chance(0.001)) workers_[id].sick = true;
      if (chance(0.001)) lose_machine(id);
    }
    if (workers_.size() < 3) add_machine(now_ + 1);
  }

  std::mt19937_64 rng_;
  WorldOptions options_;
  MachineType type_;
  Seconds now_ = 100;
  std::multimap<Seconds, std::function<void()>> mail_;
  StateService state_;
  std::vector<Controller> controllers_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, Truth> truth_;
  std::map<uint64_t, uint64_t> terms_;  ///< term -> the process that wrote under it
  std::map<std::string, Seconds> zone_cut_until_;
  std::vector<std::pair<uint64_t, WorkerReport>> kept_reports_;  ///< with the term at sending
  uint64_t last_nonce_ = 0;
  int next_machine_ = 0;
  Seconds outage_until_ = -1, slow_until_ = -1, late_until_ = -1, lost_until_ = -1,
          copies_until_ = -1, reports_slow_until_ = -1, late_releases_until_ = -1,
          quiet_since_ = -1, next_wait_check_ = 0;
  double late_share_ = 0, lost_share_ = 0, copy_share_ = 0;
  bool copies_for_next_ = false;
  std::vector<std::string> broken_;
  size_t starts_ = 0, delegated_ = 0, cancellations_ = 0, starts_after_cancel_ = 0,
         late_writes_applied_ = 0, late_writes_tried_ = 0, answers_lost_ = 0,
         late_reports_heard_ = 0, late_reports_to_new_leader_ = 0, late_orders_ = 0,
         late_orders_done_ = 0;
  Seconds ordered_after_cancel_ = 0;
};

}  // namespace sumacquay
