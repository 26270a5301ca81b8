// Generated histories in virtual time: leaders that fail and return, workers that hang, are cut off
// or fail tasks, messages that are lost, doubled and late. An independent checker, which sees only
// what happens on the machines, watches over the rules.
#include <gtest/gtest.h>

#include <random>

#include "dispatch/leader_core.h"

namespace sumacquay {
namespace {

Settings world_settings() {
  Settings s;
  s.node = "n0";
  s.report_s = 1;
  s.lease_s = 10;
  s.cancel_s = 22;  // hardly two leases: whoever answers for too long is found out
  s.list_lag_s = 2;
  s.state_txn_ops = 12;
  TeamSettings limited;
  limited.name = "limited";
  limited.gpus = 4;
  limited.gpus_max = 6;
  TeamSettings open;
  open.name = "open";
  s.teams = {limited, open};
  return s;
}

MachineType world_type() {
  MachineType t;
  t.name = "g";
  t.room = {16, 4, 64};
  t.zones = {"east", "west"};
  t.boot_s = 5;
  t.price = 10;
  t.spot_price = 3;
  return t;
}

class World {
 public:
  explicit World(uint64_t seed) : rng_(seed), settings_(world_settings()), type_(world_type()) {
    for (int i = 0; i < 4; ++i) add_machine(now_);
    elect();
  }

  void run(Seconds troubles, Seconds quiet) {
    while (now_ < troubles + quiet) {
      now_ += 0.05;
      deliver();
      const bool trouble = now_ < troubles;
      if (trouble)
        make_trouble();
      else if (!core_)
        elect();
      if (now_ < troubles * 0.7 && chance(0.02)) submit();
      for (auto& zone : type_.zones) talk_to_delegate(zone);
      for (auto& [id, w] : workers_) step_worker(id, w);
      if (core_ && now_ < acts_until_) step_leader();
      check_standing_rules();
    }
  }

  size_t unfinished() const {
    size_t n = 0;
    for (const auto& [id, j] : truth_)
      if (!j.cancelled_at && j.done.size() < j.spec.tasks) ++n;
    return n;
  }
  size_t submitted() const { return truth_.size(); }
  size_t starts() const { return starts_; }
  size_t delegated() const { return delegated_; }
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
    Seconds hung_until = -1, cut_until = -1, deaf_until = -1;
    bool sick = false;
    uint64_t session = 1, seq = 0, token = 0;
    Seconds answered_sent = -1;
    bool waiting = false;
    Seconds report_sent = 0;
    std::map<TaskKey, Task> tasks;
  };
  struct Truth {
    JobSpec spec;
    std::set<uint32_t> done;
    std::optional<Seconds> cancelled_at;
  };

  bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(rng_) < p; }
  double between(double a, double b) { return std::uniform_real_distribution<double>(a, b)(rng_); }
  void later(Seconds delay, std::function<void()> f) { mail_.emplace(now_ + delay, std::move(f)); }
  void deliver() {
    while (!mail_.empty() && mail_.begin()->first <= now_) {
      auto f = std::move(mail_.begin()->second);
      mail_.erase(mail_.begin());
      f();
    }
  }
  void note(const std::string& rule, const TaskKey& key, const std::string& where) {
    broken_.push_back(rule + " " + key.job + "/" + std::to_string(key.task) + " on " + where +
                      " at " + std::to_string(now_));
  }

  // ---- users and the state service

  void submit() {
    JobSpec s;
    s.id = "job-" + std::to_string(truth_.size() + 1);
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
    truth_[s.id].spec = s;
    JobRecord r;
    r.spec = s;
    r.submitted_ms = static_cast<uint64_t>(now_ * 1000);
    store_[s.id] = {r, ++revision_};
    tell_leader(s.id);
    if (s.kind == JobKind::Service || chance(0.2))
      later(between(1, 60), [this, id = s.id] { cancel(id); });
  }

