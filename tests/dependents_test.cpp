// Scheduling of jobs that depend on others.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

/// A leader with one machine, whose worker sends a heartbeat with each call of `heartbeat`.
class DependentJobs : public ::testing::Test {
 protected:
  DependentJobs() {
    settings_.heartbeat_period_s = 1;
    settings_.lease_s = 10;
    TeamSettings team;
    team.name = "t";
    team.cpus = 4;
    team.cpus_max = 6;
    settings_.teams = {team};
    type_.name = "g";
    type_.capacity = {8, 4, 64};
    type_.zones = {"e"};
    new_leader(1);
  }

  void new_leader(uint64_t term) {
    scheduler_ = std::make_unique<Scheduler>(settings_, term, now_, now_);
    scheduler_->set_machine_types({type_});
    heartbeat();
    heartbeat();
  }

  static JobRecord job(const std::string& id, std::vector<std::string> dependencies = {}) {
    JobRecord record;
    record.spec.id = id;
    record.spec.team = "t";
    record.spec.kind = JobKind::Array;
    record.spec.tasks = 2;
    record.spec.request = {1, 0, 1};
    record.spec.dependencies = std::move(dependencies);
    record.submitted_ms = 1;
    return record;
  }

  void store(const JobRecord& record) { scheduler_->on_job_record(record, ++revision_, now_); }

  void heartbeat(std::vector<TaskStatus> tasks = {}) {
    WorkerHeartbeat worker;
    worker.machine = "i-1";
    worker.addr = "10.0.0.2:9";
    worker.type = "g";
    worker.zone = "e";
    worker.agent_epoch = 1;
    worker.sequence_number = ++heartbeats_;
    worker.fencing_token = fencing_token_;
    worker.tasks = std::move(tasks);
    fencing_token_ = scheduler_->on_heartbeat(worker, true, now_).fencing_token;
  }

  /// Runs a placement round and commits the record writes that the leader plans after it.
  void round() {
    now_ += 0.5;
    scheduler_->request_round();
    scheduler_->tick(now_);
    for (int i = 0; i < 3; ++i)
      for (const auto& write : scheduler_->plan_writes(now_, 20)) {
        written_.push_back(write);
        scheduler_->on_write_answered(write, true, ++revision_, now_);
      }
  }

  bool assignments(const std::string& id) const {
    const auto found = scheduler_->jobs().find(id);
    return found != scheduler_->jobs().end() && !found->second.possible_placements.empty();
  }

  size_t being_stopped(const std::string& id) const {
    const auto& attempts = scheduler_->machines().at("i-1").attempts;
    return static_cast<size_t>(
        std::count_if(attempts.begin(), attempts.end(), [&](const auto& entry) {
          return entry.first.task.job == id && !entry.second.desired_running;
        }));
  }

  /// Reports all tasks of a placed job as done.
  void finish(const std::string& id) {
    std::vector<TaskStatus> tasks;
    for (const auto& [task, places] : scheduler_->jobs().at(id).possible_placements)
      for (const auto& place : places)
        tasks.push_back({{id, task}, place.attempt, TaskState::Exited, ExitCause::Done});
    heartbeat(tasks);
  }

  const RecordWrite* last_write_of(const std::string& id) const {
    const RecordWrite* last = nullptr;
    for (const auto& write : written_)
      if (write.job == id) last = &write;
    return last;
  }

  Settings settings_;
  MachineType type_;
  std::unique_ptr<Scheduler> scheduler_;
  std::vector<RecordWrite> written_;
  Seconds now_ = 1000;
  uint64_t revision_ = 100;
  uint64_t heartbeats_ = 0;
  uint64_t fencing_token_ = 0;
};

/// It is not enough that the leader has been told of the end of the last task: the write of the
/// job's record may still fail.
TEST_F(DependentJobs, StartOnceTheLastDependencyIsDurablyDone) {
  store(job("job-1"));
  store(job("job-2", {"job-1"}));
  round();
  EXPECT_TRUE(assignments("job-1"));
  EXPECT_FALSE(assignments("job-2"));
  finish("job-1");
  scheduler_->request_round();
  scheduler_->tick(now_ += 0.5);
  EXPECT_FALSE(assignments("job-2")) << "nothing of it is durable yet";
  round();
  round();
  EXPECT_TRUE(assignments("job-2"));
}

TEST_F(DependentJobs, StartTheSameWayUnderALeaderThatNeverSawTheDependency) {
  new_leader(2);
  store(job("job-2", {"job-1"}));
  round();
  EXPECT_FALSE(assignments("job-2"));
  EXPECT_EQ(scheduler_->unknown_dependencies(), std::set<std::string>{"job-1"});
  scheduler_->on_dependency_finished("job-1", {JobState::Done, 2, 5000});
  round();
  EXPECT_TRUE(assignments("job-2"));
}

