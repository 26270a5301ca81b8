// Job records stay within the key-value store's limit on the size of values, whatever their
// content.
#include "wire/record_capacity.h"

#include <gtest/gtest.h>

#include "dispatch/scheduler.h"
#include "generators.h"
#include "wire/json_size.h"
#include "wire/records.h"

namespace sumacquay {
namespace {

using testing::check_property;

size_t size_of(const JobRecord& record) {
  return wire::json_size(wire::Document::parse(wire::encode_job(record))->root());
}

/// Numbers of done tasks with gaps of random sizes between them.
TaskRangeSet scattered_task_numbers(uint32_t tasks) {
  TaskRangeSet done;
  const auto widest = *rc::gen::element<uint32_t>(2, 3, 12, 130, 1100);
  uint32_t task = *rc::gen::inRange<uint32_t>(0, widest);
  while (task < tasks) {
    done.add(task);
    task += *rc::gen::inRange<uint32_t>(1, widest);
  }
  return done;
}

std::vector<std::string> random_hosts() {
  const std::string name =
      *rc::gen::element<std::string>("i-", "\"\\", "\xc3\xa9", "machine-name-");
  std::vector<std::string> hosts;
  for (int i = *rc::gen::inRange(0, 600); i > 0; --i) hosts.push_back(name + std::to_string(i));
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

JobRecord random_record() {
  JobRecord record;
  record.spec = *testing::arbitrary_job_spec();
  // Dependencies are removed from a record before it gets hosts or numbers of done tasks.
  record.spec.dependencies.clear();
  record.spec.tasks = *rc::gen::element<uint32_t>(1, 2, 17, 100, 3000, 20000);
  record.state = *rc::gen::element(JobState::Pending, JobState::Cancelled, JobState::Done);
  record.started = *rc::gen::arbitrary<bool>();
  record.submitted_ms = *rc::gen::arbitrary<uint64_t>();
  if (*rc::gen::arbitrary<bool>()) record.hosts = random_hosts();
  record.done = scattered_task_numbers(record.spec.tasks);
  return record;
}

TEST(RecordCapacity, FittingRecordIsWithinLimitForAnyContent) {
  int with_capacity = 0;
  for (const size_t max_bytes : {size_t{2048}, size_t{8192}})
    EXPECT_TRUE(check_property("records fit", [&] {
      const JobRecord record = random_record();
      const wire::RecordCapacity capacity = wire::record_capacity(record, max_bytes);
      RC_ASSERT(capacity.has_space() || 2 * capacity.description_bytes > max_bytes);
      if (!capacity.has_space()) return;
      ++with_capacity;
      const JobRecord fitting = wire::truncated_record(record, max_bytes);
      RC_ASSERT(size_of(fitting) <= max_bytes);
      RC_ASSERT(size_of(fitting) <= capacity.size_bound(fitting));
      RC_ASSERT(wire::truncated_record(fitting, max_bytes) == fitting);
      // Hosts and numbers of done tasks both take up all the space that they may.
      JobRecord fullest = record;
      fullest.hosts.emplace();
      while (capacity.fits_hosts(*fullest.hosts)) fullest.hosts->push_back("i-1234");
      fullest.hosts->pop_back();
      fullest.done = fitting.done;
      RC_ASSERT(size_of(fullest) <= max_bytes);
    }));
  EXPECT_GT(with_capacity, 200);
}

TEST(RecordCapacity, SmallRecordIsKeptWhole) {
  JobRecord record;
  record.spec.id = "job-000398";
  record.spec.tasks = 100;
  record.hosts.emplace();
  for (int i = 100; i < 160; ++i) record.hosts->push_back("i-" + std::to_string(i));
  for (uint32_t task = 0; task < record.spec.tasks; task += 2) record.done.add(task);
  EXPECT_EQ(wire::truncated_record(record, 2048), record) << "50 ranges and 60 hosts";
}

TEST(RecordCapacity, NoneIfTheDescriptionLeavesNoRoom) {
  JobRecord record;
  record.spec.id = "job-1";
  record.spec.types = std::vector<std::string>(10, std::string(200, 'x'));
  EXPECT_FALSE(wire::record_capacity(record, 2048).has_space());
  EXPECT_TRUE(wire::record_capacity(record, 8192).has_space());
}

TEST(TaskRangeSet, SubsetOfRangesPrefersKeptNumbers) {
  EXPECT_TRUE(check_property("what is kept stays", [] {
    TaskRangeSet kept;
    TaskRangeSet all;
    for (const auto n : *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange(0u, 80u))) {
      all.add(n);
      if (*rc::gen::arbitrary<bool>()) kept.add(n);
    }
    const auto max_ranges = *rc::gen::inRange<size_t>(0, 20);
    const TaskRangeSet chosen = all.subset_of_ranges(max_ranges, kept);
    RC_ASSERT(chosen.range_count() == std::min(max_ranges, all.range_count()));
    uint32_t count = 0;
    for (uint32_t n = 0; n < 80; ++n) {
      count += chosen.contains(n);
      RC_ASSERT(all.contains(n) || !chosen.contains(n));
      if (kept.range_count() <= max_ranges) RC_ASSERT(chosen.contains(n) || !kept.contains(n));
    }
    RC_ASSERT(chosen.count() == count);
  }));
}

// A leader that reads records stored by earlier versions under larger limits.

struct LoweredValueLimit : ::testing::Test {
  static constexpr size_t kMaxBytes = 2048;
  static constexpr uint64_t kFencingToken = uint64_t{2} << 20;
  Settings settings;
  JobRecord record;
  double now = 1000;
  uint64_t revision = 100;
  std::unique_ptr<Scheduler> scheduler;

