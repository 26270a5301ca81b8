#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "dispatch/leader_core.h"

namespace sumacquay {
namespace {

/// Both clocks may drift; a little is added for what the arithmetic leaves out.
constexpr double kDrift = 0.002;
/// Boot times past which a machine counts as one that never comes up: the first if one of its type
/// that was rented later is up, the second if none is, for then it may be that all are slow.
constexpr double kOverdue = 1.8;
constexpr double kAllSlow = 3.5;
/// Seconds for which the cloud is not asked again for what it refused, doubling each time.
constexpr double kRefusal = 5;
constexpr int kMostRented = 12;
/// Machines that are never silent together by chance, the silence of all that shows it / report
/// period, and the time that workers need to find a new leader / their lease.
constexpr size_t kSeveral = 3;
/// The pause between two ticks that shows this process to have stood still / workers' lease.
constexpr double kStoodStill = 0.1;
/// Where so many of a zone's machines were heard within so much of a report period, the zone is not
/// cut off: in one that is, fewer were by the time the first machine is late and has not answered.
constexpr double kLively = 0.25;
constexpr double kLately = 0.5;
/// The part of a zone's machines whose silence shows that the zone is cut off, and how long they
/// must have been silent / the silence after which a machine is given up.
constexpr double kMostOfZone = 0.5;
constexpr double kShortlySilent = 0.6;
constexpr double kAllSilent = 2.5;
constexpr double kFindLeader = 0.3;
constexpr size_t kMostReleased = 100;
/// Arrivals of the last so many boot times tell what to expect.
constexpr double kMemory = 5;

}  // namespace

const MachineType* LeaderCore::type(const std::string& name) const {
  for (const auto& t : types_)
    if (t.name == name) return &t;
  return nullptr;
}

std::vector<Action> LeaderCore::tick(Seconds now) {
  std::vector<Action> out;
  // A process that stood still has heard nobody meanwhile, and must not take that for their
  // silence.
  if (now - ticked_ > settings_.lease_s * kStoodStill) awake_since_ = now;
  ticked_ = now;
  expire(now);
  if (now >= next_round_) {
    next_round_ = now + settings_.tuning.round * settings_.report_s;
    round(now);
    move_replicas(now);
    provision(now, out);
    log_fleet(now);
    unplaced_.clear();
  }
  care_for_machines(now, out);
  order_starts(now, out);
  probe(now, out);
  return out;
}

/// For operators: what the fleet is paid for, by type.
void LeaderCore::log_fleet(Seconds now) {
  if (now < next_summary_) return;
  next_summary_ = now + settings_.lease_s;
  for (const auto& t : types_) {
    size_t booting = 0, up = 0, idle = 0, leaving = 0;
    Amounts fetching, used, room;
    for (const auto& [id, m] : machines_) {
      if (m.info.type != t.name) continue;
      if (m.stage == Machine::Stage::Booting) ++booting;
      if (m.stage == Machine::Stage::Returning || m.stage == Machine::Stage::Expired) ++leaving;
      if (m.stage != Machine::Stage::Up) continue;
      ++up;
      if (!m.has_presence()) ++idle;
      room += t.room;
      for (const auto& [key, run] : m.runs) {
        if (!run.present()) continue;
        (run.phase == Run::Phase::Running ? used : fetching) += run.need;
      }
    }
    spdlog::info(
        "{}: {} up, {} of them idle, {} booting, {} leaving; CPUs running {:.0f}, starting or "
        "stopping {:.0f}, of {:.0f}; GPUs {:.0f}, {:.0f}, of {:.0f}",
        t.name, up, idle, booting, leaving, used.cpus, fetching.cpus, room.cpus, used.gpus,
        fetching.gpus, room.gpus);
  }
  spdlog::info("{} jobs known, {} without room; {} rounds so far, {} lists of victims",
               jobs_.size(), unplaced_.size(), work_.rounds, work_.victim_lists);
}

/// One silent machine is its own trouble; when all of several are silent at once, it is this node
/// that can't be reached, and each of them would lose its lease though other nodes could answer it.
/// A new leader waits longer, since workers must find it first.
bool LeaderCore::unheard(Seconds now) const {
  size_t up = 0;
  Seconds newest = began_ + kFindLeader * settings_.lease_s;
  for (const auto& [id, m] : machines_) {
    if (m.stage != Machine::Stage::Up) continue;
    ++up;
    newest = std::max(newest, m.last_report);
  }
  return up >= kSeveral && now - newest > kAllSilent * settings_.report_s + 0.5;
}

/// When the worker's lease has ended for certain, counted from the last answer that anybody could
/// have given it.
Seconds LeaderCore::certain_end(const Machine& m, Seconds now) const {
  Seconds last = std::max(m.answered, delegations_.last_answer(m.info.zone, now));
  if (m.old_answers) last = std::max(last, fence_);
  return last + settings_.lease_s * (1 + kDrift) + 0.1;
}

void LeaderCore::expire(Seconds now) {
  for (auto& [id, m] : machines_) {
    // One that was given up expires as well: the cloud may be in trouble for longer than a lease.
    const bool returning = m.stage == Machine::Stage::Returning && m.may_hold_tasks();
    if (!returning && m.stage != Machine::Stage::Up) continue;
    if (now <= certain_end(m, now)) continue;
    spdlog::info("{} expired with {} tasks", id, m.runs.size());
    if (!returning) m.stage = Machine::Stage::Expired;
    m.proven = false;
    remove_all_runs(m);
    account(m);
  }
}

std::vector<Offer> LeaderCore::offers(Seconds now) const {
  std::vector<Offer> out;
  for (const auto& t : types_)
    for (const auto& zone : t.zones)
      for (bool spot : {false, true}) {
        const auto refused = refused_.find({t.name, zone, spot});
        out.push_back({&t, zone, spot, spot ? t.spot_price : t.price,
                       cut_zones_.count(zone) > 0 ||
                           (refused != refused_.end() && now < refused->second.first)});
      }
  return out;
}

void LeaderCore::note_arrival(const JobRecord& record) {
  Arrivals& a = arrivals_[record.spec.job_class];
  a.spec = record.spec;
  a.jobs.emplace_back(static_cast<double>(record.submitted_ms) / 1000 - wall_offset_,
                      record.spec.tasks);
}

/// Arrivals count for a few boot times: when fewer come, less room is kept.
void LeaderCore::forget_arrivals(Seconds now) {
  double boot = 0;
  for (const auto& t : types_) boot = std::max(boot, t.boot_s);
  for (auto& [name, a] : arrivals_)
    std::erase_if(a.jobs, [&](const auto& j) { return j.first < now - kMemory * boot; });
}

/// Room for what will arrive while a machine boots, at the rate of late. Services stay, so each
/// arrival needs room of its own; of arrays, which come and go, one is expected at a time, and
/// room is only kept for those that may use cheap machines.
std::vector<Demand> LeaderCore::headroom(std::vector<JobSpec>& specs, Seconds) const {
  std::vector<Demand> out;
  specs.reserve(arrivals_.size());
  for (const auto& [name, a] : arrivals_) {
    double tasks = 0;
    for (const auto& [at, n] : a.jobs) tasks += n;
    double expected = 0;
    // Arrivals are uneven: the mean and one deviation of it.
    const double mean = tasks / kMemory;
    if (a.spec.kind == JobKind::Service)
      expected = mean + std::sqrt(mean);
    else if (a.spec.kind == JobKind::Array && a.spec.spot && !a.jobs.empty())
      expected = std::max(tasks / static_cast<double>(a.jobs.size()), mean);
    const auto n = static_cast<uint32_t>(std::ceil(settings_.tuning.headroom * expected - 1e-9));
    if (n == 0) continue;
    specs.push_back(a.spec);
    specs.back().tasks = n;
    specs.back().kind = JobKind::Service;
    Demand d;
    d.spec = &specs.back();
    for (uint32_t i = 0; i < n; ++i) d.tasks.push_back(i);
    out.push_back(std::move(d));
  }
  return out;
}

void LeaderCore::provision(Seconds now, std::vector<Action>& out) {
  if (now < next_provision_ || types_.empty() || !picture_settled(now)) return;
  next_provision_ = now + settings_.report_s * 0.5;
  forget_arrivals(now);
  for (auto& [name, open] : open_rents_) {
    if (now < open.second) continue;
    open.second = now + 1e9;
    out.push_back(open.first);
  }
  if (!open_rents_.empty()) return;
  auto booting = picture(now, true);
  auto up = picture(now, false);
  std::vector<JobSpec> specs;
  for (auto& d : headroom(specs, now)) {
    for (const auto& p : place(d, up)) {
      ++d.zones[up[p.slot].zone];
      std::erase(d.tasks, p.task);
    }
    if (!d.tasks.empty()) unplaced_.push_back(std::move(d));
  }
  for (const auto& r : rentals(unplaced_, booting, offers(now), kMostRented)) {
    Rent rent{name_request(), r.type, r.zone, r.spot, r.count};
    open_rents_[rent.request] = {rent, now + 1e9};
    spdlog::info("rents {} {} in {}{}", rent.count, rent.type, rent.zone,
                 rent.spot ? " (spot)" : "");
    out.push_back(std::move(rent));
  }
}

std::string LeaderCore::name_request() {
  // The term is this leader's alone, so no node ever repeats a name.
  return "sq-" + std::to_string(term_) + "-" + std::to_string(next_request_++);
}

void LeaderCore::rent_done(const Rent& rent, RentOutcome outcome,
                           const std::vector<std::string>& machines, Seconds now) {
  const auto open = open_rents_.find(rent.request);
  if (open == open_rents_.end()) return;
  if (outcome == RentOutcome::Unknown) {
    // The same request again: if it was carried out it rents nothing more.
    open->second.second = now + settings_.report_s;
    return;
  }
  open_rents_.erase(open);
  auto& [until, times] = refused_[{rent.type, rent.zone, rent.spot}];
  const bool filled =
      outcome == RentOutcome::Rented && static_cast<int>(machines.size()) >= rent.count;
  if (filled) {
    times = 0;
  } else {
    until = now + kRefusal * (1 << std::min(times, 4));
    ++times;
  }
  for (const auto& id : machines) {
    auto [it, added] = machines_.try_emplace(id);
    if (!added) continue;
    Machine& m = it->second;
    m.info = {id, "", rent.type, rent.zone, rent.spot};
    m.first_seen = now;
    m.accounted = true;
  }
}

void LeaderCore::listed(const std::vector<ListedMachine>& list, Seconds now) {
  for (const auto& l : list) {
    const auto gone = returned_.find(l.id);
    if (gone != returned_.end()) {
      // Still listed long after it was returned: it was not returned after all.
      if (now > gone->second + 10 * settings_.list_lag_s) returned_.erase(gone);
      continue;
    }
    auto [it, added] = machines_.try_emplace(l.id);
    Machine& m = it->second;
    if (added) {
      m.info.id = l.id;
      m.first_seen = now - l.age_s;
      m.accounted = true;  // it has no record: no start was ever ordered there
    }
    m.info.type = l.type;
    m.info.zone = l.zone;
    m.info.spot = l.spot;
    if (m.info.addr.empty()) m.info.addr = l.addr;
    if (l.state == ListedMachine::State::Failed) m.listed_failed = true;
  }
}

/// A zone that was cut off comes back within a report period or more, not at once: those that are
/// still silent when most are heard again are as alive as the others.
void LeaderCore::expect_back(const std::string& zone, Seconds now) {
  for (auto& [id, m] : machines_)
    if (m.info.zone == zone) m.zone_back = now;
}

/// Zones that are cut off, or seem so: most of a zone's machines don't fall silent together by
/// themselves. What runs there goes on, so nothing of it is given up, and nothing rented there
/// would be heard. Any number of machines that is silent without its zone is taken for dead.
void LeaderCore::find_cut_zones(Seconds now) {
  struct Count {
    size_t up = 0, silent = 0, heard = 0;
  };
  std::map<std::string, Count> zones;
  const Seconds suspect = settings_.tuning.suspect * settings_.lease_s;
  for (const auto& [id, m] : machines_) {
    if (m.stage != Machine::Stage::Up) continue;
    Count& c = zones[m.info.zone];
    ++c.up;
    if (silence(m, now) > suspect * kShortlySilent) ++c.silent;
    if (silence(m, now) < kLately * settings_.report_s) ++c.heard;
  }
  // A zone without any machine left shows nothing either way: after a while it is tried again, or
  // it would stay closed to renting for ever.
  for (auto& [zone, last_shown] : cut_zones_)
    if (zones.count(zone)) last_shown = now;
  std::erase_if(cut_zones_, [&](const auto& cut) { return now - cut.second > settings_.lease_s; });
  lively_zones_.clear();
  for (const auto& [zone, c] : zones)
    if (c.up >= kSeveral && static_cast<double>(c.heard) > kLively * c.up)
      lively_zones_.insert(zone);
  for (const auto& [zone, c] : zones) {
    const bool cut = c.up >= kSeveral && static_cast<double>(c.silent) > kMostOfZone * c.up;
    if (cut != (cut_zones_.count(zone) > 0))
      spdlog::info("zone {}: {} of {} machines silent, {}", zone, c.silent, c.up,
                   cut ? "taken for cut off" : "no longer taken for cut off");
    if (cut)
      cut_zones_[zone] = now;
    else if (cut_zones_.erase(zone) > 0)
      expect_back(zone, now);
  }
}

bool LeaderCore::give_up_on(const Machine& m, Seconds now) const {
  const bool zone_cut = cut_zones_.count(m.info.zone) > 0;
  const MachineType* t = type(m.info.type);
  const double boot = t ? t->boot_s : 60;
  switch (m.stage) {
    case Machine::Stage::Booting: {
      const auto newest = newest_up_.find(m.info.type);
      const bool passed = newest != newest_up_.end() && newest->second > m.first_seen;
      if (m.listed_failed) return true;
      return !zone_cut && now - m.first_seen > (passed ? kOverdue : kAllSlow) * boot;
    }
    case Machine::Stage::Expired:
      return now - m.last_heard > settings_.lease_s;
    case Machine::Stage::Up: {
      if (m.listed_failed) return true;
      if (m.sick && !m.has_presence()) return true;
      // A machine that has been silent for long is dead more often than cut off; so is one that is
      // late and does not answer while many others of its zone are heard.
      // An order that went unanswered is no reason to wait for the lease: nothing of the machine is
      // left once the cloud has taken it back.
      if (zone_cut || !m.may_hold_tasks()) return false;
      return silence(m, now) > settings_.tuning.suspect * settings_.lease_s ||
             (m.unanswered && late_with_report(m, now) && lively_zones_.count(m.info.zone) > 0);
    }
    case Machine::Stage::Returning:
      return false;
  }
  return false;
}

/// Whether there is room for arrivals beside what the trial has placed.
bool LeaderCore::spare_room(Trial& trial, Seconds now) const {
  std::vector<JobSpec> specs;
  const auto expected = headroom(specs, now);
  return std::all_of(expected.begin(), expected.end(),
                     [&trial](const Demand& d) { return trial.fits(d); });
}

void LeaderCore::return_idle(Seconds now) {
  if (!picture_settled(now) || !open_rents_.empty()) return;
  for (auto& [id, m] : machines_) {
    const bool idle = m.stage == Machine::Stage::Up && !m.has_presence();
    if (!idle)
      m.idle_since = -1;
    else if (m.idle_since < 0)
      m.idle_since = now;
  }
  auto others = picture(now, false);
  for (auto& s : others) {
    Machine& m = machines_.at(s.machine);
    const MachineType* t = type(m.info.type);
    if (m.idle_since < 0 || !t || now - m.idle_since < settings_.tuning.idle * t->boot_s) continue;
    const bool usable = std::exchange(s.usable, false);
    Trial without(others);
    if (m.sick || m.taken_at || spare_room(without, now))
      m.stage = Machine::Stage::Returning;
    else
      s.usable = usable;
  }
}

void LeaderCore::care_for_machines(Seconds now, std::vector<Action>& out) {
  if (releasing_ || now < next_release_) return;
  next_release_ = now + settings_.report_s * 0.5;
  find_cut_zones(now);
  for (auto& [id, m] : machines_)
    if (give_up_on(m, now)) {
      spdlog::info("gives {} back: stage {}, silent {:.1f} s", id, static_cast<int>(m.stage),
                   now - m.last_heard);
      m.stage = Machine::Stage::Returning;
    }
  return_idle(now);
  Release release;
  for (const auto& [id, m] : machines_)
    if (m.stage == Machine::Stage::Returning && release.machines.size() < kMostReleased)
      release.machines.push_back(id);
  if (release.machines.empty()) return;
  releasing_ = true;
  out.push_back(std::move(release));
}

void LeaderCore::release_done(const Release& release, bool ok, Seconds now) {
  releasing_ = false;
  next_release_ = now + settings_.report_s * (ok ? 0.1 : 0.5);
  if (!ok) return;
  for (const auto& id : release.machines) {
    const auto it = machines_.find(id);
    if (it == machines_.end()) continue;
    Machine& m = it->second;
    remove_all_runs(m);
    account(m);
    if (m.recorded || m.recording) hosts_to_delete_.insert(id);
    returned_[id] = now;
    machines_.erase(it);
  }
}

Seconds LeaderCore::silence(const Machine& m, Seconds now) const {
  return now - std::max({m.last_heard, m.zone_back, awake_since_});
}

/// Reports come up to a quarter late.
bool LeaderCore::late_with_report(const Machine& m, Seconds now) const {
  return silence(m, now) > 1.25 * settings_.report_s + 0.5;
}

/// Machines that this leader has not met yet, and those that are late with a report.
void LeaderCore::probe(Seconds now, std::vector<Action>& out) {
  for (auto& [id, m] : machines_) {
    if (m.stage != Machine::Stage::Up || m.probing || m.info.addr.empty()) continue;
    const bool greet = !m.proven && m.old_answers && !m.accounted && now >= m.next_greeting;
    const bool late = !m.unanswered && late_with_report(m, now) && m.may_hold_tasks();
    if (!greet && !late) continue;
    if (greet) m.next_greeting = now + settings_.report_s;
    m.probing = true;
    out.push_back(Probe{id, m.info.addr, token(m), std::max<uint64_t>(m.session, 1)});
  }
}

void LeaderCore::order_starts(Seconds now, std::vector<Action>& out) {
  for (auto& [id, m] : machines_) {
    if (m.stage != Machine::Stage::Up || m.order_in_flight || now < m.next_order) continue;
    if (m.info.addr.empty()) continue;
    if (!m.proven) continue;
    const bool news = std::any_of(m.runs.begin(), m.runs.end(), [&](const auto& r) {
      const auto& [key, run] = r;
      return (!run.sent && startable(m, key, run)) ||
             (!run.wanted && run.present() && run.phase != Run::Phase::Ordered && !run.stop_sent);
    });
    if (!news) continue;
    SendOrders order{id, m.info.addr, token(m), std::max<uint64_t>(m.session, 1),
                     commands_for(m, false)};
    for (auto& [key, run] : m.runs)
      if (!run.wanted && run.present()) run.stop_sent = true;
    m.order_in_flight = true;
    out.push_back(std::move(order));
  }
}

}  // namespace sumacquay
