// A fleet of 2,000 machines through a failover with a partitioned zone, the end of the partition
// and the loss of a tenth of all machines. Work is measured by counters, never by elapsed time.
#include <gtest/gtest.h>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

constexpr int kMachines = 2000;

class LargeFleetFailures : public ::testing::Test {
 protected:
  LargeFleetFailures() {
    settings_.heartbeat_period_s = 6;
    settings_.lease_s = 31;
    settings_.cancel_s = 51;
    TeamSettings team;
    team.name = "t";
    settings_.teams = {team};
    type_.name = "g";
    type_.capacity = {16, 4, 64};
    type_.zones = {"e", "w"};
    scheduler_ = std::make_unique<Scheduler>(settings_, 2, now_, now_ + settings_.answer_grace_s());
    scheduler_->set_machine_types({type_});
    for (int i = 0; i < kMachines; ++i)
      scheduler_->restore_machine({machine_id(i), "a:1", "g", zone(i), false}, now_);
    for (int i = 0; i < kMachines; ++i) {
      JobRecord record = job_record(job_id(i), JobKind::Service, 1, {4, 1, 16});
      record.started = true;
      record.hosts = std::vector<std::string>{machine_id(i)};
      scheduler_->on_job_record(record, ++revision_, now_);
    }
  }

  static std::string machine_id(int i) { return "i-" + std::to_string(100000 + i); }
  static std::string job_id(int i) { return "job-" + std::to_string(100000 + i); }
  static std::string zone(int i) { return i % 2 ? "w" : "e"; }

  JobRecord job_record(const std::string& name, JobKind kind, uint32_t tasks,
                       Resources request) const {
    JobRecord record;
    record.spec.id = name;
    record.spec.team = "t";
    record.spec.kind = kind;
    record.spec.priority = kind == JobKind::Service ? Priority::Production : Priority::High;
    record.spec.tasks = tasks;
    record.spec.request = request;
    record.spec.one_zone = kind == JobKind::Gang;
    record.submitted_ms = static_cast<uint64_t>(now_ * 1000);
    return record;
  }

  /// Advances the time. All machines but silent and released ones send heartbeats in turn. Probes
  /// and commands get no heartbeat in answer, and the cloud refuses to scale out.
  template <class Silent>
  void advance(Seconds time, Silent silent) {
    constexpr int kHeartbeatSlots = 40;
    for (const Seconds end = now_ + time; now_ < end;
         now_ += settings_.heartbeat_period_s / kHeartbeatSlots) {
      ++step_;
      for (int i = step_ % kHeartbeatSlots; i < kMachines; i += kHeartbeatSlots) {
        if (silent(i) || released_.contains(machine_id(i))) continue;
        WorkerHeartbeat worker{
            machine_id(i),     "a:1",        "g", zone(i), false, 1, static_cast<uint64_t>(step_),
            uint64_t{2} << 20, std::nullopt, {}};
        worker.tasks.push_back({{job_id(i), 0}, 7, TaskState::Running, ExitCause::None});
        count_commands(scheduler_->on_heartbeat(worker, true, now_).commands);
      }
      for (const auto& action : scheduler_->tick(now_)) {
        if (const auto* probe = std::get_if<Probe>(&action))
          scheduler_->on_probe_answered(probe->machine, std::nullopt, now_);
        if (const auto* batch = std::get_if<SendCommands>(&action)) {
          count_commands(batch->commands);
          scheduler_->on_commands_answered(batch->machine, std::nullopt, true, now_);
        }
        if (const auto* scale_out = std::get_if<ScaleOut>(&action))
          scheduler_->on_scale_out_answered(*scale_out, Scheduler::ScaleOutOutcome::Refused, {},
                                            now_);
        if (const auto* scale_in = std::get_if<ScaleIn>(&action)) {
          released_.insert(scale_in->machines.begin(), scale_in->machines.end());
          scheduler_->on_scale_in_answered(*scale_in, true, now_);
        }
      }
      for (const auto& write : scheduler_->plan_writes(now_, 12))
        scheduler_->on_write_answered(write, true, ++revision_, now_);
    }
  }

  void count_commands(const std::vector<Command>& commands) {
    for (const auto& command : commands)
      if (command.type == CommandType::Start)
        started_jobs_.insert(command.key.job);
      else
        ++stop_commands_;
  }

  Settings settings_;
  MachineType type_;
  Seconds now_ = 1000;
  std::unique_ptr<Scheduler> scheduler_;
  uint64_t revision_ = 10;
  int step_ = 0;
  std::set<std::string> released_;
  std::set<std::string> started_jobs_;
  int stop_commands_ = 0;
};

TEST_F(LargeFleetFailures, SurvivesFailoverZonePartitionAndMassMachineLoss) {
  const auto partitioned = [](int i) { return zone(i) == "w"; };
  advance(3, partitioned);
  scheduler_->on_job_record(job_record("job-1", JobKind::Service, 3, {4, 1, 16}), ++revision_,
                            now_);
  advance(15, partitioned);
  EXPECT_FALSE(scheduler_->all_reconciled());
  EXPECT_EQ(started_jobs_, std::set<std::string>{"job-1"})
      << "only the new job starts: tasks that may still run in the zone are not started again";
  EXPECT_TRUE(released_.empty());
  advance(7, [](int) { return false; });
  EXPECT_TRUE(scheduler_->all_reconciled());
  EXPECT_EQ(started_jobs_.size(), 1u);
  EXPECT_EQ(stop_commands_, 0);

  for (int i = 0; i < 60; ++i)  // gangs that fit nowhere and can't preempt tasks of higher priority
    scheduler_->on_job_record(
        job_record("job-2" + std::to_string(i), JobKind::Gang, 4, {16, 4, 64}), ++revision_, now_);
  const auto before = scheduler_->work_counters();
  const auto fails = [](int i) { return i % 10 == 0; };
  advance(26, fails);
  EXPECT_EQ(released_.size(), 200u) << "exactly the machines that failed";
  for (int i = 0; i < kMachines; ++i) {
    const auto& placements = scheduler_->jobs().at(job_id(i)).possible_placements;
    ASSERT_EQ(placements.size(), 1u);
    ASSERT_EQ(placements.begin()->second.size(), 1u);
    EXPECT_EQ(started_jobs_.contains(job_id(i)), fails(i)) << job_id(i);
    EXPECT_EQ(released_.count(placements.begin()->second.begin()->machine), 0u);
  }
  const auto& after = scheduler_->work_counters();
  EXPECT_GT(after.rounds, before.rounds);
  EXPECT_LE(after.victim_lists - before.victim_lists, after.rounds - before.rounds)
      << "at most one victim list per round, however many jobs wait";
}

}  // namespace
}  // namespace sumacquay