  LoweredValueLimit() {
    settings.state_value_kb = 2;
    TeamSettings team;
    team.name = "t";
    settings.teams = {team};
    record.spec.id = "job-1";
    record.spec.team = "t";
    record.spec.kind = JobKind::Array;
    record.spec.tasks = 4000;
    record.spec.request = {1, 0, 1};
    record.submitted_ms = 1;
    record.started = true;
    scheduler = std::make_unique<Scheduler>(settings, 2, now, now);
    MachineType type;
    type.name = "g";
    type.capacity = {16, 4, 64};
    type.zones = {"e"};
    scheduler->set_machine_types({type});
    scheduler->restore_machine({"i-9", "10.0.0.1:9", "g", "e", false}, now);
  }

  /// Stores far more than 2 KiB of numbers of done tasks, and of hosts of which all but one are
  /// gone.
  void store_oversized() {
    for (uint32_t task = 0; task < record.spec.tasks; task += 4) record.done.add(task);
    record.hosts.emplace();
    for (int i = 100; i < 500; ++i) record.hosts->push_back("i-" + std::to_string(i));
    record.hosts->push_back("i-9");
    ASSERT_GT(size_of(record), kMaxBytes);
    scheduler->on_job_record(record, ++revision, now);
  }

  void heartbeat(uint64_t sequence_number, std::vector<TaskStatus> tasks) const {
    WorkerHeartbeat worker;
    worker.machine = "i-9";
    worker.addr = "10.0.0.1:9";
    worker.type = "g";
    worker.zone = "e";
    worker.agent_epoch = 1;
    worker.sequence_number = sequence_number;
    worker.fencing_token = kFencingToken;
    worker.tasks = std::move(tasks);
    scheduler->on_heartbeat(worker, true, now);
  }

  static TaskStatus done(uint32_t task) {
    return {{"job-1", task}, 7, TaskState::Exited, ExitCause::Done};
  }

  /// Returns how many live records of jobs the leader writes within `seconds`, and expects each of
  /// them to be within the limit.
  int writes_within(int seconds) {
    int writes = 0;
    for (int i = 0; i < seconds; ++i) {
      now += 1;
      scheduler->tick(now);
      for (const auto& write : scheduler->plan_writes(now, 20)) {
        if (write.host.empty() && !write.finished) {
          ++writes;
          EXPECT_LE(size_of(*write.record), kMaxBytes);
        }
        scheduler->on_write_answered(write, true, ++revision, now);
      }
    }
    return writes;
  }

