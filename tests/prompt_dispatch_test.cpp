// Prompt dispatch: which commands are sent between two ticks, which must not be, and how much work
// it takes.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "backlog/pending_queue.h"
#include "dispatch/scheduler.h"
#include "generators.h"
#include "scheduler_fixture.h"
#include "simulation/simulation.h"

namespace sumacquay {
namespace {

// ---------------------------------------------------------------- pending queue

/// Reference model of the queue that scans all entries.
class ReferenceQueue {
 public:
  void put(const std::string& name, size_t priority) {
    const auto queued = std::find_if(waiting_.begin(), waiting_.end(),
                                     [&](const Entry& entry) { return entry.name == name; });
    if (queued != waiting_.end()) {
      if (queued->priority == priority) return;
      waiting_.erase(queued);
    }
    waiting_.push_back({name, priority});
  }
  std::optional<std::string> pop() {
    if (waiting_.empty()) return std::nullopt;
    const auto next =
        std::min_element(waiting_.begin(), waiting_.end(), [](const Entry& a, const Entry& b) {
          return a.priority < b.priority;  // of equal entries the first, which is the oldest
        });
    std::string name = next->name;
    waiting_.erase(next);
    return name;
  }
  size_t size() const { return waiting_.size(); }

 private:
  struct Entry {
    std::string name;
    size_t priority = 0;
  };
  std::deque<Entry> waiting_;
};

TEST(PendingQueue, PopsEachNameOnceByPriorityAndAge) {
  EXPECT_TRUE(testing::check_property("pending queue", [] {
    PendingQueue queue;
    ReferenceQueue reference;
    for (int step = *rc::gen::inRange(0, 60); step > 0; --step) {
      if (*rc::gen::inRange(0, 3) > 0) {
        const std::string name(1, *rc::gen::inRange('a', 'h'));
        const auto priority = *rc::gen::inRange<size_t>(0, PendingQueue::kPriorities);
        queue.put(name, priority);
        reference.put(name, priority);
      } else {
        RC_ASSERT(queue.pop() == reference.pop());
      }
      RC_ASSERT(queue.size() == reference.size());
    }
    while (const auto name = reference.pop()) RC_ASSERT(queue.pop() == name);
    RC_ASSERT(queue.empty());
  }));
}

// ---------------------------------------------------------------- scheduler

constexpr uint64_t kTerm = 1;
constexpr uint64_t kFencingToken = kTerm << kFencingTokenCounterBits;

struct PromptDispatchScheduler : testing::SchedulerFixture {
  PromptDispatchScheduler() : SchedulerFixture(kTerm, 1, 10) {
    settings.tuning.prompt_dispatch = true;
  }

