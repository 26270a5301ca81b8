// Machines with so many tasks that messages about them approach the protocol's limit on bodies, in
// virtual time. Workers and controllers refuse what is beyond it.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "scheduler_fixture.h"
#include "simulation/simulation.h"
#include "simulators/worker_state.h"

namespace sumacquay {
namespace {

using simulation::kOpenTeam;
using simulation::Simulation;
using simulation::SimulationOptions;

constexpr uint64_t kSeeds = 4;
/// Time until the first leader has placed a job.
constexpr Seconds kElectionTime = 15;
/// Time in which the array of `small_tasks` has to end: several times what its tasks take.
constexpr Seconds kMaxArrayTime = 120;
/// The fleet of these tests holds all tasks at once by CPUs and memory.
constexpr uint32_t kArrayTasks = 4000;

/// A fleet that cannot grow.
SimulationOptions four_machines() {
  SimulationOptions options;
  options.machines = 4;
  options.max_machines = 4;
  options.declared_boot_s = 60;
  options.min_task_s = 8;
  options.max_task_s = 12;
  return options;
}

JobSpec small_tasks() {
  JobSpec spec;
  spec.kind = JobKind::Array;
  spec.priority = Priority::Low;
  spec.tasks = kArrayTasks;
  spec.team = kOpenTeam;
  spec.request = {0.002, 0, 0.005};
  spec.image = "img";
  return spec;
}

JobSpec service(uint32_t replicas) {
  JobSpec spec;
  spec.kind = JobKind::Service;
  spec.priority = Priority::Production;
  spec.tasks = replicas;
  spec.team = kOpenTeam;
  spec.request = {2, 1, 4};
  spec.image = "img";
  return spec;
}

struct ReportSize : ::testing::TestWithParam<uint64_t> {
  explicit ReportSize(const SimulationOptions& options) : simulation(GetParam(), options) {}

  /// Starts a service with replicas on each machine, beside which the array runs.
  void start_service() {
    service_job = simulation.users().submit(service(12));
    ASSERT_TRUE(
        simulation.run_until([&] { return simulation.all_run(service_job); }, kElectionTime));
  }
  /// Runs the array until its tasks fill the heartbeats of all machines.
  void fill_machines(uint32_t tasks = kArrayTasks) {
    start_service();
    JobSpec array = small_tasks();
    array.tasks = tasks;
    array_job = simulation.users().submit(array);
    simulation.run_for(5);
    ASSERT_GT(tasks - simulation.waiting_tasks(array_job), 2000u);
  }
  /// Ends the leader's process, and starts more tasks on a machine before another leads.
  std::string overfill_machine(size_t tasks) {
    simulation.faults().restart_controller(simulation.leader_or_first(), 1);
    std::string machine = simulation.machines_running(service_job)[0];
    simulation.faults().overfill_machine(machine, array_job, tasks);
    return machine;
  }
  bool ends_within(const std::string& job, Seconds timeout) {
    return simulation.run_until([&] { return simulation.completed(job); }, timeout);
  }
  void expect_answers_and_commands_fit() const {
    EXPECT_EQ(simulation.workers().answers_refused(), 0u);
    EXPECT_EQ(simulation.command_channel().requests_refused(), 0u);
    EXPECT_EQ(simulation.checker().violations(), std::vector<std::string>{});
  }
  void expect_no_message_refused() const {
    EXPECT_EQ(simulation.workers().heartbeats_refused(), 0u);
    expect_answers_and_commands_fit();
  }
  /// Whether tasks have ended with the lease of the machine's worker.
  bool lease_lost(const std::string& machine) const {
    const auto& lost = simulation.workers().leases_lost();
    return std::find(lost.begin(), lost.end(), machine) != lost.end();
  }
  /// No task has ended with a worker's lease, and the service runs.
  void expect_nothing_lost() const {
    EXPECT_EQ(simulation.workers().leases_lost(), std::vector<std::string>{});
    EXPECT_TRUE(simulation.all_run(service_job));
  }

