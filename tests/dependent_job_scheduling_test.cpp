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
class DependentJobScheduling : public ::testing::Test {
 protected:
  DependentJobScheduling() {
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
    start_leader(1);
  }

  void start_leader(uint64_t term) {
    scheduler_ = std::make_unique<Scheduler>(settings_, term, now_, now_);
    scheduler_->set_machine_types({type_});
    heartbeat();
    heartbeat();
  }

  static JobRecord job_record(const std::string& id, std::vector<std::string> dependencies = {}) {
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

  void read_record(const JobRecord& record) {
    scheduler_->on_job_record(record, ++revision_, now_);
  }

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
  void run_round() {
    now_ += 0.5;
    scheduler_->request_round();
    scheduler_->tick(now_);
    for (int i = 0; i < 3; ++i)
      for (const auto& write : scheduler_->plan_writes(now_, 20)) {
        written_.push_back(write);
        scheduler_->on_write_answered(write, true, ++revision_, now_);
      }
  }

  bool placed(const std::string& id) const {
    const auto found = scheduler_->jobs().find(id);
    return found != scheduler_->jobs().end() && !found->second.possible_placements.empty();
  }

  size_t tasks_being_stopped(const std::string& id) const {
    const auto& attempts = scheduler_->machines().at("i-1").attempts;
    return static_cast<size_t>(
        std::count_if(attempts.begin(), attempts.end(), [&](const auto& entry) {
          return entry.first.task.job == id && !entry.second.desired_running;
        }));
  }

  /// Reports all tasks of a placed job as done.
  void report_done(const std::string& id) {
    std::vector<TaskStatus> tasks;
    for (const auto& [task, placements] : scheduler_->jobs().at(id).possible_placements)
      for (const auto& placement : placements)
        tasks.push_back({{id, task}, placement.attempt, TaskState::Exited, ExitCause::Done});
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

/// A worker's report that the last task is done is not enough: the write of the job's record may
/// still fail.
TEST_F(DependentJobScheduling, StartsJobOnceLastDependencyIsDurablyDone) {
  read_record(job_record("job-1"));
  read_record(job_record("job-2", {"job-1"}));
  run_round();
  EXPECT_TRUE(placed("job-1"));
  EXPECT_FALSE(placed("job-2"));
  report_done("job-1");
  scheduler_->request_round();
  scheduler_->tick(now_ += 0.5);
  EXPECT_FALSE(placed("job-2")) << "the end of job-1 is not durable yet";
  run_round();
  run_round();
  EXPECT_TRUE(placed("job-2"));
}

TEST_F(DependentJobScheduling, StartsJobUnderLeaderWithoutRecordOfDependency) {
  start_leader(2);
  read_record(job_record("job-2", {"job-1"}));
  run_round();
  EXPECT_FALSE(placed("job-2"));
  EXPECT_EQ(scheduler_->unknown_dependencies(), std::set<std::string>{"job-1"});
  scheduler_->on_dependency_finished("job-1", {JobState::Done, 2, 5000});
  run_round();
  EXPECT_TRUE(placed("job-2"));
}

TEST_F(DependentJobScheduling, RecordsDependentsOfCancelledJobAsCancelled) {
  read_record(job_record("job-1"));
  read_record(job_record("job-2", {"job-1"}));
  read_record(job_record("job-3", {"job-2"}));
  auto cancelled = job_record("job-1");
  cancelled.state = JobState::Cancelled;
  read_record(cancelled);
  run_round();
  for (const std::string id : {"job-2", "job-3"}) {
    ASSERT_NE(last_write_of(id), nullptr) << id;
    EXPECT_EQ(last_write_of(id)->record->state, JobState::Cancelled);
    EXPECT_TRUE(last_write_of(id)->finished);
    EXPECT_FALSE(scheduler_->jobs().contains(id));
  }
}

/// When the job starts, its record drops the dependencies and keeps only the time at which it
/// became ready.
TEST_F(DependentJobScheduling, RecordOfStartedJobKeepsReadyTime) {
  read_record(job_record("job-2", {"job-1"}));
  scheduler_->on_dependency_finished("job-1", {JobState::Done, 2, 900000});
  run_round();
  ASSERT_NE(last_write_of("job-2"), nullptr);
  const JobRecord& record = *last_write_of("job-2")->record;
  EXPECT_TRUE(record.started);
  EXPECT_EQ(record.ready_ms, 900000u);
  EXPECT_TRUE(record.spec.dependencies.empty());
}

TEST_F(DependentJobScheduling, RecordOfDoneJobHasItsEndTime) {
  read_record(job_record("job-1"));
  run_round();
  report_done("job-1");
  run_round();
  ASSERT_NE(last_write_of("job-1"), nullptr);
  EXPECT_EQ(last_write_of("job-1")->record->state, JobState::Done);
  EXPECT_EQ(last_write_of("job-1")->record->ended_ms, static_cast<uint64_t>(now_ * 1000));
}

/// A job that waits for its dependencies uses nothing of its team's fair share. Otherwise the
/// younger job would exceed the fair share of four CPUs and could not preempt.
TEST_F(DependentJobScheduling, WaitingJobUsesNothingOfFairShare) {
  TeamSettings other;
  other.name = "other";
  other.cpus_max = 100;
  settings_.teams.push_back(other);
  auto borrower = job_record("job-1");
  borrower.spec.team = "other";
  borrower.spec.tasks = 8;
  read_record(borrower);
  run_round();
  ASSERT_EQ(scheduler_->jobs().at("job-1").possible_placements.size(), 8u);
  auto waiting = job_record("job-2", {"job-9"});
  waiting.spec.tasks = 4;
  read_record(waiting);
  auto younger = job_record("job-3");
  younger.submitted_ms = 2;
  read_record(younger);
  run_round();
  run_round();  // each round preempts for one task
  EXPECT_EQ(tasks_being_stopped("job-1"), 2u)
      << "job-3 is within its team's fair share, so borrowed tasks are preempted";
}

/// The younger job goes first: the older one's waiting time counts from when it became ready.
TEST_F(DependentJobScheduling, QueuesJobByTheTimeItBecameReady) {
  auto older = job_record("job-2", {"job-1"});
  older.spec.tasks = 6;
  auto younger = job_record("job-3");
  younger.spec.tasks = 6;
  younger.submitted_ms = 500000;
  read_record(older);
  read_record(younger);
  scheduler_->on_dependency_finished("job-1", {JobState::Done, 2, 900000});
  run_round();
  EXPECT_TRUE(placed("job-3"));
  EXPECT_FALSE(placed("job-2"));
}

/// Users set the priority on the last job of a pipeline only, so its dependencies have to inherit
/// it.
TEST_F(DependentJobScheduling, DependenciesInheritPriorityTransitively) {
  auto last = job_record("job-4", {"job-3"});
  last.spec.priority = Priority::High;
  read_record(job_record("job-1"));
  read_record(job_record("job-2", {"job-1"}));
  read_record(last);  // after a failover, records are read in any order
  read_record(job_record("job-3", {"job-2"}));
  for (const std::string id : {"job-1", "job-2", "job-3"})
    EXPECT_EQ(scheduler_->jobs().at(id).priority, Priority::High) << id;
  auto unrelated = job_record("job-5");
  unrelated.spec.tasks = 6;
  unrelated.submitted_ms = 0;
  read_record(unrelated);
  run_round();
  EXPECT_TRUE(placed("job-1"));
  EXPECT_EQ(scheduler_->jobs().at("job-5").possible_placements.size(), 4u)
      << "4 of the team's 6 CPUs are left beside job-1";
}

}  // namespace
}  // namespace sumacquay