  void cancel(const std::string& id) {
    const auto it = store_.find(id);
    if (it == store_.end() || it->second.first.state != JobState::Pending) return;
    it->second.first.state = JobState::Cancelled;
    it->second.second = ++revision_;
    truth_[id].cancelled_at = now_;
    tell_leader(id);
  }

  void tell_leader(const std::string& id) {
    later(between(0, 0.2), [this, id, term = term_] {
      const auto it = store_.find(id);
      if (core_ && term == term_ && it != store_.end())
        core_->job_stored(it->second.first, it->second.second, now_);
    });
  }

  // ---- leaders

  void elect() {
    ++term_;
    // The one before may answer workers for the grace, as long as nobody has told it better.
    zombie_ = std::move(core_);
    zombie_until_ = zombie_ ? now_ + settings_.answers_s() : 0;
    if (chance(0.5)) zombie_.reset();
    core_ = std::make_unique<LeaderCore>(settings_, term_, now_, now_ + settings_.answers_s());
    core_->set_types({type_});
    for (const auto& [id, host] : hosts_) core_->host_stored(host, now_);
    for (const auto& [id, r] : store_) core_->job_stored(r.first, r.second, now_);
    acts_until_ = now_ + 1e9;
    writing_ = false;
  }

  // ---- nodes that answer a zone's workers in the leader's place

  struct Follower {
    std::optional<Delegate> delegate;
    uint64_t process = 0, highest_term = 0;
    Seconds next = 0, cut_until = -1;
  };

  void talk_to_delegate(const std::string& zone) {
    Follower& f = followers_[zone];
    if (!f.delegate || chance(0.0005))
      f.delegate.emplace(++f.process + (zone == "east" ? 0 : 1000), settings_.delegation_after_s());
    if (now_ < f.next) return;
    f.next = now_ + settings_.renew_s();
    // Held back for the time of the cut, or a little; what comes late must do no harm.
    const double delay = now_ < f.cut_until ? f.cut_until - now_ : between(0.001, 0.1);
    later(delay,
          [this, zone, asked_at = now_, process = f.process, status = f.delegate->status(now_)] {
            if (!core_ || now_ >= acts_until_) return;
            core_->delegations().heard("node-" + zone, zone, status, now_);
            const auto p = core_->delegations().delegate("node-" + zone, zone,
                                                         now_ + settings_.answers_s(), now_);
            later(between(0.001, chance(0.1) ? 2 : 0.1), [this, zone, asked_at, process, p] {
              Follower& to = followers_[zone];
              if (to.process != process || now_ < to.cut_until) return;
              to.highest_term = std::max(to.highest_term, p.term);
              to.delegate->delegated(p, asked_at, now_);
            });
          });
  }

  /// The report of a worker that hears nobody but the node of its zone.
  void ask_delegate(Worker& w, const WorkerReport& r, Seconds sent) {
    Follower& f = followers_[w.zone];
    if (r.token == 0 || !f.delegate || !f.delegate->in_place(f.highest_term, now_)) return;
    f.delegate->answered(now_);
    ++delegated_;
    w.waiting = false;
    w.answered_sent = sent;
  }

  void step_leader() {
    for (const auto& action : core_->tick(now_))
      std::visit([this](const auto& a) { perform(a); }, action);
    if (writing_) return;
    const auto writes = core_->wanted_writes(now_, 12);
    if (writes.empty()) return;
    writing_ = true;
    // Applied late now and then, or with the answer lost.
    later(between(0.005, chance(0.05) ? 3 : 0.05), [this, writes, term = term_] {
      const bool lost = chance(0.05);
      const bool committed = term == term_ && apply(writes);
      const uint64_t revision = revision_;
      later(between(0.005, 0.05), [this, writes, term, committed, lost, revision] {
        if (term != term_ || !core_) return;
        writing_ = false;
        if (committed && !lost) {
          for (const auto& w : writes) core_->write_done(w, true, revision, now_);
          return;
        }
        for (const auto& w : writes) {
          core_->write_done(w, false, 0, now_);
          const auto it = store_.find(w.job);
          if (!w.job.empty() && it != store_.end())
            core_->job_stored(it->second.first, it->second.second, now_);
          else if (!w.job.empty())
            core_->job_finished(w.job);
        }
      });
    });
  }

