// Restarts of gangs that have lost a task, with a leader that the test drives by hand.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "scheduler_fixture.h"
#include "simulators/worker_state.h"

namespace sumacquay {
namespace {

using simulators::WorkerState;

constexpr uint64_t kTerm = 3;
constexpr const char* kJob = "job-1";
constexpr const char* kFirst = "i-1";
constexpr const char* kSecond = "i-2";
constexpr double kLongFetchGb = 100;  ///< fetched in 100 s, longer than a task waits for the others
constexpr double kShortFetchGb = 15;

/// A leader with machines that have room for one task of the gang job-1 each. Their workers answer
/// every command at once with the states that the test gives.
struct GangRestartTest : testing::SchedulerFixture {
  GangRestartTest() : SchedulerFixture(kTerm, 1, 10) { machine_type.fetch_gb_per_s = 1; }

  /// A worker that the leader knows, which has shown its token.
  void add_worker(const std::string& id) {
    add_machine(id);
    WorkerState& worker = workers[id] = worker_state(id);
    worker.sequence_number = 2;
    worker.fencing_token = fencing_token;
  }
  void add_workers(const std::vector<std::string>& ids) {
    new_scheduler();
    for (const auto& id : ids) add_worker(id);
  }
  static WorkerState worker_state(const std::string& id) {
    WorkerState worker;
    worker.id = id;
    worker.addr = "10.0.0.2:9";
    worker.type = "g";
    worker.zone = "e";
    return worker;
  }

  JobRecord gang_record(double image_gb, uint32_t tasks = 2) const {
    JobRecord record = job_record(kJob, tasks);
    record.spec.kind = JobKind::Gang;
    record.spec.request = machine_type.capacity;
    record.spec.image = "img";
    record.spec.image_gb = image_gb;
    return record;
  }

  void submit(const JobRecord& record) {
    scheduler->on_job_record(record, ++revision, now);
    run_round();
  }

  /// Runs a round, commits the records, and answers all commands. Returns them by machine.
  std::map<std::string, std::vector<Command>> run_round() {
    std::map<std::string, std::vector<Command>> sent;
    for (int i = 0; i < 3; ++i) {
      now += 0.2;
      scheduler->request_round();
      for (const auto& action : scheduler->tick(now))
        if (const auto* commands = std::get_if<SendCommands>(&action)) carry_out(*commands, sent);
      for (const auto& write : scheduler->plan_writes(now, 20))
        scheduler->on_write_answered(write, true, ++revision, now);
    }
    return sent;
  }

  void carry_out(const SendCommands& commands, std::map<std::string, std::vector<Command>>& sent) {
    WorkerState& worker = workers.at(commands.machine);
    worker.fencing_token = std::max(worker.fencing_token, commands.fencing_token);
    for (const Command& command : commands.commands) {
      sent[commands.machine].push_back(command);
      if (command.type == CommandType::Start && worker.accepts_start(command))
        worker.tasks[{command.key, command.attempt}] = {};
      if (command.type == CommandType::Stop && worker.find(command))
        *worker.find(command) = {TaskState::Exited, ExitCause::Stopped};
    }
    scheduler->on_commands_answered(commands.machine, worker.heartbeat(), true, now);
  }

  /// The newest attempt on the machine is now in this state, and the worker reports it.
  void report(const std::string& machine, TaskState state, ExitCause cause = ExitCause::None) {
    now += 0.1;
    workers.at(machine).tasks.rbegin()->second = {state, cause};
    scheduler->on_heartbeat(workers.at(machine).heartbeat(), true, now);
  }

  /// Both machines begin to fetch, the first one has the image and its task exits incomplete.
  void lose_task_while_second_machine_fetches() {
    add_workers({kFirst, kSecond});
    submit(gang_record(kLongFetchGb));
    report(kFirst, TaskState::Waiting);
    report(kFirst, TaskState::Exited, ExitCause::GangIncomplete);
  }

