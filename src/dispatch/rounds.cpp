// A placement round: what of each waiting job is started, and where.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

/// Silence after which nothing new is started on a machine / heartbeat period. Reports come up to a
/// quarter late, and one may be lost and sent again.
constexpr double kSilence = 2.5;
/// Tasks of one array that a round looks at: so many in any fleet, in a large one so many for each
/// machine. It keeps a round from looking at all tasks of an array that no fleet could start at
/// once; the next round looks at the next ones.
constexpr size_t kTasksInAnyFleet = 500;
constexpr size_t kTasksPerMachine = 4;

}  // namespace

bool Scheduler::usable(const Machine& machine, Seconds now) const {
  return machine.stage == Machine::Stage::Up && machine.fencing_token_acknowledged &&
         !machine.sick() && !machine.draining && !machine.reclaim_at &&
         now - machine.last_heartbeat < kSilence * settings_.heartbeat_period_s + 0.5;
}

std::vector<Slot> Scheduler::picture(Seconds now, bool booting) const {
  std::vector<Slot> out;
  for (const auto& [id, machine] : machines_) {
    const MachineType* t = type(machine.info.type);
    if (!t) continue;
    const bool on_its_way = machine.stage == Machine::Stage::Booting;
    if (booting != on_its_way) continue;
    if (!booting && machine.stage != Machine::Stage::Up) continue;
    Slot s;
    s.machine = id;
    s.of = &machine;
    s.type = machine.info.type;
    s.zone = machine.info.zone;
    s.spot = machine.info.spot;
    s.room = s.free = t->room;
    s.usable = booting || usable(machine, now);
    for (const auto& [key, attempt] : machine.attempts) {
      if (!attempt.possibly_present()) continue;
      s.free -= attempt.need;
      if (!attempt.desired_running) s.coming += attempt.need;
    }
    out.push_back(std::move(s));
  }
  return out;
}

/// What is still silent some reports after the takeover may be so for long, and the fleet is rented
/// and returned without it: in a large one some machine always is.
bool Scheduler::picture_settled(Seconds now) const {
  return all_accounted() || now - failover_at_ > kSilence * settings_.heartbeat_period_s + 0.5;
}

/// Whether a fetch on a machine that lacks the image costs what users were promised: a replica that
/// is down stays down for it, and one that is new misses the aim for its class.
bool Scheduler::fetch_hurts(const Job& job) const {
  if (job.spec().kind != JobKind::Service) return false;
  double longest = 0;
  for (const auto& t : types_)
    if (t.fetch_gb_per_s > 0 && job.spec().allows_type(t.name) && job.spec().need.fits_in(t.room))
      longest = std::max(longest, job.spec().image_gb / t.fetch_gb_per_s);
  if (job.stored.started) return longest > settings_.heartbeat_period_s;
  return std::any_of(
      settings_.objectives.begin(), settings_.objectives.end(), [&](const Objective& objective) {
        return objective.kind == "wait" && objective.job_class == job.spec().job_class &&
               longest > objective.within_s;
      });
}

/// First on machines that have the image, where tasks of lower priority give way; what is left of
/// the demand goes the ordinary way.
void Scheduler::place_warm(Job& job, Demand& d, std::vector<Slot>& slots, Seconds now) {
  Demand warm = d;
  warm.avoid = [&d](const Slot& s) { return d.avoid(s) || !d.has_image(s); };
  warm.within_guarantee = false;  // other teams' work need not stop where there is room elsewhere
  place_part(job, warm, slots, now);
  if (!warm.tasks.empty()) make_room(job, warm, slots, now);
  d.tasks = warm.tasks;
  d.zones = warm.zones;
}

void Scheduler::place_part(Job& job, Demand& d, std::vector<Slot>& slots, Seconds now) {
  const auto placed = place(d, slots);
  start_placed(job, placed, slots, now);
  for (const auto& p : placed) {
    ++d.zones[slots[p.slot].zone];
    std::erase(d.tasks, p.task);
  }
}

size_t Scheduler::tasks_a_round() const {
  return std::max(kTasksInAnyFleet, kTasksPerMachine * machines_.size());
}

std::optional<Demand> Scheduler::demand(Job& job, size_t most) {
  Demand d;
  d.spec = &job.spec();
  const bool gang = job.spec().kind == JobKind::Gang;
  if (gang && most < job.spec().tasks) return std::nullopt;
  if (!gang && at_fault(job)) most = std::min<size_t>(most, 1);
  const size_t limit = gang ? job.spec().tasks : std::min(most, tasks_a_round());
  auto there = job.possible_placements.begin();  // both in order: one pass over what is somewhere
  for (uint32_t t = job.done.next_missing(0); t < job.spec().tasks && d.tasks.size() < limit;
       t = job.done.next_missing(t + 1)) {
    while (there != job.possible_placements.end() && there->first < t) ++there;
    if (there == job.possible_placements.end() || there->first != t) d.tasks.push_back(t);
  }
  if (d.tasks.empty()) return std::nullopt;
  if (d.spec->counts_zones())
    for (const auto& [task, places] : job.possible_placements)
      for (const auto& [machine_id, attempt_number] : places) {
        const auto machine = machines_.find(machine_id);
        if (machine != machines_.end()) ++d.zones[machine->second.info.zone];
      }
  if (job.priority > d.spec->priority) d.inherited_priority = job.priority;
  d.image_first = fetch_hurts(job);
  d.within_guarantee = guaranteed_.contains(job.spec().id);
  d.avoid = [&job](const Slot& s) { return job.failed_on.contains(s.machine); };
  d.has_image = [&job](const Slot& s) { return s.of && s.of->images.has(job.spec().image); };
  return d;
}

void Scheduler::round(Seconds now) {
  ++work_.rounds;
  unplaced_.clear();
  count_usage();
  victims_.reset();
  auto slots = picture(now, false);
  for (Job* job : waiting(now)) {
    const size_t left = std::min(quota_left(*job), token_allocator_.attempts_left());
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

void Scheduler::start_placed(Job& job, const std::vector<Placed>& placed,
                             const std::vector<Slot>& slots, Seconds now) {
  if (placed.empty()) return;
  const bool gang = job.spec().kind == JobKind::Gang;
  if (gang) job.gang_attempt = token_allocator_.new_attempt();
  job.start_record_requested = true;
  for (const auto& p : placed) {
    Machine& machine = machines_.at(slots[p.slot].machine);
    const TaskAttemptId key{{job.spec().id, p.task},
                            gang ? job.gang_attempt : token_allocator_.new_attempt()};
    spdlog::debug("{}/{} try {} placed on {}", key.task.job, key.task.task, key.attempt,
                  machine.info.id);
    TaskAttempt& attempt = machine.attempts[key];
    attempt.placed_at = now;
    attempt.need = job.spec().need;
    attempt.image = job.spec().image;
    attempt.image_gb = job.spec().image_gb;
    machine.request_host_record();
    if (!job.next_leader_knows(machine.info.id)) job.hosts_record_requested = true;
    add_possible_placement(machine, key);
    used_[job.spec().team] += attempt.need;
    note_machine_record(machine);
    enqueue_commands(machine);
  }
  note_job_record(job, now);
}

}  // namespace sumacquay