  bool apply(const std::vector<RecordWrite>& writes) {
    for (const auto& w : writes) {
      if (w.job.empty()) continue;
      const auto it = store_.find(w.job);
      if (it == store_.end() || it->second.second != w.version) return false;
    }
    ++revision_;
    for (const auto& w : writes) {
      if (!w.host.empty()) {
        if (w.host_record)
          hosts_[w.host] = *w.host_record;
        else
          hosts_.erase(w.host);
        continue;
      }
      const auto& t = truth_[w.job];
      if (w.record->state == JobState::Done && t.done.size() < t.spec.tasks)
        broken_.push_back("not_done " + w.job);
      if (w.finished)
        store_.erase(w.job);
      else
        store_[w.job] = {*w.record, revision_};
    }
    return true;
  }

  void perform(const SendOrders& o) {
    double delay = chance(0.1) ? between(0.5, 40) : between(0.001, 0.01);
    const auto to = workers_.find(o.machine);
    if (to != workers_.end()) delay += std::max(0.0, followers_[to->second.zone].cut_until - now_);
    const bool timed_out = delay > 1.4;
    later(delay, [this, o, timed_out, term = term_] {
      auto it = workers_.find(o.machine);
      std::optional<WorkerReport> report;
      bool executed = false;
      if (it != workers_.end() && now_ >= it->second.hung_until && now_ >= it->second.up_at) {
        Worker& w = it->second;
        executed = o.token >= w.token && o.session == w.session;
        if (executed) {
          w.token = o.token;
          execute(o.machine, w, o.commands);
        }
        report = report_of(o.machine, w);
      }
      const bool answer_lost = chance(0.05) || it == workers_.end() || now_ < it->second.deaf_until;
      if (timed_out) return;
      later(answer_lost ? 1.4 : between(0.001, 0.01),
            [this, o, report, executed, answer_lost, term] {
              if (!core_ || term != term_) return;
              core_->orders_done(o.machine, answer_lost ? std::nullopt : report,
                                 executed && !answer_lost, now_);
            });
    });
    if (timed_out)
      later(1.4, [this, o, term = term_] {
        if (core_ && term == term_) core_->orders_done(o.machine, std::nullopt, false, now_);
      });
  }

  void perform(const Probe& p) {
    const auto it = workers_.find(p.machine);
    const bool reached = it != workers_.end() && now_ >= it->second.up_at &&
                         now_ >= it->second.hung_until && now_ >= it->second.deaf_until &&
                         now_ >= followers_[it->second.zone].cut_until && !chance(0.05);
    std::optional<WorkerReport> report;
    if (chance(0.1))  // carried out late
      later(between(0.5, 40), [this, p] {
        const auto w = workers_.find(p.machine);
        if (w != workers_.end() && w->second.session == p.session)
          w->second.token = std::max(w->second.token, p.token);
      });
    if (reached) {
      if (p.session == it->second.session) it->second.token = std::max(it->second.token, p.token);
      report = report_of(p.machine, it->second);
    }
    later(reached ? between(0.001, 0.01) : 0.5, [this, p, report, term = term_] {
      if (core_ && term == term_) core_->probed(p.machine, report, now_);
    });
  }

  void perform(const Rent& r) {
    later(between(0.05, 0.3), [this, r, term = term_] {
      std::vector<std::string> ids;
      for (int i = 0; i < r.count && workers_.size() < 8; ++i)
        ids.push_back(add_machine(now_ + between(2, 6), r.zone, r.spot));
      if (!core_ || term != term_) return;
      core_->rent_done(
          r, ids.empty() ? LeaderCore::RentOutcome::Refused : LeaderCore::RentOutcome::Rented, ids,
          now_);
    });
  }