  std::vector<RecordWrite> writes(size_t max_changes = 20) const {
    return scheduler->plan_writes(kNow, max_changes);
  }
  void commit_all_writes() {
    for (auto batch = writes(); !batch.empty(); batch = writes())
      for (const auto& write : batch) scheduler->on_write_answered(write, true, ++revision, kNow);
  }
  std::vector<SendCommands> dispatched_commands() const {
    std::vector<SendCommands> out;
    for (const auto& action : scheduler->dispatch(kNow))
      if (const auto* batch = std::get_if<SendCommands>(&action)) out.push_back(*batch);
    return out;
  }
};

TEST_F(PromptDispatchScheduler, SendsStartsOnceTheirRecordsAreDurableWithoutATick) {
  add_machine("i-1");
  scheduler->on_job_record(job_record("job-1", 3), 5, kNow);
  scheduler->tick(kNow);
  EXPECT_TRUE(dispatched_commands().empty()) << "its records are not durable yet";
  commit_all_writes();
  const auto worker_commands = dispatched_commands();
  ASSERT_EQ(worker_commands.size(), 1u);
  EXPECT_EQ(worker_commands[0].commands.size(), 3u);
  EXPECT_TRUE(dispatched_commands().empty()) << "the commands are in flight";
}

TEST_F(PromptDispatchScheduler, SendsNothingUntilJobAndHostRecordsAreDurable) {
  for (const std::string last : {"job", "machine"}) {
    const std::string machine = "i-1-" + last;
    const std::string id = last == "job" ? "job-1" : "job-2";
    add_machine(machine);
    scheduler->on_job_record(job_record(id, 4), ++revision, kNow);
    scheduler->request_round();
    scheduler->tick(kNow);
    auto both_writes = writes();
    ASSERT_EQ(both_writes.size(), 2u);
    if (both_writes.back().host.empty() != (last == "job"))
      std::swap(both_writes.front(), both_writes.back());
    for (const auto& write : both_writes) {
      EXPECT_TRUE(dispatched_commands().empty()) << "record written last: " << last;
      scheduler->on_write_answered(write, true, ++revision, kNow);
    }
    EXPECT_EQ(dispatched_commands().size(), 1u) << "record written last: " << last;
  }
}

TEST_F(PromptDispatchScheduler, DoesNotRewriteRecordThatIsAlreadyStored) {
  add_machine("i-1");
  scheduler->on_job_record(job_record("job-1", 1), 5, kNow);
  scheduler->tick(kNow);
  const auto first = writes();
  ASSERT_EQ(first.size(), 2u);
  for (const auto& write : first) scheduler->on_write_answered(write, false, 0, kNow);
  // The answers were lost, but the writes were executed.
  for (const auto& write : first)
    if (write.record) scheduler->on_job_record(*write.record, ++revision, kNow);
  for (const auto& write : writes()) EXPECT_EQ(write.host, "i-1") << write.job;
}

TEST_F(PromptDispatchScheduler, PlansFailedWriteAgainBeforeTheNextRound) {
  add_machine("i-1");
  scheduler->on_job_record(job_record("job-1", 1), 5, kNow);
  scheduler->tick(kNow);
  const auto first = writes();
  ASSERT_EQ(first.size(), 2u);
  EXPECT_TRUE(writes().empty()) << "each write is in flight once";
  for (const auto& write : first) scheduler->on_write_answered(write, false, 0, kNow);
  EXPECT_EQ(writes().size(), 2u);
}

TEST_F(PromptDispatchScheduler, SendsNoStartWhileAnEarlierCommandMayStillExecute) {
  add_machine("i-1");
  scheduler->on_job_record(job_record("job-1", 1), 5, kNow);
  scheduler->tick(kNow);
  commit_all_writes();
  ASSERT_EQ(dispatched_commands().size(), 1u);
  scheduler->on_job_record(job_record("job-2", 1), 5, kNow);
  scheduler->request_round();
  scheduler->tick(kNow);
  commit_all_writes();
  EXPECT_TRUE(dispatched_commands().empty())
      << "one batch of commands at a time is in flight to a machine";
  scheduler->on_commands_answered("i-1", std::nullopt, false, kNow);
  EXPECT_TRUE(dispatched_commands().empty())
      << "the worker has not reported the raised fencing token yet";
  const double later = kNow + 2 * settings.heartbeat_period_s;
  for (const auto& action : scheduler->tick(later))
    EXPECT_FALSE(std::holds_alternative<SendCommands>(action))
        << "a later round sends no commands either";
  scheduler->on_heartbeat(heartbeat("i-1", 3, kFencingToken + 1), true, later);
  EXPECT_EQ(scheduler->dispatch(later).size(), 0u)
      << "the start went out with the answer to the heartbeat";
}

TEST_F(PromptDispatchScheduler, SendsStopsOfCancelledJobWithoutATick) {
  add_machine("i-1");
  scheduler->on_job_record(job_record("job-1", 1), 5, kNow);
  scheduler->tick(kNow);
  commit_all_writes();
  const auto started = dispatched_commands();
  ASSERT_EQ(started.size(), 1u);
  const auto attempt = started[0].commands[0].attempt;
  scheduler->on_commands_answered(
      "i-1",
      heartbeat("i-1", 3, kFencingToken,
                {{{"job-1", 0}, attempt, TaskState::Running, ExitCause::None}}),
      true, kNow);
  dispatched_commands();
  JobRecord cancelled = scheduler->jobs().at("job-1").stored;
  cancelled.state = JobState::Cancelled;
  scheduler->on_job_record(cancelled, ++revision, kNow);
  const auto stopped = dispatched_commands();
  ASSERT_EQ(stopped.size(), 1u);
  EXPECT_EQ(stopped[0].commands[0].type, CommandType::Stop);
}

TEST_F(PromptDispatchScheduler, NextRoundPlansWritesThatBecameDueByTime) {
  add_machine("i-1");
  scheduler->on_job_record(job_record("job-1", 2), 5, kNow);
  scheduler->tick(kNow);
  commit_all_writes();
  const auto worker_commands = dispatched_commands();
  ASSERT_EQ(worker_commands.size(), 1u);
  ASSERT_EQ(worker_commands[0].commands.size(), 2u);
  std::vector<TaskStatus> tasks;
  for (const auto& command : worker_commands[0].commands)
    tasks.push_back({command.key, command.attempt, TaskState::Running, ExitCause::None});
  tasks[0].state = TaskState::Exited;
  tasks[0].cause = ExitCause::Done;
  scheduler->on_commands_answered("i-1", heartbeat("i-1", 3, kFencingToken, tasks), true, kNow);
  EXPECT_TRUE(writes().empty()) << "progress is written in batches";
  const double later = kNow + 1.1 * settings.heartbeat_period_s;
  scheduler->tick(later);
  const auto progress = scheduler->plan_writes(later, 20);
  ASSERT_EQ(progress.size(), 1u);
  EXPECT_EQ(progress[0].record->done.count(), 1u);
}

TEST_F(PromptDispatchScheduler, WritesStartsBeforeFinishedJobs) {
  add_machine("i-1");
  JobRecord cancelled = job_record("job-1", 1);
  cancelled.state = JobState::Cancelled;
  scheduler->on_job_record(cancelled, 5, kNow);
  scheduler->on_job_record(job_record("job-2", 1), 6, kNow);
  scheduler->tick(kNow);
  std::vector<std::string> jobs;
  for (const auto& write : writes())
    if (!write.job.empty()) jobs.push_back(write.job);
  EXPECT_EQ(jobs, (std::vector<std::string>{"job-2", "job-1"}));
}

/// Starts one more task and returns how many machines and jobs were examined for it.
size_t checks_to_start_one_task(PromptDispatchScheduler& leader, size_t machines, size_t jobs) {
  const auto number = [](size_t i) { return std::to_string(1000 + i); };
  for (size_t i = 0; i < machines; ++i) leader.add_machine("i-" + number(i));
  for (size_t i = 0; i < jobs; ++i)
    leader.scheduler->on_job_record(PromptDispatchScheduler::job_record("job-" + number(i), 1),
                                    5 + i, PromptDispatchScheduler::kNow);
  leader.scheduler->tick(PromptDispatchScheduler::kNow);
  leader.commit_all_writes();
  leader.dispatched_commands();
  leader.scheduler->on_job_record(PromptDispatchScheduler::job_record("job-1", 1), 500,
                                  PromptDispatchScheduler::kNow);
  leader.scheduler->request_round();
  leader.scheduler->tick(PromptDispatchScheduler::kNow);
  const size_t before = leader.scheduler->work_counters().dispatch_checks;
  leader.commit_all_writes();
  EXPECT_EQ(leader.dispatched_commands().size(), 1u);
  return leader.scheduler->work_counters().dispatch_checks - before;
}

TEST_F(PromptDispatchScheduler, WorkDoesNotGrowWithTheFleet) {
  const size_t machines = 800;
  const size_t jobs = 400;
  EXPECT_LE(checks_to_start_one_task(*this, machines, jobs), 10u);
}

TEST_F(PromptDispatchScheduler, IsOffByDefault) {
  settings.tuning.prompt_dispatch = Tuning{}.prompt_dispatch;
  add_machine("i-1");
  scheduler->on_job_record(job_record("job-1", 1), 5, kNow);
  scheduler->tick(kNow);
  commit_all_writes();
  EXPECT_TRUE(dispatched_commands().empty());
  EXPECT_FALSE(scheduler->tick(kNow).empty()) << "commands are sent with the next tick";
}

TEST_F(PromptDispatchScheduler, ScalesOutInProportionToFleetWithinRequestLimit) {
  for (int i = 0; i < 100; ++i) add_machine("i-" + std::to_string(1000 + i));
  scheduler->on_job_record(job_record("job-1", 400), 5, kNow);
  scheduler->on_job_record(job_record("job-2", 480), 6, kNow);
  settings.tuning.rent = 0.7;
  EXPECT_EQ(scale_out_counts(scheduler->tick(kNow)), (std::vector<int>{50, 20}));
}

TEST_F(PromptDispatchScheduler, ScalesOutInSmallStepsByDefault) {
  for (int i = 0; i < 100; ++i) add_machine("i-" + std::to_string(1000 + i));
  scheduler->on_job_record(job_record("job-1", 400), 5, kNow);
  scheduler->on_job_record(job_record("job-2", 480), 6, kNow);
  EXPECT_EQ(scale_out_counts(scheduler->tick(kNow)), std::vector<int>{12});
}

// ---------------------------------------------------------------- several controllers

TEST(PromptDispatchSimulation, BreaksNoRuleUnderRandomFaults) {
  size_t starts = 0;
  size_t term_count = 0;
  constexpr uint64_t kSeeds = 40;
  for (uint64_t seed = 1; seed <= kSeeds && !::testing::Test::HasFailure(); ++seed) {
    simulation::SimulationOptions options;
    options.prompt_dispatch = true;
    options.declared_boot_s = seed % 2 ? 5 : 60;
    simulation::Simulation simulation(7000 + seed, options);
    simulation.run(300, 250);
    EXPECT_EQ(simulation.checker().violations(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(simulation.unfinished_job_count(), 0u) << "seed " << seed;
    EXPECT_EQ(simulation.unrecorded_cancellations(), 0u) << "seed " << seed;
    starts += simulation.checker().starts();
    term_count += simulation.checker().term_count();
  }
  EXPECT_GT(starts, 2000u);
  EXPECT_GT(term_count, 400u);
}

TEST(PromptDispatchSimulation, NeitherLosesNorRepeatsStartsWhenLeadersEndDuringDispatch) {
  constexpr uint64_t kSeeds = 30;
  size_t starts = 0;
  for (uint64_t seed = 1; seed <= kSeeds && !::testing::Test::HasFailure(); ++seed) {
    simulation::SimulationOptions options;
    options.prompt_dispatch = true;
    options.machines = 8;
    simulation::Simulation simulation(seed, options);
    simulation.run_until([&] { return simulation.leader().has_value(); }, 60);
    // Jobs are submitted all the time, so that start commands are in flight whenever a leader ends.
    for (int round = 0; round < 6; ++round) {
      for (int i = 0; i < 4; ++i) simulation.users().submit_random();
      simulation.run_for(simulation.random_between(0.1, 1.5));
      simulation.faults().restart_controller(simulation.leader_or_first(),
                                             simulation.random_between(0.2, 10));
      simulation.run_for(simulation.random_between(1, 6));
    }
    simulation.finish();
    EXPECT_EQ(simulation.checker().violations(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(simulation.unfinished_job_count(), 0u) << "seed " << seed;
    starts += simulation.checker().starts();
  }
  EXPECT_GT(starts, 300u);
}

}  // namespace
}  // namespace sumacquay