  const Job& job() const { return scheduler->jobs().at("job-1"); }
};

TEST_F(LoweredValueLimit, OversizedRecordIsNotRewrittenIfThatLosesProgress) {
  store_oversized();
  heartbeat(1, {done(1)});
  EXPECT_EQ(writes_within(5), 0) << "a rewrite would lose more done tasks than it adds";
  EXPECT_EQ(job().stored.done.count(), 1000u);
}

TEST_F(LoweredValueLimit, OversizedRecordFitsOnceRewritten) {
  store_oversized();
  std::vector<TaskStatus> done_tasks;
  for (uint32_t task = 0; task < 3800; ++task) done_tasks.push_back(done(task));
  heartbeat(1, done_tasks);
  EXPECT_EQ(writes_within(20), 1);
  EXPECT_LE(size_of(job().stored), kMaxBytes);
  EXPECT_GE(job().stored.done.count(), 3800u);
  EXPECT_EQ(job().done.count(), 3850u) << "the leader keeps all done tasks in memory";
}

TEST_F(LoweredValueLimit, HostsThatDoNotFitAreOmitted) {
  for (int i = 100; i < 400; ++i)
    scheduler->restore_machine({"i-" + std::to_string(i), "10.0.0.1:9", "g", "e", false}, now);
  record.hosts.emplace();
  for (int i = 100; i < 400; ++i) record.hosts->push_back("i-" + std::to_string(i));
  scheduler->on_job_record(record, ++revision, now);
  heartbeat(1, {done(0)});
  EXPECT_EQ(writes_within(2), 1) << "none of these hosts has been reconciled yet";
  EXPECT_FALSE(job().stored.hosts) << "without hosts its tasks may be on any machine";
}

TEST_F(LoweredValueLimit, EndedJobIsFinishedWithAllItsDoneTasks) {
  record.state = JobState::Cancelled;
  store_oversized();
  heartbeat(1, {});
  const auto writes = scheduler->plan_writes(now, 20);
  ASSERT_EQ(writes.size(), 1u);
  EXPECT_TRUE(writes[0].finished);
  EXPECT_EQ(writes[0].record->done.count(), 1000u);
}

TEST_F(LoweredValueLimit, StoredProgressIsKeptAsGapsFill) {
  scheduler->on_job_record(record, ++revision, now);
  std::vector<TaskStatus> tasks;
  for (uint32_t task = 3999; task > 1000; task -= 7) tasks.push_back(done(task));
  heartbeat(1, tasks);
  EXPECT_EQ(writes_within(5), 1);
  const TaskRangeSet stored = job().stored.done;
  ASSERT_LT(stored.count(), tasks.size()) << "not all done tasks fit into the record";
  for (uint32_t task = 0; task < 1000; task += 3) tasks.push_back(done(task));
  heartbeat(2, tasks);
  EXPECT_EQ(writes_within(5), 0) << "no space is left in the record";
  for (uint32_t task = 1; task < 4000; ++task) tasks.push_back(done(task));
  heartbeat(3, tasks);
  EXPECT_EQ(writes_within(5), 1);
  EXPECT_EQ(job().stored.done.count(), 4000u);
}

TEST_F(LoweredValueLimit, JobWithoutRoomDoesNotBlockOtherJobs) {
  record.started = false;
  record.spec.types = std::vector<std::string>(12, std::string(190, 'x'));
  record.spec.types->push_back("g");
  scheduler->on_job_record(record, ++revision, now);
  record.spec.types.reset();
  record.spec.id = "job-2";
  scheduler->on_job_record(record, ++revision, now);
  heartbeat(1, {});
  EXPECT_GT(writes_within(3), 0);
  EXPECT_TRUE(scheduler->jobs().at("job-2").stored.started);
  EXPECT_FALSE(job().stored.started);
}

}  // namespace
}  // namespace sumacquay
