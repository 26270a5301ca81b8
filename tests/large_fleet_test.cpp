// Scheduling for a fleet of 4,500 machines: no limit in the code is below that size, and a new
// leader reconciles a fleet whose workers all reconnect at once. docs/limits.md lists the limits.
#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <set>

#include "dispatch/scheduler.h"
#include "generators.h"
#include "scheduler_fixture.h"

namespace sumacquay {
namespace {

constexpr uint64_t kTerm = 7;
constexpr int kMachines = 4500;

struct LargeFleet : testing::SchedulerFixture {
  LargeFleet() : SchedulerFixture(kTerm, 6, 31) {
    settings.cancel_s = 70;
    machine_type.boot_s = 50;
    new_scheduler();
  }

  static std::string machine_id(int i) { return "i-" + std::to_string(100000 + i); }
  static std::string job_id(int i) { return "job-" + std::to_string(100000 + i); }

  WorkerHeartbeat next_heartbeat(int i, uint64_t reported_token,
                                 std::vector<TaskStatus> tasks = {}) {
    return heartbeat(machine_id(i), ++heartbeats, reported_token, std::move(tasks));
  }

  void add_machines(int count) {
    for (int i = 0; i < count; ++i) add_machine(machine_id(i));
    heartbeats += 2;
  }

  size_t placements(int i) const {
    return scheduler->jobs().at(job_id(i)).possible_placements.size();
  }

  uint64_t heartbeats = 0;
};

TEST_F(LargeFleet, PlacesJobOfAnySizeInOneRoundUpToCapacity) {
  struct Case {
    JobKind kind;
    int machines;
    uint32_t tasks;
    Resources request;
    size_t placements;
  };
  constexpr Resources kSmall{1, 1, 1};
  constexpr Resources kWholeMachine{4, 4, 4};
  const std::vector<Case> cases = {
      {JobKind::Array, kMachines, kMachines, kSmall, kMachines},
      {JobKind::Gang, kMachines, kMachines, kWholeMachine, kMachines},
      {JobKind::Array, 10, 100000, kSmall, 40},
  };
  for (const Case& test_case : cases) {
    new_scheduler();
    add_machines(test_case.machines);
    JobRecord record = job_record(job_id(1), test_case.tasks);
    record.spec.kind = test_case.kind;
    record.spec.request = test_case.request;
    scheduler->on_job_record(record, 5, kNow);
    scheduler->tick(kNow);
    EXPECT_EQ(placements(1), test_case.placements)
        << test_case.machines << " machines, " << test_case.tasks << " tasks";
  }
}

TEST_F(LargeFleet, ScalesOutInProportionToFleetWithinRequestLimit) {
  add_machines(kMachines);
  scheduler->on_job_record(job_record(job_id(1), 4 * kMachines), 5, kNow);
  scheduler->on_job_record(job_record(job_id(2), 4 * kMachines), 6, kNow);
  const auto requests = scale_out_counts(scheduler->tick(kNow));
  int total = 0;
  for (const int request : requests) {
    EXPECT_LE(request, 50) << "the cloud protocol's limit on machines of a request";
    total += request;
  }
  EXPECT_EQ(total, static_cast<int>(settings.tuning.rent * kMachines));
}

TEST_F(LargeFleet, ScalesInManyMachinesInSeveralRequests) {
  constexpr int kIdle = 250;
  add_machines(kIdle);
  std::set<std::string> released;
  double now = kNow;
  for (int step = 0; step < 40 && released.size() < kIdle; ++step) {
    now += settings.heartbeat_period_s;
    for (int i = 0; i < kIdle; ++i)
      if (!released.contains(machine_id(i)))
        scheduler->on_heartbeat(next_heartbeat(i, fencing_token), true, now);
    for (const auto& action : scheduler->tick(now)) {
      const auto* release = std::get_if<ScaleIn>(&action);
      if (!release) continue;
      EXPECT_LE(release->machines.size(), 100u)
          << "the cloud protocol's limit on machines of a request";
      released.insert(release->machines.begin(), release->machines.end());
      scheduler->on_scale_in_answered(*release, true, now);
    }
  }
  EXPECT_EQ(released.size(), size_t{kIdle});
}

// All workers send heartbeats to a new leader at once: it reconciles each of them, stops tasks of
// cancelled jobs in the answer that renews the lease, and places the jobs that waited.
TEST_F(LargeFleet, ReconcilesAllWorkersReconnectingAtOnce) {
  EXPECT_TRUE(testing::check_property(
      "all workers reconnect at once",
      [this] {
        new_scheduler();
        const int cancelled = *rc::gen::inRange(0, kMachines);
        const int waiting = *rc::gen::inRange(1000, 3000);
        std::mt19937_64 random(static_cast<uint64_t>(*rc::gen::inRange(0, 1 << 30)));
        for (int i = 0; i < kMachines; ++i) {
          HostRecord host;
          host.id = machine_id(i);
          host.addr = "10.0.0.2:9";
          host.type = "g";
          host.zone = "e";
          scheduler->restore_machine(host, kNow);
          auto record = job_record(job_id(i), 1);
          record.started = true;
          record.hosts = std::vector<std::string>{machine_id(i)};
          if (i < cancelled) record.state = JobState::Cancelled;
          scheduler->on_job_record(record, ++revision, kNow);
        }
        for (int i = 0; i < waiting; ++i)
          scheduler->on_job_record(job_record(job_id(kMachines + i), 1), ++revision, kNow);
        RC_ASSERT(!scheduler->all_reconciled());
        std::vector<int> order(kMachines);
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), random);
        constexpr uint64_t kOldFencingToken = (kTerm - 1) << kFencingTokenCounterBits;
        for (const int i : order) {
          const TaskStatus task{{job_id(i), 0}, kOldFencingToken | 1, TaskState::Running};
          const auto answer =
              scheduler->on_heartbeat(next_heartbeat(i, kOldFencingToken, {task}), true, kNow);
          RC_ASSERT(answer.accepted && answer.fencing_token >= fencing_token);
          const bool stops =
              std::any_of(answer.commands.begin(), answer.commands.end(),
                          [](const Command& command) { return command.type == CommandType::Stop; });
          RC_ASSERT(stops == (i < cancelled));
          scheduler->on_heartbeat(next_heartbeat(i, fencing_token, {task}), true, kNow);
        }
        RC_ASSERT(scheduler->all_reconciled());
        scheduler->tick(kNow);
        size_t started = 0;
        for (int i = 0; i < waiting; ++i) started += placements(kMachines + i);
        RC_ASSERT(started == static_cast<size_t>(waiting));
      },
      3));
}

