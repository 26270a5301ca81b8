// What the scheduler derives from the records of jobs that depend on others, in whatever order the
// records are read.
#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <utility>

#include "dispatch/scheduler.h"

namespace sumacquay {
namespace {

constexpr Seconds kNow = 1000;
constexpr Seconds kPreviousLeaderFencedAt = 1002;
constexpr size_t kMaxChanges = 12;

struct DependencyRecordIngestion : ::testing::Test {
  Settings settings;
  std::unique_ptr<Scheduler> scheduler;

  DependencyRecordIngestion() {
    TeamSettings team;
    team.name = "t";
    settings.teams = {team};
    scheduler = std::make_unique<Scheduler>(settings, 1, kNow, kPreviousLeaderFencedAt);
  }

  static JobRecord job_record(const std::string& id, std::vector<std::string> dependencies = {}) {
    JobRecord record;
    record.spec.id = id;
    record.spec.team = "t";
    record.spec.request = {1, 1, 1};
    record.spec.dependencies = std::move(dependencies);
    record.submitted_ms = 1;
    return record;
  }
  static JobRecord ended_record(const std::string& id, JobState state) {
    JobRecord record = job_record(id);
    record.state = state;
    record.started = true;
    return record;
  }
  /// Adds a machine whose worker has not sent a heartbeat yet: ended jobs stay among the live
  /// records while their tasks may still be on it.
  void add_silent_machine() const {
    scheduler->restore_machine({"i-1", "10.0.0.1:9", "g", "e", false}, kNow);
  }
};

TEST_F(DependencyRecordIngestion, RecordsCancellationOfDependentsInAnyReadOrder) {
  add_silent_machine();
  scheduler->on_job_record(ended_record("job-1", JobState::Cancelled), 1, kNow);
  scheduler->on_job_record(job_record("job-3", {"job-2"}), 1, kNow);
  scheduler->on_job_record(job_record("job-2", {"job-1"}), 1, kNow);
  EXPECT_TRUE(scheduler->unknown_dependencies().empty());
  std::set<std::string> cancelled;
  for (const auto& write : scheduler->plan_writes(kNow, kMaxChanges))
    if (write.finished && write.record->state == JobState::Cancelled) cancelled.insert(write.job);
  const std::set<std::string> dependents{"job-2", "job-3"};
  EXPECT_EQ(cancelled, dependents) << "job-1 stays live, as its tasks may still run";
}

TEST_F(DependencyRecordIngestion, FindsEndOfDependencyAmongLiveRecords) {
  add_silent_machine();
  scheduler->on_job_record(ended_record("job-1", JobState::Done), 1, kNow);
  scheduler->on_job_record(job_record("job-2", {"job-1"}), 1, kNow);
  EXPECT_TRUE(scheduler->unknown_dependencies().empty());
  scheduler->on_job_record(job_record("job-3", {"job-9"}), 1, kNow);
  EXPECT_EQ(scheduler->unknown_dependencies(), std::set<std::string>{"job-9"});
}

}  // namespace
}  // namespace sumacquay
