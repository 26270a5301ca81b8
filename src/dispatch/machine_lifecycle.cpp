// Machines as they boot, fall silent, are cut off with their zone, and lose their lease.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/leader_core.h"

namespace sumacquay {
namespace {

/// Both clocks may drift; a little is added for what the arithmetic leaves out.
constexpr double kDrift = 0.002;
/// Boot times past which a machine counts as one that never comes up: the first if one of its type
/// that was rented later is up, the second if none is, for then it may be that all are slow.
constexpr double kOverdue = 1.8;
constexpr double kAllSlow = 3.5;
/// Machines that are never silent together by chance, the silence of all that shows it / report
/// period, and the time that workers need to find a new leader / their lease.
constexpr size_t kSeveral = 3;
constexpr double kAllSilent = 2.5;
constexpr double kFindLeader = 0.3;
/// Where so many of a zone's machines were heard within so much of a report period, the zone is not
/// cut off: in one that is, fewer were by the time the first machine is late and has not answered.
constexpr double kLively = 0.25;
constexpr double kLately = 0.5;
/// The part of a zone's machines whose silence shows that the zone is cut off, and how long they
/// must have been silent / the silence after which a machine is given up.
constexpr double kMostOfZone = 0.5;
constexpr double kShortlySilent = 0.6;

}  // namespace

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

}  // namespace sumacquay