TEST_F(DependentJobs, AreWrittenDownAsCancelledWithTheirDependency) {
  store(job("job-1"));
  store(job("job-2", {"job-1"}));
  store(job("job-3", {"job-2"}));
  auto cancelled = job("job-1");
  cancelled.state = JobState::Cancelled;
  store(cancelled);
  round();
  for (const std::string id : {"job-2", "job-3"}) {
    ASSERT_NE(last_write_of(id), nullptr) << id;
    EXPECT_EQ(last_write_of(id)->record->state, JobState::Cancelled);
    EXPECT_TRUE(last_write_of(id)->finished);
    EXPECT_FALSE(scheduler_->jobs().contains(id));
  }
}

/// When the job starts, its record drops the dependencies and keeps only the time at which it
/// became ready.
TEST_F(DependentJobs, KeepTheTimeWhenTheyWereReadyInTheirRecord) {
  store(job("job-2", {"job-1"}));
  scheduler_->on_dependency_finished("job-1", {JobState::Done, 2, 900000});
  round();
  ASSERT_NE(last_write_of("job-2"), nullptr);
  const JobRecord& record = *last_write_of("job-2")->record;
  EXPECT_TRUE(record.started);
  EXPECT_EQ(record.ready_ms, 900000u);
  EXPECT_TRUE(record.spec.dependencies.empty());
}

TEST_F(DependentJobs, TellWhenTheyWereDone) {
  store(job("job-1"));
  round();
  finish("job-1");
  round();
  ASSERT_NE(last_write_of("job-1"), nullptr);
  EXPECT_EQ(last_write_of("job-1")->record->state, JobState::Done);
  EXPECT_EQ(last_write_of("job-1")->record->ended_ms, static_cast<uint64_t>(now_ * 1000));
}

/// A job that waits for its dependencies uses nothing of its team's fair share. Otherwise the
/// younger job would exceed the fair share of four CPUs and could not preempt.
TEST_F(DependentJobs, HoldNothingOfTheGuaranteeWhileTheyWait) {
  TeamSettings other;
  other.name = "other";
  other.cpus_max = 100;
  settings_.teams.push_back(other);
  auto borrowed = job("job-1");
  borrowed.spec.team = "other";
  borrowed.spec.tasks = 8;
  store(borrowed);
  round();
  ASSERT_EQ(scheduler_->jobs().at("job-1").possible_placements.size(), 8u);
  auto waits = job("job-2", {"job-9"});
  waits.spec.tasks = 4;
  store(waits);
  auto younger = job("job-3");
  younger.submitted_ms = 2;
  store(younger);
  round();
  round();  // each round preempts for one task
  EXPECT_EQ(being_stopped("job-1"), 2u)
      << "job-3 is within the guarantee, and borrowed work yields";
}

/// The younger job goes first: the older one's waiting time counts from when it became ready.
TEST_F(DependentJobs, ArriveWhenTheyAreReady) {
  auto older = job("job-2", {"job-1"});
  older.spec.tasks = 6;
  auto younger = job("job-3");
  younger.spec.tasks = 6;
  younger.submitted_ms = 500000;
  store(older);
  store(younger);
  scheduler_->on_dependency_finished("job-1", {JobState::Done, 2, 900000});
  round();
  EXPECT_TRUE(assignments("job-3"));
  EXPECT_FALSE(assignments("job-2"));
}

/// Users set the priority on the last job of a pipeline only, so its dependencies have to inherit
/// it.
TEST_F(DependentJobs, LendTheirPriorityThroughAnyNumberOfSteps) {
  auto last = job("job-4", {"job-3"});
  last.spec.priority = Priority::High;
  store(job("job-1"));
  store(job("job-2", {"job-1"}));
  store(last);  // after a failover, records are read in any order
  store(job("job-3", {"job-2"}));
  for (const std::string id : {"job-1", "job-2", "job-3"})
    EXPECT_EQ(scheduler_->jobs().at(id).priority, Priority::High) << id;
  auto plain = job("job-5");
  plain.spec.tasks = 6;
  plain.submitted_ms = 0;
  store(plain);
  round();
  EXPECT_TRUE(assignments("job-1"));
  EXPECT_EQ(scheduler_->jobs().at("job-5").possible_placements.size(), 4u)
      << "what the limit of 6 CPUs leaves";
}

}  // namespace
}  // namespace sumacquay