TEST_F(LargeFleet, ReportsTermNearlyExhaustedBeforeItsTokensRunOut) {
  add_machines(1);
  constexpr uint64_t kTokensUsed = kFencingTokenCounterEnd * 95 / 100;
  for (uint64_t i = 0; i < kTokensUsed; ++i) {
    ASSERT_TRUE(i >= kFencingTokenCounterEnd / 2 || !scheduler->term_nearly_exhausted());
    scheduler->on_commands_answered(machine_id(0), std::nullopt, false, kNow);
  }
  EXPECT_TRUE(scheduler->term_nearly_exhausted());
  EXPECT_EQ(
      term_of_fencing_token(
          scheduler->on_heartbeat(next_heartbeat(0, fencing_token), true, kNow).fencing_token),
      kTerm);
}

// An attempt number past the end of the counter would belong to the next term.
TEST(FencingTokenAllocator, StaysWithinItsTermAndWarnsBeforeExhaustion) {
  FencingTokenAllocator allocator(kTerm);
  uint64_t last = 0;
  size_t allocated = 0;
  size_t left_at_warning = 0;
  while (allocator.attempts_left() > 0) {
    const uint64_t attempt = allocator.new_attempt();
    ASSERT_GT(attempt, last);
    ASSERT_EQ(term_of_fencing_token(attempt), kTerm);
    last = attempt;
    ++allocated;
    if (allocator.nearly_exhausted() && left_at_warning == 0)
      left_at_warning = allocator.attempts_left();
  }
  EXPECT_EQ(allocated, kFencingTokenCounterEnd - 1);
  EXPECT_GT(left_at_warning, size_t{100000})
      << "enough attempts are left for an array of the largest size";
}

}  // namespace
}  // namespace sumacquay
