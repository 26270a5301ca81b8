#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "dispatch/leader_core.h"

namespace sumacquay {
namespace {

/// Silence after which nothing new is started on a machine / report period. Reports come up to a
/// quarter late, and one may be lost and sent again.
constexpr double kSilence = 2.5;
/// Tasks of one array that a round looks at: more than any fleet of this kind starts at once.
constexpr size_t kMostTasks = 500;
/// What a task may lose to make room for a gang of several / the time a rented machine would take.
constexpr double kBearable = 0.1;

}  // namespace

bool LeaderCore::usable(const Machine& m, Seconds now) const {
  return m.stage == Machine::Stage::Up && m.token_confirmed && !m.sick() && !m.draining &&
         !m.reclaim_at && now - m.last_report < kSilence * settings_.report_s + 0.5;
}

std::vector<Slot> LeaderCore::picture(Seconds now, bool booting) const {
  std::vector<Slot> out;
  for (const auto& [id, m] : machines_) {
    const MachineType* t = type(m.info.type);
    if (!t) continue;
    const bool on_its_way = m.stage == Machine::Stage::Booting;
    if (booting != on_its_way) continue;
    if (!booting && m.stage != Machine::Stage::Up) continue;
    Slot s;
    s.machine = id;
    s.of = &m;
    s.type = m.info.type;
    s.zone = m.info.zone;
    s.spot = m.info.spot;
    s.room = s.free = t->room;
    s.usable = booting || usable(m, now);
    for (const auto& [key, run] : m.runs) {
      if (!run.present()) continue;
      s.free -= run.need;
      if (!run.wanted) s.coming += run.need;
    }
    out.push_back(std::move(s));
  }
  return out;
}

void LeaderCore::count_usage() {
  used_.clear();
  for (const auto& [id, job] : jobs_) {
    size_t n = 0;
    for (const auto& [task, places] : job.placements) n += places.size();
    // What nobody has accounted for since the takeover may be running somewhere. Of a gang that is
    // done some tasks may not have exited yet.
    if (missing_in_doubt(job)) {
      const uint32_t gone = job.spec().kind == JobKind::Array ? job.stored.done.count() : 0;
      n = std::max<size_t>(n, job.spec().tasks - std::min(job.spec().tasks, gone));
    }
    used_[job.spec().team] += job.spec().need.times(static_cast<double>(n));
  }
}

/// Whether tasks of the job may be on machines that nobody has accounted for since the takeover.
bool LeaderCore::missing_in_doubt(const Job& job) const {
  if (!job.stored.started || all_accounted()) return false;
  if (!job.stored.hosts) return true;
  return std::any_of(job.stored.hosts->begin(), job.stored.hosts->end(), [this](const auto& id) {
    const auto m = machines_.find(id);
    return m != machines_.end() && !m->second.accounted;
  });
}

/// What is still silent some reports after the takeover may be so for long, and the fleet is rented
/// and returned without it: in a large one some machine always is.
bool LeaderCore::picture_settled(Seconds now) const {
  return all_accounted() || now - took_over_at_ > kSilence * settings_.report_s + 0.5;
}

size_t LeaderCore::quota_left(const Job& job) const {
  const TeamSettings* team = settings_.team(job.spec().team);
  if (!team) return 0;
  const auto it = used_.find(team->name);
  const Amounts used = it == used_.end() ? Amounts{} : it->second;
  auto fits = [](double limit, double used, double need) {
    if (limit <= 0 || need <= 0) return 1e9;
    return std::max(0.0, std::floor((limit - used) / need + 1e-6));
  };
  return static_cast<size_t>(std::min(fits(team->cpus_max, used.cpus, job.spec().need.cpus),
                                      fits(team->gpus_max, used.gpus, job.spec().need.gpus)));
}

std::vector<Job*> LeaderCore::waiting(Seconds now) {
  std::vector<Job*> out;
  for (auto& [id, job] : jobs_) {
    if (!job.runnable() || !ready(job) || now < job.retry_at || missing_in_doubt(job)) continue;
    if (!job.start_recordable()) continue;
    count_arrival(job);
    if (job.placements.size() + job.done.count() >= job.spec().tasks) continue;
    if (job.spec().kind == JobKind::Gang && !job.placements.empty()) continue;
    if (at_fault(job) && !job.placements.empty()) {
      if (!runs_well(job, now)) continue;
      count_success(job, now);
    }
    out.push_back(&job);
  }
  find_guaranteed(out);
  // Arrival order; of those that arrive together the largest gang first. A job that might preempt
  // another goes before it: started the other way round, the other would only be stopped again. Of
  // those that can stop nobody, tasks that need no GPUs fit into every gap and would take the CPUs
  // beside all GPUs, so those that need GPUs go first. A job within its team's guarantee need not
  // wait for other teams, and what it has stopped must not be back in its place before it.
  const double together_ms = settings_.report_s * 1000;
  std::sort(out.begin(), out.end(), [&](const Job* a, const Job* b) {
    auto rank = [&](const Job* j) {
      return std::make_tuple(
          -static_cast<int>(j->priority), !guaranteed_.contains(j->spec().id),
          j->priority == Priority::Low && j->spec().need.gpus == 0,
          std::floor(static_cast<double>(arrival_ms(*j)) / together_ms),
          j->spec().kind == JobKind::Gang ? -static_cast<int>(j->spec().tasks) : 0, arrival_ms(*j),
          std::string_view(j->spec().id));
    };
    return rank(a) < rank(b);
  });
  return out;
}

/// Finds the jobs within guarantees, if any of those that wait could be one of them.
void LeaderCore::find_guaranteed(const std::vector<Job*>& waiting) {
  guaranteed_.clear();
  JobIds teams;
  for (const auto& team : settings_.teams)
    if (has_guarantee(team)) teams.insert(team.name);
  if (teams.empty()) return;
  const auto claims = [&teams](const Job& job) { return teams.contains(job.spec().team); };
  if (std::none_of(waiting.begin(), waiting.end(), [&](const Job* job) { return claims(*job); }))
    return;
  std::vector<UnfinishedJob> unfinished;
  for (const auto& [id, job] : jobs_) {
    if (!job.runnable() || !ready(job) || !claims(job)) continue;
    const uint32_t ended = job.spec().kind == JobKind::Array ? job.done.count() : 0;
    unfinished.push_back({&job.spec(), job.spec().tasks - ended, arrival_ms(job)});
  }
  guaranteed_ = within_guarantee(settings_.teams, std::move(unfinished));
}

/// Whether a fetch on a machine that lacks the image costs what users were promised: a replica that
/// is down stays down for it, and one that is new misses the aim for its class.
bool LeaderCore::fetch_hurts(const Job& job) const {
  if (job.spec().kind != JobKind::Service) return false;
  double longest = 0;
  for (const auto& t : types_)
    if (t.fetch_gb_per_s > 0 && job.spec().allows_type(t.name) && job.spec().need.fits_in(t.room))
      longest = std::max(longest, job.spec().image_gb / t.fetch_gb_per_s);
  if (job.stored.started) return longest > settings_.report_s;
  return std::any_of(
      settings_.objectives.begin(), settings_.objectives.end(), [&](const Objective& objective) {
        return objective.kind == "wait" && objective.job_class == job.spec().job_class &&
               longest > objective.within_s;
      });
}

/// First on machines that have the image, where tasks of lower priority give way; what is left of
/// the demand goes the ordinary way.
void LeaderCore::place_warm(Job& job, Demand& d, std::vector<Slot>& slots, Seconds now) {
  Demand warm = d;
  warm.avoid = [&d](const Slot& s) { return d.avoid(s) || !d.has_image(s); };
  warm.within_guarantee = false;  // other teams' work need not stop where there is room elsewhere
  place_part(job, warm, slots, now);
  if (!warm.tasks.empty()) make_room(job, warm, slots, now);
  d.tasks = warm.tasks;
  d.zones = warm.zones;
}

void LeaderCore::place_part(Job& job, Demand& d, std::vector<Slot>& slots, Seconds now) {
  const auto placed = place(d, slots);
  start_placed(job, placed, slots, now);
  for (const auto& p : placed) {
    ++d.zones[slots[p.slot].zone];
    std::erase(d.tasks, p.task);
  }
}

std::optional<Demand> LeaderCore::demand(Job& job, size_t most) {
  Demand d;
  d.spec = &job.spec();
  const bool gang = job.spec().kind == JobKind::Gang;
  if (gang && most < job.spec().tasks) return std::nullopt;
  if (!gang && at_fault(job)) most = std::min<size_t>(most, 1);
  const size_t limit = gang ? job.spec().tasks : std::min(most, kMostTasks);
  auto there = job.placements.begin();  // both in order: one pass over what is somewhere
  for (uint32_t t = job.done.next_missing(0); t < job.spec().tasks && d.tasks.size() < limit;
       t = job.done.next_missing(t + 1)) {
    while (there != job.placements.end() && there->first < t) ++there;
    if (there == job.placements.end() || there->first != t) d.tasks.push_back(t);
  }
  if (d.tasks.empty()) return std::nullopt;
  if (d.spec->counts_zones())
    for (const auto& [task, places] : job.placements)
      for (const auto& [machine, attempt] : places) {
        const auto m = machines_.find(machine);
        if (m != machines_.end()) ++d.zones[m->second.info.zone];
      }
  if (job.priority > d.spec->priority) d.inherited_priority = job.priority;
  d.image_first = fetch_hurts(job);
  d.within_guarantee = guaranteed_.contains(job.spec().id);
  d.avoid = [&job](const Slot& s) { return job.failed_on.contains(s.machine); };
  d.has_image = [&job](const Slot& s) { return s.of && s.of->images.has(job.spec().image); };
  return d;
}

void LeaderCore::round(Seconds now) {
  ++work_.rounds;
  unplaced_.clear();
  count_usage();
  victims_.reset();
  auto slots = picture(now, false);
  for (Job* job : waiting(now)) {
    const size_t left = quota_left(*job);
    auto d = left > 0 ? demand(*job, left) : std::nullopt;
    if (!d) continue;
    if (d->image_first && !at_fault(*job)) place_warm(*job, *d, slots, now);
    if (!d->tasks.empty()) place_part(*job, *d, slots, now);
    if (d->tasks.empty()) continue;
    if (at_fault(*job)) {
      unplaced_.push_back(std::move(*d));
      continue;
    }
    if (job->spec().kind == JobKind::Gang && d->tasks.size() > 1)
      gather(*job, *d, slots, now);
    else
      make_room(*job, *d, slots, now);
    if (d->tasks.empty()) continue;
    if (job->priority == Priority::Low) hold_beside_gpus(*d, slots);
    unplaced_.push_back(std::move(*d));
  }
  victims_.reset();  // these look at names that the jobs own
  guaranteed_.clear();
}

void LeaderCore::start_placed(Job& job, const std::vector<Placed>& placed,
                              const std::vector<Slot>& slots, Seconds now) {
  if (placed.empty()) return;
  const bool gang = job.spec().kind == JobKind::Gang;
  if (gang) job.gang_attempt = new_attempt();
  job.want_started = true;
  for (const auto& p : placed) {
    Machine& m = machines_.at(slots[p.slot].machine);
    const RunKey key{{job.spec().id, p.task}, gang ? job.gang_attempt : new_attempt()};
    spdlog::debug("{}/{} try {} placed on {}", key.task.job, key.task.task, key.attempt, m.info.id);
    Run& run = m.runs[key];
    run.placed_at = now;
    run.need = job.spec().need;
    run.image = job.spec().image;
    run.image_gb = job.spec().image_gb;
    m.want_record();
    if (!job.next_leader_knows(m.info.id)) job.want_hosts = true;
    add_presence(m, key);
    used_[job.spec().team] += run.need;
  }
}

/// What stopping a task throws away: progress that was not saved, or the time it has waited for its
/// image. A gang loses that on all its machines.
Seconds LeaderCore::loss_of(const Job& job, const Run& run, Seconds now) const {
  const Seconds spent = now - run.running_since.value_or(run.placed_at);
  const Seconds lost =
      run.running_since && job.spec().saves() ? std::min(spent, job.spec().save_s) : spent;
  return job.spec().kind == JobKind::Gang ? lost * job.spec().tasks : lost;
}

std::vector<Victim> LeaderCore::victims(const std::vector<Slot>& slots, Seconds now) const {
  std::vector<Victim> out;
  for (size_t i = 0; i < slots.size(); ++i) {
    if (!slots[i].of) continue;
    const Job* job = nullptr;  // runs are in the order of their jobs: one look a job
    for (const auto& [key, run] : slots[i].of->runs) {
      if (!run.present() || !run.wanted) continue;
      if (!job || job->spec().id != key.task.job) job = find_job(key.task.job);
      if (!job) continue;
      const bool gang = job->spec().kind == JobKind::Gang && job->spec().tasks > 1;
      Victim victim;
      victim.job = job->spec().id;
      victim.team = job->spec().team;
      victim.task = key.task.task;
      victim.slot = i;
      victim.need = run.need;
      victim.priority = job->priority;
      victim.loss_s = loss_of(*job, run, now);
      victim.gang = gang;
      victim.beyond_guarantee = !guaranteed_.contains(victim.job);
      victim.stops = gang ? run.need.times(job->spec().tasks) : run.need;
      out.push_back(victim);
    }
  }
  return out;
}

/// It is being stopped, with its gang if it has one: nobody else in this round gets its place.
void LeaderCore::forget_victim(const Victim& gone) {
  if (!victims_) return;
  running_work_.remove(gone.team, gone.stops);
  std::for_each(victims_->begin(), victims_->end(), [&gone](Victim& v) {
    if (v.job == gone.job && (gone.gang || v.task == gone.task)) v.stopped = true;
  });
}

/// Listed once a round: a list for each job that finds no room would take most of a controller's
/// processor when hundreds wait.
const std::vector<Victim>& LeaderCore::victims_of_round(const std::vector<Slot>& slots,
                                                        Seconds now) {
  if (!victims_) {
    victims_ = victims(slots, now);
    running_work_ = RunningWork(settings_.teams);
    for (const auto& victim : *victims_) running_work_.add(victim.team, victim.need);
    ++work_.victim_lists;
  }
  return *victims_;
}

/// The soonest that the job can run on a machine rented now; none: nothing can be rented for it.
std::optional<Seconds> LeaderCore::soonest_rented(const JobSpec& spec, Seconds now) const {
  std::optional<Seconds> soonest;
  for (const auto& o : offers(now)) {
    if (o.blocked || !allowed(spec, o.type->name, o.zone, o.spot) ||
        !spec.need.fits_in(o.type->room))
      continue;
    const Seconds takes = o.type->boot_s + spec.image_gb / std::max(o.type->fetch_gb_per_s, 1e-3);
    if (!soonest || takes < *soonest) soonest = takes;
  }
  return soonest;
}

Seconds LeaderCore::arrival(const Job& job) const {
  return static_cast<double>(arrival_ms(job)) / 1000 - wall_offset_;
}

/// Whether a boot from now on would make the job miss what users were promised for its class.
bool LeaderCore::late(const Job& job, Seconds takes, Seconds now) const {
  Seconds within = 2 * takes;
  for (const auto& o : settings_.objectives)
    if (o.kind == "wait" && o.job_class == job.spec().job_class) within = o.within_s;
  return now - arrival(job) + takes > within;
}

/// Whether all tasks would find room if tasks of lower priority gave way.
bool LeaderCore::preemptible(Demand d, std::vector<Slot> slots,
                             const std::vector<Victim>& candidates) const {
  RunningWork running = running_work_;
  for (; !d.tasks.empty(); d.tasks.pop_back()) {
    const auto p = preempt(d, slots, candidates, running);
    if (!p) return false;
    for (size_t v : p->victims) running.remove(candidates[v].team, candidates[v].stops);
    slots[p->slot].usable = false;
    ++d.zones[slots[p->slot].zone];
  }
  return true;
}

/// A gang of several that fits nowhere whole would starve behind jobs that take each machine as it
/// comes free. In the round, room for part of it is held until there is room for the rest: on
/// machines that have come since it arrived, for these were rented for it, and once it is late on
/// any. Only then do lower priorities give way, and only where little is lost, since work that
/// starts over costs its own users as much as the gang gains, unless no machine is to be had at
/// all.
void LeaderCore::gather(Job& job, Demand& d, std::vector<Slot>& slots, Seconds now) {
  const auto takes = soonest_rented(job.spec(), now);
  const bool hurry = !takes || late(job, *takes, now);
  const auto avoid = d.avoid;
  if (!hurry)
    d.avoid = [&](const Slot& s) {
      return avoid(s) ||
             (s.of->stage == Machine::Stage::Up && s.of->up_since.value_or(kNever) < arrival(job));
    };
  hold(d, slots, picture(now, true));
  d.avoid = avoid;
  if (d.tasks.empty() || !hurry) return;
  auto candidates = victims_of_round(slots, now);
  if (takes)
    std::erase_if(candidates, [&](const Victim& v) { return v.loss_s > kBearable * *takes; });
  if (preemptible(d, slots, candidates)) make_room(job, d, slots, candidates, now);
}

/// Stops tasks of lower priority, or beyond other teams' guarantees, for those that found no room.
/// Their places are free once they are proven gone; until then the room is held for this job.
void LeaderCore::make_room(Job& job, Demand& d, std::vector<Slot>& slots, Seconds now) {
  if (job.priority == Priority::Low && !d.within_guarantee) return;
  make_room(job, d, slots, victims_of_round(slots, now), now);
}

void LeaderCore::make_room(Job& job, Demand& d, std::vector<Slot>& slots,
                           const std::vector<Victim>& candidates, Seconds now) {
  while (!d.tasks.empty()) {
    const auto p = preempt(d, slots, candidates, running_work_);
    if (!p) return;
    Slot& slot = slots[p->slot];
    for (size_t v : p->victims) {
      const Victim& victim = candidates[v];
      Job* loser = find_job(std::string(victim.job));
      if (!loser) continue;
      spdlog::info("{}/{} gives way to {}", victim.job, victim.task, job.spec().id);
      if (loser->spec().kind == JobKind::Gang) {
        stop_job(*loser, true, now);
      } else {
        for (auto& [key, run] : machines_.at(slot.machine).runs)
          if (key.task.job == victim.job && key.task.task == victim.task && run.present())
            request_stop(run, true, now);
      }
      slot.coming += victim.need;
      forget_victim(victim);
    }
    slot.free -= d.spec->need;
    ++d.zones[slot.zone];
    d.tasks.pop_back();
    if (!p->victims.empty()) {
      return;  // the next round sees to the rest
    }
  }
}

}  // namespace sumacquay
