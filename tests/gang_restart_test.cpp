// Restarts of gangs that have lost a task, with a leader that the test drives by hand.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "scheduler_fixture.h"

namespace sumacquay {
namespace {

constexpr uint64_t kTerm = 3;
constexpr const char* kJob = "job-1";
constexpr const char* kFirst = "i-1";
constexpr const char* kSecond = "i-2";

/// A leader with a gang job, job-1, and machines that earlier leaders have used.
struct GangRestartTest : testing::SchedulerFixture {
  GangRestartTest() : SchedulerFixture(kTerm, 1, 10) {}

  JobRecord gang_record() const {
    JobRecord record = job_record(kJob, 2);
    record.spec.kind = JobKind::Gang;
    record.spec.request = machine_type.capacity;
    return record;
  }

  bool desired_running(const std::string& machine) const {
    const auto& attempts = scheduler->machines().at(machine).attempts;
    return std::any_of(attempts.begin(), attempts.end(), [](const auto& entry) {
      return entry.second.may_be_present() && entry.second.desired_running;
    });
  }

  double now = kNow;
};

// Guards against a gang that runs and is stopped because a new leader hears of a task that ended
// in an earlier attempt of the gang.
TEST_F(GangRestartTest, EarlierAttemptsExitDoesNotStopNewerAttempt) {
  new_scheduler();
  JobRecord record = gang_record();
  record.started = true;
  record.hosts = {kFirst, kSecond, "i-3"};
  for (const auto& id : *record.hosts)
    scheduler->restore_machine({id, "10.0.0.2:9", "g", "e", false}, now);
  scheduler->on_job_record(record, ++revision, now);
  scheduler->on_heartbeat(heartbeat(kFirst, 5, 1, {{{kJob, 0}, 8, TaskState::Running}}), true, now);
  scheduler->on_heartbeat(heartbeat(kSecond, 5, 1, {{{kJob, 1}, 8, TaskState::Running}}), true,
                          now);
  scheduler->on_heartbeat(
      heartbeat("i-3", 5, 1, {{{kJob, 1}, 7, TaskState::Exited, ExitCause::GangIncomplete}}), true,
      now);
  EXPECT_TRUE(desired_running(kFirst));
  EXPECT_TRUE(desired_running(kSecond));
}

}  // namespace
}  // namespace sumacquay
