// Copies of command requests that a worker has carried out arrive again. They must not start an
// attempt that the worker has been told to discard.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

#include "scheduler_fixture.h"
#include "simulation/simulation.h"

namespace sumacquay {
namespace {

using simulation::Simulation;
using simulation::SimulationOptions;

constexpr uint64_t kTerm = 3;
constexpr const char* kMachine = "i-1";
constexpr const char* kJob = "job-1";

/// A leader with one machine. The single task of job-1 is placed there, and its records are
/// durable, so that its start is due.
struct CommandCopyTest : testing::SchedulerFixture {
  CommandCopyTest() : SchedulerFixture(kTerm, 1, 10) {
    add_machine(kMachine);
    submit(kJob);
  }

  void submit(const std::string& job) {
    scheduler->on_job_record(job_record(job, 1), ++revision, now);
    tick();
    for (int i = 0; i < 3; ++i)
      for (const auto& write : scheduler->plan_writes(now, 20))
        scheduler->on_write_answered(write, true, ++revision, now);
  }

  void cancel(const std::string& job) {
    JobRecord record = job_record(job, 1);
    record.started = true;
    record.state = JobState::Cancelled;
    scheduler->on_job_record(record, ++revision, now);
  }

  /// Runs a placement round and keeps the commands that it sends.
  void tick() {
    scheduler->request_round();
    for (const auto& action : scheduler->tick(now))
      if (const auto* commands = std::get_if<SendCommands>(&action)) sent.push_back(*commands);
  }

  /// The next commands sent to the machine.
  std::optional<SendCommands> send_commands() {
    now += 0.1;
    tick();
    if (sent.empty()) return std::nullopt;
    const SendCommands next = sent.front();
    sent.pop_front();
    return next;
  }

  /// The worker carries out the commands and answers with the states of its tasks.
  void answer_commands(const SendCommands& sent, std::vector<TaskStatus> tasks) {
    worker_token = std::max(worker_token, sent.fencing_token);
    scheduler->on_commands_answered(
        kMachine, heartbeat(kMachine, ++sequence_number, worker_token, std::move(tasks)), true,
        now);
  }

  /// The leader's answer to the worker's next heartbeat, which the worker does not receive.
  HeartbeatResponse send_heartbeat(std::vector<TaskStatus> tasks) {
    now += 0.1;
    return scheduler->on_heartbeat(
        heartbeat(kMachine, ++sequence_number, worker_token, std::move(tasks)), true, now);
  }

  static TaskStatus status(const Command& start, TaskState state,
                           ExitCause cause = ExitCause::None) {
    return {start.key, start.attempt, state, cause};
  }
  static TaskStatus stopped(const Command& start) {
    return status(start, TaskState::Exited, ExitCause::Stopped);
  }
  static size_t count(const std::vector<Command>& commands, CommandType type) {
    return static_cast<size_t>(
        std::count_if(commands.begin(), commands.end(),
                      [type](const Command& command) { return command.type == type; }));
  }

  /// Starts the due task with a command request and lets it run.
  SendCommands start_with_command() {
    const auto sent = send_commands();
    EXPECT_TRUE(sent.has_value());
    if (!sent || count(sent->commands, CommandType::Start) != 1) {
      ADD_FAILURE() << "expected one start";
      return {};
    }
    answer_commands(*sent, {status(sent->commands[0], TaskState::Running)});
    return *sent;
  }