  void perform(const Release& r) {
    later(between(0.05, 1), [this, r, term = term_] {
      for (const auto& id : r.machines) workers_.erase(id);
      const bool lost = chance(0.1);
      if (core_ && term == term_) core_->release_done(r, !lost, now_);
    });
  }

  // ---- workers

  std::string add_machine(Seconds up_at, std::string zone = "", bool spot = false) {
    const std::string id = "i-" + std::to_string(1000 + next_machine_++);
    Worker w;
    w.zone = !zone.empty() ? zone : (next_machine_ % 2 ? "east" : "west");
    w.spot = spot;
    w.up_at = w.session_began = up_at;
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

  void step_worker(const std::string& id, Worker& w) {
    if (now_ < w.up_at) return;
    // A hung machine goes on within its lease at the latest: past it nothing of its tasks is left.
    const Seconds since = w.answered_sent >= 0 ? w.answered_sent : w.session_began;
    if (now_ - since > settings_.lease_s) {
      w.tasks.clear();
      ++w.session;
      w.session_began = now_;
      w.answered_sent = -1;
      w.waiting = false;
    }
    if (now_ < w.hung_until) return;
    for (auto& [key, t] : w.tasks) run_task(id, w, key, t);
    if (w.waiting && now_ - w.report_sent > 4) w.waiting = false;
    if (w.waiting || now_ < w.next_report) return;
    w.waiting = true;
    w.report_sent = now_;
    w.next_report = now_ + between(0.75, 1.25);
    const WorkerReport r = report_of(id, w);
    if (now_ < followers_[w.zone].cut_until) return ask_delegate(w, r, now_);
    const double delay = now_ < w.cut_until ? between(3, 20) : between(0.001, 0.05);
    later(delay, [this, r, sent = now_] { receive(r, sent, true); });
    if (chance(0.02)) later(delay + between(0.1, 30), [this, r] { receive(r, 0, false); });
  }

  void receive(const WorkerReport& r, Seconds sent, bool original) {
    LeaderCore* to = core_.get();
    bool may_act = core_ && now_ < acts_until_;
    // Some workers still talk to the leader before.
    if (zombie_ && now_ < zombie_until_ && chance(0.5)) {
      if ((r.token >> 20) > zombie_->term())
        zombie_.reset();
      else
        to = zombie_.get(), may_act = false;
    }
    if (!to) return;
    const auto answer = to->report(r, may_act, now_);
    if (!answer.fresh || !original) return;
    const bool lost = chance(0.02);
    later(between(0.001, chance(0.03) ? 3.9 : 0.05), [this, r, answer, sent, lost] {
      const auto it = workers_.find(r.machine);
      if (it == workers_.end() || lost) return;
      Worker& w = it->second;
      if (now_ < w.hung_until || now_ < w.deaf_until || !w.waiting || w.report_sent != sent) return;
      w.waiting = false;
      if (w.session != r.session || answer.token < w.token) return;
      w.answered_sent = sent;
      if (answer.token > w.token) w.next_report = std::min(w.next_report, now_ + 0.5);
      w.token = answer.token;
      execute(r.machine, w, answer.commands);
    });
  }

  void execute(const std::string& id, Worker& w, const std::vector<Command>& commands) {
    for (const auto& c : commands) {
      auto it = w.tasks.find(c.key);
      if (c.verb == Verb::Start) {
        if (it != w.tasks.end() && it->second.attempt == c.attempt) continue;
        if (it != w.tasks.end() && it->second.state != TaskState::Exited) continue;
        w.tasks[c.key] = {c.attempt, TaskState::Fetching, ExitCause::None, now_ + between(0.1, 1)};
        check_start(id, w, c.key);
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

  void run_task(const std::string&, Worker& w, const TaskKey& key, Task& t) {
    if (t.state == TaskState::Exited || now_ < t.next) return;
    if (t.state == TaskState::Fetching) {
      t.state = TaskState::Running;
      t.next = now_ + between(2, 15);
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

  void check_start(const std::string& id, const Worker& w, const TaskKey& key) {
    ++starts_;
    const Truth& j = truth_[key.job];
    std::map<std::string, uint32_t> zones;
    each_present([&](const std::string& other, const Worker& ow, const TaskKey& ok) {
      if (ok == key && other != id) note("ran_twice", key, id + " and " + other);
      if (ok.job == key.job) ++zones[ow.zone];
    });
    if (j.spec.spread && zones[w.zone] > (j.spec.tasks + 1) / 2) note("wrong_place", key, id);
    if (j.spec.one_zone && zones.size() > 1) note("wrong_place", key, id);
    if (w.spot && !j.spec.spot) note("wrong_place", key, id);
  }

  void check_standing_rules() {
    std::map<std::string, double> gpus;
    each_present([&](const std::string& id, const Worker&, const TaskKey& key) {
      const Truth& j = truth_[key.job];
      gpus[j.spec.team] += j.spec.need.gpus;
      // A hung machine and a cut one have the time until their lease ends on top.
      if (j.cancelled_at && now_ > *j.cancelled_at + settings_.cancel_s)
        note("ran_cancelled", key, id);
    });
    if (gpus["limited"] > 6) note("quota", {"limited", 0}, "all");
  }

  // ---- troubles

  void make_trouble() {
    if (chance(0.004)) elect();
    if (core_ && chance(0.002)) {
      core_.reset();  // the process ends; the next election is seconds away
      later(between(1, 6), [this] {
        if (!core_) elect();
      });
    }
    if (chance(0.0005)) followers_[chance(0.5) ? "east" : "west"].cut_until = now_ + between(5, 40);
    if (workers_.empty()) return;
    auto w = std::next(workers_.begin(), static_cast<long>(rng_() % workers_.size()));
    if (chance(0.004)) w->second.hung_until = now_ + between(1, 25);
    if (chance(0.004)) w->second.cut_until = now_ + between(1, 25);
    if (chance(0.003)) w->second.deaf_until = now_ + between(1, 25);
    if (chance(0.001)) w->second.sick = true;
    if (chance(0.001)) workers_.erase(w);
    if (workers_.size() < 3) add_machine(now_ + 1);
  }

  std::mt19937_64 rng_;
  Settings settings_;
  MachineType type_;
  Seconds now_ = 100;
  std::multimap<Seconds, std::function<void()>> mail_;
  std::map<std::string, std::pair<JobRecord, uint64_t>> store_;
  std::map<std::string, HostRecord> hosts_;
  uint64_t revision_ = 1, term_ = 0;
  std::unique_ptr<LeaderCore> core_, zombie_;
  Seconds acts_until_ = 0, zombie_until_ = 0;
  bool writing_ = false;
  int next_machine_ = 0;
  std::map<std::string, Worker> workers_;
  std::map<std::string, Truth> truth_;
  std::vector<std::string> broken_;
  std::map<std::string, Follower> followers_;  ///< by zone
  size_t starts_ = 0, delegated_ = 0;
};

TEST(Histories, KeepTheRulesAndFinishTheWorkOnceTroublesAreOver) {
  size_t starts = 0, jobs = 0, delegated = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    World world(seed);
    world.run(300, 250);
    EXPECT_EQ(world.broken(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(world.unfinished(), 0u) << "seed " << seed;
    starts += world.starts();
    delegated += world.delegated();
    jobs += world.submitted();
    if (HasFailure()) break;
  }
  // A history in which little happens checks little.
  EXPECT_GT(jobs, 1000u);
  EXPECT_GT(starts, 3000u);
  EXPECT_GT(delegated, 150u);
}

}  // namespace
}  // namespace sumacquay