  Simulation simulation;
  std::string service_job, array_job;
};

struct SmallTasks : ReportSize {
  SmallTasks() : ReportSize(four_machines()) {}
};

INSTANTIATE_TEST_SUITE_P(Seeds, SmallTasks, ::testing::Range<uint64_t>(1, kSeeds + 1));

// Guards against more tasks on a machine than its worker can report: every controller refuses the
// report, and all tasks of the machine end with the worker's lease, again and again.
TEST_P(SmallTasks, RunToTheEndBesideServiceThatLosesNothing) {
  start_service();
  const size_t starts_before = simulation.checker().starts();
  const std::string array = simulation.users().submit(small_tasks());
  EXPECT_TRUE(ends_within(array, kMaxArrayTime));
  EXPECT_EQ(simulation.checker().starts(), starts_before + kArrayTasks) << "each task starts once";
  expect_nothing_lost();
  expect_no_message_refused();
}

// A new leader takes the tasks that it finds on a machine into account before it places others.
TEST_P(SmallTasks, RunToTheEndThroughFailovers) {
  fill_machines();
  for (int failover = 0; failover < 3; ++failover) {
    simulation.faults().restart_controller(simulation.leader_or_first(), 1);
    simulation.run_for(15);
  }
  EXPECT_TRUE(ends_within(array_job, kMaxArrayTime));
  expect_nothing_lost();
  expect_no_message_refused();
}

TEST_P(SmallTasks, AreGoneInTimeOnceCancelled) {
  fill_machines();
  simulation.users().cancel(array_job);
  simulation.run_for(four_machines().cancel_s + 5);
  EXPECT_TRUE(simulation.machines_running(array_job).empty());
  expect_nothing_lost();
  expect_no_message_refused();
}

/// Tasks that outlast a test.
SimulationOptions long_tasks() {
  SimulationOptions options = four_machines();
  options.min_task_s = 100;
  options.max_task_s = 120;
  return options;
}

struct OverfullMachines : ReportSize {
  OverfullMachines() : ReportSize(long_tasks()) {}
};

INSTANTIATE_TEST_SUITE_P(Seeds, OverfullMachines, ::testing::Range<uint64_t>(1, kSeeds + 1));

// Guards against stops that are sent in a message beyond the limit, again and again: a stop takes
// more space than a running task in a heartbeat.
TEST_P(OverfullMachines, StopMoreCancelledTasksThanOneMessageCarries) {
  fill_machines();
  const std::string machine = overfill_machine(450);
  ASSERT_TRUE(simulation.run_until([&] { return simulation.leader().has_value(); }, 15));
  simulation.run_for(5);
  ASSERT_EQ(simulation.workers().heartbeats_refused(), 0u);
  simulation.users().cancel(array_job);
  simulation.run_for(long_tasks().cancel_s + 5);
  EXPECT_TRUE(simulation.machines_running(array_job).empty());
  EXPECT_FALSE(lease_lost(machine));
  expect_answers_and_commands_fit();
}

// Guards against a new leader that leaves a machine to its lease because an earlier leader has
// started more tasks there than its worker can report. It hears of them in answers to probes.
TEST_P(OverfullMachines, ServiceKeepsRunningWhereNewLeaderFindsTooManyTasks) {
  fill_machines();
  const std::string machine = overfill_machine(1000);
  simulation.run_for(2 * long_tasks().lease_s);
  EXPECT_FALSE(lease_lost(machine));
  const auto running = simulation.machines_with(array_job, TaskState::Running);
  EXPECT_GT(std::count(running.begin(), running.end(), machine), 0);
  EXPECT_LT(std::count(running.begin(), running.end(), machine), 1000);
  EXPECT_TRUE(simulation.all_run(service_job));
  const size_t refused = simulation.workers().heartbeats_refused();
  simulation.run_for(2 * long_tasks().lease_s);
  EXPECT_EQ(simulation.workers().heartbeats_refused(), refused) << "its heartbeats fit by now";
  expect_answers_and_commands_fit();
}

/// A worker whose tasks end as soon as they are started, driven by hand.
struct RecordWithoutSpace : testing::SchedulerFixture {
  RecordWithoutSpace() : SchedulerFixture(1, 1, 10) {
    settings.state_value_kb = 0.1;  // lowered after the job had started
    machine_type.capacity = {96, 8, 384};
    new_scheduler();
    worker.id = "i-1";
    worker.addr = "10.0.0.2:9";
    worker.type = "g";
    worker.zone = "e";
    add_machine(worker.id);
    worker.sequence_number = 2;
    worker.fencing_token = fencing_token;
  }

  /// Sends a heartbeat and carries out the commands in the answer.
  void exchange_heartbeat() {
    const auto answer = scheduler->on_heartbeat(worker.heartbeat(), true, now);
    worker.fencing_token = std::max(worker.fencing_token, answer.fencing_token);
    execute(answer.commands);
  }
  void execute(const std::vector<Command>& commands) {
    for (const Command& command : commands) {
      const TaskAttemptId id{command.key, command.attempt};
      if (command.type == CommandType::Start)
        worker.tasks[id] = {TaskState::Exited, ExitCause::Done, 0};
      if (command.type == CommandType::Discard) worker.tasks.erase(id);
    }
  }
  void tick() {
    for (const Action& action : scheduler->tick(now)) {
      const auto* sent = std::get_if<SendCommands>(&action);
      if (!sent) continue;
      worker.fencing_token = std::max(worker.fencing_token, sent->fencing_token);
      execute(sent->commands);
      scheduler->on_commands_answered(worker.id, worker.heartbeat(), true, now);
    }
    for (const RecordWrite& write : scheduler->plan_writes(now, 10)) {
      if (write.finished && write.record->state == JobState::Done)
        done_tasks = write.record->done.count();
      scheduler->on_write_answered(write, true, ++revision, now);
    }
  }

  Seconds now = kNow;
  simulators::WorkerState worker;
  std::optional<uint32_t> done_tasks;  ///< in the finished record
};

// Guards against completed tasks that fill the heartbeat for good. They stay there until the record
// lists them as done, and this record has no space for that.
TEST_F(RecordWithoutSpace, ArrayLargerThanHeartbeatEnds) {
  JobRecord array = job_record("job-1", 3000);
  array.spec.request = {0.01, 0, 0.01};
  array.started = true;
  scheduler->on_job_record(array, ++revision, now);
  for (int round = 0; round < 200 && !done_tasks; ++round) {
    tick();
    exchange_heartbeat();
    now += 0.5;
  }
  EXPECT_EQ(done_tasks, 3000u);
}

}  // namespace
}  // namespace sumacquay