  double now = kNow;
  std::deque<SendCommands> sent;  ///< not returned by `send_commands` yet
  uint64_t sequence_number = 2, worker_token = fencing_token;
};

// Guards against a second start of a discarded attempt by a copy of the request that started it.
TEST_F(CommandCopyTest, DiscardRejectsCopiesOfRequestThatStartedAttempt) {
  const SendCommands sent = start_with_command();
  const auto answer = send_heartbeat({stopped(sent.commands.at(0))});
  ASSERT_EQ(count(answer.commands, CommandType::Discard), 1u);
  EXPECT_GT(answer.fencing_token, sent.fencing_token);
}

// Guards against a second start of an attempt that a request has let the worker discard. Requests
// do so only while controllers refuse the worker's heartbeats for their size.
TEST_F(CommandCopyTest, DiscardInRequestRejectsCopiesOfRequestThatStartedAttempt) {
  const SendCommands started = start_with_command();
  submit("job-2");
  std::vector<TaskStatus> tasks{stopped(started.commands.at(0))};
  for (uint32_t task = 0; task < 1200; ++task)
    tasks.push_back({{"job-9", task}, 1, TaskState::Exited, ExitCause::Stopped});
  scheduler->on_probe_answered(kMachine,
                               heartbeat(kMachine, ++sequence_number, worker_token, tasks), now);
  size_t discards = 0;
  while (discards < tasks.size()) {
    const auto request = send_commands();
    ASSERT_TRUE(request.has_value());
    const size_t in_request = count(request->commands, CommandType::Discard);
    ASSERT_GT(in_request, 0u);
    discards += in_request;
    EXPECT_EQ(count(request->commands, CommandType::Start), 0u) << "the token is that of discards";
    EXPECT_GT(request->fencing_token, started.fencing_token);
    tasks.resize(tasks.size() - in_request);
    if (discards < 1201) answer_commands(*request, tasks);
  }
}

// Guards against a token that is raised again for each repeated discard.
TEST_F(CommandCopyTest, DiscardIsRepeatedWithSameTokenWhenAnswerIsLost) {
  const SendCommands sent = start_with_command();
  const auto lost = send_heartbeat({stopped(sent.commands.at(0))});
  const auto repeated = send_heartbeat({stopped(sent.commands.at(0))});
  ASSERT_EQ(count(repeated.commands, CommandType::Discard), 1u);
  EXPECT_EQ(repeated.fencing_token, lost.fencing_token);
}

// Guards against starts that wait until the worker has shown the token of a discard.
TEST_F(CommandCopyTest, NextStartDoesNotWaitForTokenOfDiscard) {
  const SendCommands first = start_with_command();
  const auto answer = send_heartbeat({stopped(first.commands.at(0))});
  ASSERT_EQ(count(answer.commands, CommandType::Discard), 1u);
  cancel(kJob);
  submit("job-2");
  const auto second = send_commands();
  ASSERT_TRUE(second.has_value());
  EXPECT_EQ(count(second->commands, CommandType::Start), 1u);
  EXPECT_EQ(second->fencing_token, answer.fencing_token);
}

// Guards against a task that counts as present although its start was lost, since the worker has
// not seen the token of an earlier discard.
TEST_F(CommandCopyTest, HeartbeatWithTokenBeforeDiscardIsConclusive) {
  const SendCommands first = start_with_command();
  send_heartbeat({stopped(first.commands.at(0))});
  cancel(kJob);
  submit("job-2");
  const auto lost = send_heartbeat({stopped(first.commands.at(0))});
  ASSERT_EQ(count(lost.commands, CommandType::Start), 1u);
  cancel("job-2");
  EXPECT_FALSE(scheduler->jobs().at("job-2").possible_placements.empty());
  send_heartbeat({stopped(first.commands.at(0))});
  EXPECT_TRUE(scheduler->jobs().at("job-2").possible_placements.empty());
}

// Guards against tokens that are raised without need: a start in the answer to a heartbeat is never
// carried out late, and a copy under an earlier token is rejected already.
TEST_F(CommandCopyTest, DiscardKeepsTokenUnlessRequestUnderItStartedTask) {
  const auto start = send_heartbeat({});
  ASSERT_EQ(count(start.commands, CommandType::Start), 1u);
  const Command first = start.commands.at(0);
  EXPECT_EQ(send_heartbeat({stopped(first)}).fencing_token, start.fencing_token);
  const auto second = send_commands();
  ASSERT_TRUE(second.has_value());
  const Command restart = second->commands.at(0);
  answer_commands(*second, {status(restart, TaskState::Running)});
  submit("job-2");
  const auto third = send_commands();
  ASSERT_TRUE(third.has_value());
  const Command other = third->commands.at(0);
  answer_commands(*third, {status(restart, TaskState::Running), status(other, TaskState::Running)});
  const auto raised = send_heartbeat({stopped(restart), status(other, TaskState::Running)});
  EXPECT_GT(raised.fencing_token, third->fencing_token);
  EXPECT_EQ(send_heartbeat({stopped(other)}).fencing_token, raised.fencing_token)
      << "the token of the first discard rejects copies of both requests";
}

// Guards against the loss of an unanswered command's fence: until the worker shows the token that
// rejects it, nothing is discarded or started.
TEST_F(CommandCopyTest, UnansweredCommandsAreFencedBeforeDiscard) {
  const SendCommands first = start_with_command();
  send_heartbeat({stopped(first.commands.at(0))});
  cancel(kJob);
  submit("job-2");
  const auto unanswered = send_commands();
  ASSERT_TRUE(unanswered.has_value());
  scheduler->on_commands_answered(kMachine, std::nullopt, false, now);
  const auto before = send_heartbeat({stopped(first.commands.at(0))});
  EXPECT_GT(before.fencing_token, unanswered->fencing_token);
  EXPECT_TRUE(before.commands.empty());
  worker_token = before.fencing_token;
  const auto after = send_heartbeat({stopped(first.commands.at(0))});
  EXPECT_EQ(count(after.commands, CommandType::Discard), 1u);
  EXPECT_EQ(after.fencing_token, before.fencing_token) << "no request under it has started a task";
}

struct CopyTotals {
  size_t copies = 0, accepted = 0, starts = 0, terms = 0;
};

/// Runs seeds in which every command batch that is carried out arrives again, while controllers end
/// every few seconds and short tasks are started, stopped and discarded.
CopyTotals run_with_copies(SimulationOptions options, uint64_t seeds, Seconds span) {
  CopyTotals totals;
  options.command_copy_fraction = 1;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    Simulation simulation(seed, options);
    simulation.run(span, 250);
    EXPECT_EQ(simulation.checker().violations(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(simulation.unfinished_job_count(), 0u) << "seed " << seed;
    totals.copies += simulation.command_channel().copies();
    totals.accepted += simulation.command_channel().copies_accepted();
    totals.starts += simulation.checker().starts();
    totals.terms += simulation.checker().term_count();
    if (::testing::Test::HasFailure()) break;
  }
  return totals;
}

// Guards against second starts by copies in any order with failures, failovers, cancellations,
// gangs, lost leases and answers by delegates.
TEST(CommandCopies, StartNothingTwiceDuringRandomFaults) {
  const CopyTotals totals = run_with_copies({}, 30, 300);
  EXPECT_GT(totals.copies, 1500u);
  EXPECT_GT(totals.accepted, 300u) << "copies that neither token nor agent epoch rejects";
  EXPECT_GT(totals.starts, 1500u);
  EXPECT_GT(totals.terms, 300u);
}

TEST(CommandCopies, StartNothingTwiceWithPromptDispatch) {
  SimulationOptions options;
  options.prompt_dispatch = true;
  options.max_task_s = 4;
  const CopyTotals totals = run_with_copies(options, 40, 200);
  EXPECT_GT(totals.copies, 1000u);
  EXPECT_GT(totals.accepted, 200u);
}

// Guards against a second start in the seconds in which a leader has ended and no worker has seen
// the next one's token.
TEST(CommandCopies, StartNothingTwiceWhileLeaderIsReplaced) {
  size_t copies = 0;
  size_t failovers = 0;
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    SimulationOptions options;
    options.command_copy_fraction = 1;
    options.max_task_s = 3;
    Simulation simulation(seed, options);
    for (int round = 0; round < 12; ++round) {
      simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
      for (int i = 0; i < 6; ++i) simulation.users().submit(simulation.users().random_spec());
      simulation.run_for(simulation.random_between(3, 8));
      failovers += simulation.leader().has_value();
      simulation.faults().restart_controller(simulation.leader_or_first(), 4);
    }
    simulation.finish();
    EXPECT_EQ(simulation.checker().violations(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(simulation.unfinished_job_count(), 0u) << "seed " << seed;
    copies += simulation.command_channel().copies();
  }
  EXPECT_GT(copies, 400u);
  EXPECT_GT(failovers, 60u);
}

}  // namespace
}  // namespace sumacquay
