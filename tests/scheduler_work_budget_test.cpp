// Budgets for the scheduler's work, counted in examined items (WorkCounters): the work grows with
// the number of events, not with the number of jobs, tasks and machines.
#include <gtest/gtest.h>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

constexpr uint64_t kTerm = 2;
constexpr uint64_t kFencingToken = kTerm << 20;
constexpr size_t kMachines = 40;
constexpr uint32_t kTasksPerMachine = 50;
constexpr uint32_t kTasks = kMachines * kTasksPerMachine;

/// A fleet that runs one array of many tasks, all of them started under an earlier leader.
struct SchedulerWorkBudget : ::testing::Test {
  Settings settings;
  double now = 1000;
  std::unique_ptr<Scheduler> scheduler;

  SchedulerWorkBudget() {
    settings.heartbeat_period_s = 3;
    settings.lease_s = 21;
    TeamSettings team;
    team.name = "t";
    settings.teams = {team};
    MachineType type;
    type.name = "g";
    type.capacity = {100, 0, 400};
    type.zones = {"e"};
    scheduler = std::make_unique<Scheduler>(settings, kTerm, now, now);
    scheduler->set_machine_types({type});
  }

  static JobRecord array_record(const std::string& id, uint32_t tasks) {
    JobRecord record;
    record.spec.id = id;
    record.spec.team = "t";
    record.spec.tasks = tasks;
    record.spec.request = {1, 0, 1};
    record.started = true;
    record.submitted_ms = 1;
    return record;
  }

  static std::string machine_id(size_t i) { return "i-" + std::to_string(100 + i); }

  WorkerHeartbeat heartbeat(size_t i, uint64_t sequence_number, TaskState state) const {
    WorkerHeartbeat worker;
    worker.machine = machine_id(i);
    worker.addr = "10.0.0.2:9";
    worker.type = "g";
    worker.zone = "e";
    worker.agent_epoch = 1;
    worker.sequence_number = sequence_number;
    worker.fencing_token = kFencingToken;
    for (uint32_t task = 0; task < kTasksPerMachine; ++task)
      worker.tasks.push_back({{"job-1", static_cast<uint32_t>(i) * kTasksPerMachine + task},
                              (uint64_t{1} << 20) + task,
                              state,
                              ExitCause::None});
    return worker;
  }

  void heartbeat_all(uint64_t sequence_number, TaskState state) const {
    for (size_t i = 0; i < kMachines; ++i)
      scheduler->on_heartbeat(heartbeat(i, sequence_number, state), true, now);
  }

  void fail_over() const {
    for (size_t i = 0; i < kMachines; ++i)
      scheduler->restore_machine({machine_id(i), "10.0.0.2:9", "g", "e", false}, now);
    scheduler->on_job_record(array_record("job-1", kTasks), 5, now);
    heartbeat_all(1, TaskState::Running);
  }
};

TEST_F(SchedulerWorkBudget, TicksBetweenRoundsExamineNoMachineWithoutCommands) {
  fail_over();
  scheduler->tick(now);
  const size_t before = scheduler->work_counters().dispatch_checks;
  const double until_next_round = settings.tuning.round * settings.heartbeat_period_s;
  for (double fraction = 0.2; fraction < 1; fraction += 0.2)
    scheduler->tick(now + fraction * until_next_round);
  ASSERT_EQ(scheduler->work_counters().rounds, 1u);
  EXPECT_EQ(scheduler->work_counters().dispatch_checks, before);
}

TEST_F(SchedulerWorkBudget, FailoverExaminesEachTaskOnce) {
  fail_over();
  ASSERT_EQ(scheduler->jobs().at("job-1").possible_placements.size(), kTasks);
  EXPECT_LE(scheduler->work_counters().adoption_checks, kTasks);
}

TEST_F(SchedulerWorkBudget, FailoverThatReadsRecordLastExaminesEachTaskAtMostTwice) {
  for (size_t i = 0; i < kMachines; ++i)
    scheduler->restore_machine({machine_id(i), "10.0.0.2:9", "g", "e", false}, now);
  heartbeat_all(1, TaskState::Running);
  scheduler->on_job_record(array_record("job-1", kTasks), 5, now);
  ASSERT_EQ(scheduler->jobs().at("job-1").possible_placements.size(), kTasks);
  EXPECT_LE(scheduler->work_counters().adoption_checks, 2 * kTasks);
}

TEST_F(SchedulerWorkBudget, NewJobExaminesNoTasksOfOtherJobs) {
  fail_over();
  const size_t before = scheduler->work_counters().adoption_checks;
  for (int i = 2; i < 50; ++i)
    scheduler->on_job_record(array_record("job-" + std::to_string(i), 1), 5, now);
  EXPECT_EQ(scheduler->work_counters().adoption_checks, before);
}

}  // namespace
}  // namespace sumacquay
