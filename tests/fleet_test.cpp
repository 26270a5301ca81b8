// A fleet of 2,000 machines through a failover with a partitioned zone, the end of the partition
// and the loss of a tenth of all machines. Work is measured by counters, never by elapsed time.
#include <gtest/gtest.h>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

constexpr int kMachines = 2000;

class Fleet : public ::testing::Test {
 protected:
  Fleet() {
    settings_.heartbeat_period_s = 6;
    settings_.lease_s = 31;
    settings_.cancel_s = 51;
    TeamSettings team;
    team.name = "t";
    settings_.teams = {team};
    type_.name = "g";
    type_.capacity = {16, 4, 64};
    type_.zones = {"e", "w"};
    scheduler_ = std::make_unique<Scheduler>(settings_, 2, now_, now_ + settings_.answers_s());
    scheduler_->set_machine_types({type_});
    for (int i = 0; i < kMachines; ++i)
      scheduler_->restore_machine({id(i), "a:1", "g", zone(i), false}, now_);
    for (int i = 0; i < kMachines; ++i) {
      JobRecord r = record(job(i), JobKind::Service, 1, {4, 1, 16});
      r.started = true;
      r.hosts = std::vector<std::string>{id(i)};
      scheduler_->on_job_record(r, ++revision_, now_);
    }
  }

  static std::string id(int i) { return "i-" + std::to_string(100000 + i); }
  static std::string job(int i) { return "job-" + std::to_string(100000 + i); }
  static std::string zone(int i) { return i % 2 ? "w" : "e"; }

  JobRecord record(const std::string& name, JobKind kind, uint32_t tasks, Resources request) const {
    JobRecord r;
    r.spec.id = name;
    r.spec.team = "t";
    r.spec.kind = kind;
    r.spec.priority = kind == JobKind::Service ? Priority::Production : Priority::High;
    r.spec.tasks = tasks;
    r.spec.request = request;
    r.spec.one_zone = kind == JobKind::Gang;
    r.submitted_ms = static_cast<uint64_t>(now_ * 1000);
    return r;
  }

  /// Advances the time. All machines but silent and released ones send heartbeats in turn. Probes
  /// and commands get no heartbeat in answer, and the cloud refuses to scale out.
  template <class Silent>
  void pass(Seconds time, Silent silent) {
    constexpr int kTurns = 40;
    for (const Seconds end = now_ + time; now_ < end;
         now_ += settings_.heartbeat_period_s / kTurns) {
      ++step_;
      for (int i = step_ % kTurns; i < kMachines; i += kTurns) {
        if (silent(i) || gone_.contains(id(i))) continue;
        WorkerHeartbeat r{id(i),
                          "a:1",
                          "g",
                          zone(i),
                          false,
                          1,
                          static_cast<uint64_t>(step_),
                          uint64_t{2} << 20,
                          std::nullopt,
                          {}};
        r.tasks.push_back({{job(i), 0}, 7, TaskState::Running, ExitCause::None});
        note(scheduler_->on_heartbeat(r, true, now_).commands);
      }
      for (const auto& a : scheduler_->tick(now_)) {
        if (const auto* p = std::get_if<Probe>(&a))
          scheduler_->on_probe_answered(p->machine, std::nullopt, now_);
        if (const auto* o = std::get_if<SendCommands>(&a)) {
          note(o->commands);
          scheduler_->on_commands_answered(o->machine, std::nullopt, true, now_);
        }
        if (const auto* r = std::get_if<ScaleOut>(&a))
          scheduler_->on_scale_out_answered(*r, Scheduler::ScaleOutOutcome::Refused, {}, now_);
        if (const auto* r = std::get_if<ScaleIn>(&a)) {
          gone_.insert(r->machines.begin(), r->machines.end());
          scheduler_->on_scale_in_answered(*r, true, now_);
        }
      }
      for (const auto& w : scheduler_->plan_writes(now_, 12))
        scheduler_->on_write_answered(w, true, ++revision_, now_);
    }
  }

  void note(const std::vector<Command>& commands) {
    for (const auto& c : commands)
      if (c.verb == Verb::Start)
        started_.insert(c.key.job);
      else
        ++stops_;
  }

  Settings settings_;
  MachineType type_;
  Seconds now_ = 1000;
  std::unique_ptr<Scheduler> scheduler_;
  uint64_t revision_ = 10;
  int step_ = 0;
  std::set<std::string> gone_;
  std::set<std::string> started_;
  int stops_ = 0;
};

TEST_F(Fleet, StandsATakeoverALostZoneAndAMassLoss) {
  const auto in_west = [](int i) { return zone(i) == "w"; };
  pass(3, in_west);
  scheduler_->on_job_record(record("job-1", JobKind::Service, 3, {4, 1, 16}), ++revision_, now_);
  pass(15, in_west);
  EXPECT_FALSE(scheduler_->all_reconciled());
  EXPECT_EQ(started_, std::set<std::string>{"job-1"})
      << "new work starts at once; what may run in the zone does not start again";
  EXPECT_TRUE(gone_.empty());
  pass(7, [](int) { return false; });
  EXPECT_TRUE(scheduler_->all_reconciled());
  EXPECT_EQ(started_.size(), 1u);
  EXPECT_EQ(stops_, 0);

  for (int i = 0; i < 60; ++i)  // gangs that fit nowhere and can't preempt tasks of higher priority
    scheduler_->on_job_record(record("job-2" + std::to_string(i), JobKind::Gang, 4, {16, 4, 64}),
                              ++revision_, now_);
  const auto before = scheduler_->work();
  const auto dies = [](int i) { return i % 10 == 0; };
  pass(26, dies);
  EXPECT_EQ(gone_.size(), 200u) << "all of them, and nobody else";
  for (int i = 0; i < kMachines; ++i) {
    const auto& at = scheduler_->jobs().at(job(i)).possible_placements;
    ASSERT_EQ(at.size(), 1u);
    ASSERT_EQ(at.begin()->second.size(), 1u);
    EXPECT_EQ(started_.contains(job(i)), dies(i)) << job(i);
    EXPECT_EQ(gone_.count(at.begin()->second.begin()->machine), 0u);
  }
  const auto& after = scheduler_->work();
  EXPECT_GT(after.rounds, before.rounds);
  EXPECT_LE(after.victim_lists - before.victim_lists, after.rounds - before.rounds)
      << "one list a round, however many wait";
}

}  // namespace
}  // namespace sumacquay
