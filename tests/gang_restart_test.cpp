// Restarts of gangs that have lost a task, with a leader that the test drives by hand.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace sumacquay {
namespace {

constexpr uint64_t kTerm = 3;
constexpr const char* kJob = "job-1";
constexpr const char* kFirst = "i-1";
constexpr const char* kSecond = "i-2";
constexpr double kLongFetchGb = 100;  ///< fetched in 100 s, longer than a task waits for the others
constexpr double kShortFetchGb = 15;

/// A leader with machines that have room for one task of the gang job-1 each. Their workers answer
/// every command at once with the states that the test gives.
struct GangRestartTest : testing::SchedulerFixture {
  struct Worker {
    uint64_t sequence_number = 2, token = 0;
    std::vector<TaskStatus> tasks;
  };

  GangRestartTest() : SchedulerFixture(kTerm, 1, 10) { machine_type.fetch_gb_per_s = 1; }

  void add_workers(const std::vector<std::string>& ids) {
    new_scheduler();
    for (const auto& id : ids) {
      add_machine(id);
      workers[id].token = fencing_token;
    }
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
    Worker& worker = workers[commands.machine];
    worker.token = std::max(worker.token, commands.fencing_token);
    for (const Command& command : commands.commands) {
      sent[commands.machine].push_back(command);
      if (command.type == CommandType::Start)
        worker.tasks.push_back({command.key, command.attempt, TaskState::Fetching});
      for (TaskStatus& task : worker.tasks)
        if (command.type == CommandType::Stop && task.attempt == command.attempt)
          task = {task.key, task.attempt, TaskState::Exited, ExitCause::Stopped};
    }
    scheduler->on_commands_answered(commands.machine, heartbeat_of(commands.machine), true, now);
  }

  WorkerHeartbeat heartbeat_of(const std::string& machine) {
    Worker& worker = workers[machine];
    return heartbeat(machine, ++worker.sequence_number, worker.token, worker.tasks);
  }

  /// The newest attempt on the machine is now in this state, and the worker reports it.
  void report(const std::string& machine, TaskState state, ExitCause cause = ExitCause::None) {
    now += 0.1;
    TaskStatus& task = workers[machine].tasks.back();
    task.state = state;
    task.cause = cause;
    scheduler->on_heartbeat(heartbeat_of(machine), true, now);
  }

  static size_t count(const std::vector<Command>& commands, CommandType type) {
    return static_cast<size_t>(
        std::count_if(commands.begin(), commands.end(),
                      [type](const Command& command) { return command.type == type; }));
  }
  uint64_t attempt_on(const std::string& machine) const {
    return workers.at(machine).tasks.back().attempt;
  }
  bool desired_running(const std::string& machine) const {
    const auto& attempts = scheduler->machines().at(machine).attempts;
    return std::any_of(attempts.begin(), attempts.end(), [](const auto& entry) {
      return entry.second.may_be_present() && entry.second.desired_running;
    });
  }

  double now = kNow;
  std::map<std::string, Worker> workers;
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

// Guards against tasks that exit before the fetch of another machine ends.
TEST_F(GangRestartTest, StartWaitsForFetchThatMayOutlastGangWait) {
  add_workers({kFirst, kSecond});
  scheduler->on_cached_image(kFirst, "img", kLongFetchGb);
  submit(gang_record(kLongFetchGb));
  EXPECT_TRUE(workers[kFirst].tasks.empty());
  ASSERT_EQ(workers[kSecond].tasks.size(), 1u);
  EXPECT_EQ(scheduler->jobs().at(kJob).possible_placements.size(), 2u) << "the room is taken";
  report(kSecond, TaskState::Waiting);
  run_round();
  ASSERT_EQ(workers[kFirst].tasks.size(), 1u);
  EXPECT_EQ(attempt_on(kFirst), attempt_on(kSecond));
}

TEST_F(GangRestartTest, StartsAtOnceWhenFetchEndsWithinGangWait) {
  add_workers({kFirst, kSecond});
  scheduler->on_cached_image(kFirst, "img", kShortFetchGb);
  submit(gang_record(kShortFetchGb));
  EXPECT_EQ(workers[kFirst].tasks.size(), 1u);
  EXPECT_EQ(workers[kSecond].tasks.size(), 1u);
}

// Guards against a fetch that is given up because the other task has not waited for its end.
TEST_F(GangRestartTest, FetchGoesOnAfterOtherTaskHasExited) {
  add_workers({kFirst, kSecond});
  submit(gang_record(kLongFetchGb));
  report(kFirst, TaskState::Waiting);
  report(kFirst, TaskState::Exited, ExitCause::GangIncomplete);
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
  WorkerHeartbeat reclaimed = heartbeat_of(kFirst);
  reclaimed.preemption_notice_s = 30;
  reclaimed.tasks[0].state = TaskState::Exited;
  reclaimed.tasks[0].cause = ExitCause::GangIncomplete;
  scheduler->on_heartbeat(reclaimed, true, now);
  const auto sent = run_round();
  EXPECT_EQ(count(sent.at(kSecond), CommandType::Stop), 1u);
  EXPECT_TRUE(scheduler->jobs().at(kJob).possible_placements.empty());
}

TEST_F(GangRestartTest, FetchIsStoppedWhenJobIsCancelled) {
  add_workers({kFirst, kSecond});
  submit(gang_record(kLongFetchGb));
  report(kFirst, TaskState::Waiting);
  report(kFirst, TaskState::Exited, ExitCause::GangIncomplete);
  run_round();
  JobRecord cancelled = scheduler->jobs().at(kJob).stored;
  cancelled.state = JobState::Cancelled;
  scheduler->on_job_record(cancelled, ++revision, now);
  EXPECT_EQ(count(run_round()[kSecond], CommandType::Stop), 1u);
  EXPECT_EQ(workers[kFirst].tasks.size(), 1u) << "the start that waited is not sent any more";
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
      workers[early->machine] = {early->sequence_number, fencing_token, early->tasks};
      scheduler->on_heartbeat(heartbeat_of(early->machine), true, now);
    }
    add_machine("i-3");
    workers["i-3"].token = fencing_token;
    run_round();
    EXPECT_TRUE(desired_running(kFirst)) << "the fetch goes on";
    ASSERT_EQ(workers["i-3"].tasks.size(), 1u) << "the missing task fetches its image";
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
