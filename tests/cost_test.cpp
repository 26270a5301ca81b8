// Budgets for the scheduler's work, counted in examined items (WorkCounters): the work grows with
// the number of events, not with the number of jobs, tasks and machines.
#include <gtest/gtest.h>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

constexpr uint64_t kTerm = 2;
constexpr uint64_t kFencingToken = kTerm << 20;
constexpr size_t kMachines = 40;
constexpr uint32_t kTasksEach = 50;
constexpr uint32_t kTasks = kMachines * kTasksEach;

/// A fleet that runs one array of many tasks, all of them started under an earlier leader.
struct LargeArray : ::testing::Test {
  Settings settings;
  double now = 1000;
  std::unique_ptr<Scheduler> scheduler;

  LargeArray() {
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

  static JobRecord array(const std::string& id, uint32_t tasks) {
    JobRecord r;
    r.spec.id = id;
    r.spec.team = "t";
    r.spec.tasks = tasks;
    r.spec.request = {1, 0, 1};
    r.started = true;
    r.submitted_ms = 1;
    return r;
  }

  static std::string machine(size_t i) { return "i-" + std::to_string(100 + i); }

  WorkerHeartbeat heartbeat(size_t i, uint64_t sequence_number, TaskState state) const {
    WorkerHeartbeat r;
    r.machine = machine(i);
    r.addr = "10.0.0.2:9";
    r.type = "g";
    r.zone = "e";
    r.agent_epoch = 1;
    r.sequence_number = sequence_number;
    r.fencing_token = kFencingToken;
    for (uint32_t t = 0; t < kTasksEach; ++t)
      r.tasks.push_back({{"job-1", static_cast<uint32_t>(i) * kTasksEach + t},
                         (uint64_t{1} << 20) + t,
                         state,
                         ExitCause::None});
    return r;
  }

  void heartbeat_all(uint64_t sequence_number, TaskState state) const {
    for (size_t i = 0; i < kMachines; ++i)
      scheduler->on_heartbeat(heartbeat(i, sequence_number, state), true, now);
  }

  void take_over() const {
    for (size_t i = 0; i < kMachines; ++i)
      scheduler->restore_machine({machine(i), "10.0.0.2:9", "g", "e", false}, now);
    scheduler->on_job_record(array("job-1", kTasks), 5, now);
    heartbeat_all(1, TaskState::Running);
  }
};

TEST_F(LargeArray, TicksBetweenTwoRoundsLookAtNoMachineForOrdersUnlessItHasAny) {
  take_over();
  scheduler->tick(now);
  const size_t before = scheduler->work().dispatch_checks;
  const double until_next_round = settings.tuning.round * settings.heartbeat_period_s;
  for (double share = 0.2; share < 1; share += 0.2) scheduler->tick(now + share * until_next_round);
  ASSERT_EQ(scheduler->work().rounds, 1u);
  EXPECT_EQ(scheduler->work().dispatch_checks, before);
}

TEST_F(LargeArray, ATakeoverLooksAtEachTaskOnce) {
  take_over();
  ASSERT_EQ(scheduler->jobs().at("job-1").possible_placements.size(), kTasks);
  EXPECT_LE(scheduler->work().adoption_checks, kTasks);
}

TEST_F(LargeArray, ATakeoverThatReadsTheRecordLastLooksAtEachTaskTwiceAtMost) {
  for (size_t i = 0; i < kMachines; ++i)
    scheduler->restore_machine({machine(i), "10.0.0.2:9", "g", "e", false}, now);
  heartbeat_all(1, TaskState::Running);
  scheduler->on_job_record(array("job-1", kTasks), 5, now);
  ASSERT_EQ(scheduler->jobs().at("job-1").possible_placements.size(), kTasks);
  EXPECT_LE(scheduler->work().adoption_checks, 2 * kTasks);
}

TEST_F(LargeArray, AJobThatArrivesLooksAtNoOtherJobsTasks) {
  take_over();
  const size_t before = scheduler->work().adoption_checks;
  for (int i = 2; i < 50; ++i)
    scheduler->on_job_record(array("job-" + std::to_string(i), 1), 5, now);
  EXPECT_EQ(scheduler->work().adoption_checks, before);
}

}  // namespace
}  // namespace sumacquay