  static size_t count(const std::vector<Command>& commands, CommandType type) {
    return static_cast<size_t>(
        std::count_if(commands.begin(), commands.end(),
                      [type](const Command& command) { return command.type == type; }));
  }
  uint64_t attempt_on(const std::string& machine) const {
    return workers.at(machine).tasks.rbegin()->first.attempt;
  }
  bool desired_running(const std::string& machine) const {
    const auto& attempts = scheduler->machines().at(machine).attempts;
    return std::any_of(attempts.begin(), attempts.end(), [](const auto& entry) {
      return entry.second.may_be_present() && entry.second.desired_running;
    });
  }

  double now = kNow;
  std::map<std::string, WorkerState> workers;
};

// Guards against a gang that runs and is stopped because a new leader hears of a task that ended
// in an earlier attempt of the gang.
TEST_F(GangRestartTest, EarlierAttemptsExitDoesNotStopNewerAttempt) {
  new_scheduler();
  JobRecord record = gang_record(0);
  record.started = true;
  record.hosts = {kFirst, kSecond, "i-3"};
  for (const auto& id : *record.hosts)
    scheduler->restore_machine({id, "10.0.0.2:9", "g", "e", false}, now);
  scheduler->on_job_record(record, ++revision, now);
  scheduler->on_heartbeat(heartbeat(kFirst, 5, fencing_token, {{{kJob, 0}, 8, TaskState::Running}}),
                          true, now);
  scheduler->on_heartbeat(
      heartbeat(kSecond, 5, fencing_token, {{{kJob, 1}, 8, TaskState::Running}}), true, now);
  scheduler->on_heartbeat(heartbeat("i-3", 5, fencing_token,
                                    {{{kJob, 1}, 7, TaskState::Exited, ExitCause::GangIncomplete}}),
                          true, now);
  EXPECT_TRUE(desired_running(kFirst));
  EXPECT_TRUE(desired_running(kSecond));
}

// Guards against tasks that exit before the fetch of another machine ends, and against starts that
// wait for a fetch that ends in time.
TEST_F(GangRestartTest, StartWaitsForFetchThatMayOutlastGangWait) {
  for (const double image_gb : {kLongFetchGb, kShortFetchGb}) {
    add_workers({kFirst, kSecond});
    scheduler->on_cached_image(kFirst, "img", image_gb);
    submit(gang_record(image_gb));
    EXPECT_EQ(workers.at(kFirst).tasks.size(), image_gb == kShortFetchGb ? 1u : 0u) << image_gb;
    ASSERT_EQ(workers.at(kSecond).tasks.size(), 1u) << image_gb;
    EXPECT_EQ(scheduler->jobs().at(kJob).possible_placements.size(), 2u) << "the room is taken";
    report(kSecond, TaskState::Waiting);
    run_round();
    ASSERT_EQ(workers.at(kFirst).tasks.size(), 1u) << image_gb;
    EXPECT_EQ(attempt_on(kFirst), attempt_on(kSecond)) << image_gb;
  }
}

// Guards against a fetch that is given up because the other task has not waited for its end.
TEST_F(GangRestartTest, FetchGoesOnAfterOtherTaskHasExited) {
  lose_task_while_second_machine_fetches();
  EXPECT_TRUE(run_round().empty()) << "the second machine fetches, the first one's start waits";
  EXPECT_TRUE(desired_running(kSecond));
  EXPECT_EQ(scheduler->jobs().at(kJob).possible_placements.size(), 2u) << "the room is taken";
  report(kSecond, TaskState::Waiting);
  const auto sent = run_round();
  EXPECT_EQ(count(sent.at(kSecond), CommandType::Stop), 1u);
  EXPECT_EQ(count(sent.at(kSecond), CommandType::Start), 1u);
  EXPECT_EQ(count(sent.at(kFirst), CommandType::Start), 1u);
  EXPECT_EQ(attempt_on(kFirst), attempt_on(kSecond));
}

// Guards against a gang that loses the room of the task that has exited to a job after it, while
// another of its tasks is still being stopped.
TEST_F(GangRestartTest, MissingTaskTakesItsRoomBackAtOnce) {
  add_workers({kFirst, kSecond, "i-3"});
  submit(gang_record(kLongFetchGb, 3));
  report(kFirst, TaskState::Waiting);
  report("i-3", TaskState::Waiting);
  JobRecord later = job_record("job-2", 1);
  later.spec.request = machine_type.capacity;
  later.submitted_ms = 2;
  scheduler->on_job_record(later, ++revision, now);
  report(kFirst, TaskState::Exited, ExitCause::GangIncomplete);
  scheduler->request_round();
  scheduler->tick(now);  // the stop on i-3 is not answered yet
  EXPECT_TRUE(scheduler->jobs().at("job-2").possible_placements.empty());
  EXPECT_EQ(scheduler->jobs().at(kJob).possible_placements.size(), 3u);
}

// Guards against part of a gang that holds machines while there is no room for the rest.
TEST_F(GangRestartTest, FetchIsStoppedWhenOtherTaskFindsNoRoom) {
  add_workers({kFirst, kSecond});
  submit(gang_record(kLongFetchGb));
  report(kFirst, TaskState::Waiting);
  workers.at(kFirst).tasks.rbegin()->second = {TaskState::Exited, ExitCause::GangIncomplete};
  WorkerHeartbeat reclaimed = workers.at(kFirst).heartbeat();
  reclaimed.preemption_notice_s = 30;
  scheduler->on_heartbeat(reclaimed, true, now);
  const auto sent = run_round();
  EXPECT_EQ(count(sent.at(kSecond), CommandType::Stop), 1u);
  EXPECT_TRUE(scheduler->jobs().at(kJob).possible_placements.empty());
}

TEST_F(GangRestartTest, FetchIsStoppedWhenJobIsCancelled) {
  lose_task_while_second_machine_fetches();
  run_round();
  JobRecord cancelled = scheduler->jobs().at(kJob).stored;
  cancelled.state = JobState::Cancelled;
  scheduler->on_job_record(cancelled, ++revision, now);
  EXPECT_EQ(count(run_round()[kSecond], CommandType::Stop), 1u);
  EXPECT_EQ(workers.at(kFirst).tasks.size(), 1u) << "the start that waited is not sent any more";
}

// Guards against a new leader that gives up the fetch of an abandoned attempt, in whichever order
// it hears of the two attempts, and against one that starts the gang without the missing task.
TEST_F(GangRestartTest, NewLeaderLetsFetchOfEarlierAttemptGoOn) {
  const auto older = heartbeat(kFirst, 5, 1, {{{kJob, 0}, 7, TaskState::Fetching}});
  const auto newer = heartbeat(kSecond, 5, 1, {{{kJob, 1}, 8, TaskState::Waiting}});
  for (const bool older_first : {true, false}) {
    new_scheduler();
    workers.clear();
    JobRecord record = gang_record(kLongFetchGb, 3);
    record.started = true;
    record.hosts = {kFirst, kSecond};
    for (const auto& id : *record.hosts)
      scheduler->restore_machine({id, "10.0.0.2:9", "g", "e", false}, now);
    scheduler->on_job_record(record, ++revision, now);
    scheduler->on_heartbeat(older_first ? older : newer, true, now);
    scheduler->on_heartbeat(older_first ? newer : older, true, now);
    EXPECT_TRUE(desired_running(kFirst)) << older_first;
    for (const auto* early : {&older, &newer}) {
      WorkerState& worker = workers[early->machine] = worker_state(early->machine);
      worker.sequence_number = early->sequence_number;
      worker.fencing_token = fencing_token;
      for (const TaskStatus& task : early->tasks)
        worker.tasks[{task.key, task.attempt}] = {task.state, task.cause};
      scheduler->on_heartbeat(worker.heartbeat(), true, now);
    }
    add_worker("i-3");
    run_round();
    EXPECT_TRUE(desired_running(kFirst)) << "the fetch goes on";
    ASSERT_EQ(workers.at("i-3").tasks.size(), 1u) << "the missing task fetches its image";
    EXPECT_GT(attempt_on("i-3"), 8u);
    report("i-3", TaskState::Waiting);
    report(kFirst, TaskState::Waiting);
    run_round();
    run_round();
    EXPECT_EQ(attempt_on(kFirst), attempt_on("i-3"));
    EXPECT_EQ(attempt_on(kSecond), attempt_on("i-3"));
  }
}

}  // namespace
}  // namespace sumacquay
