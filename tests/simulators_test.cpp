// The simulators: their encoders and decoders against the controllers', the simulated key-value
// store, and the rule checker for loopback deployments.
#include <gtest/gtest.h>

#include <cmath>

#include "generators.h"
#include "net/http_client.h"
#include "node/steady_time.h"
#include "simulators/key_value_store_server.h"
#include "simulators/messages.h"
#include "simulators/rule_checker.h"
#include "simulators/token_bucket.h"
#include "store/key_value_store_client.h"
#include "wire/messages.h"

namespace sumacquay::simulators {
namespace {

using testing::check_property;

TaskKey random_task_key() {
  return {"job-" + std::to_string(*rc::gen::inRange(0, 1000)),
          static_cast<uint32_t>(*rc::gen::inRange(0, 100))};
}

TEST(SimulatorMessages, AreDecodedByControllers) {
  EXPECT_TRUE(check_property("worker heartbeats", [] {
    WorkerHeartbeat sent;
    sent.machine = "i-" + std::to_string(*rc::gen::inRange(0, 1000));
    sent.addr = "127.0.0.1:9000";
    sent.type = *testing::arbitrary_name();
    sent.zone = *testing::arbitrary_name();
    sent.spot = *rc::gen::arbitrary<bool>();
    sent.agent_epoch = *rc::gen::arbitrary<uint64_t>();
    sent.sequence_number = *rc::gen::arbitrary<uint64_t>();
    sent.fencing_token = *rc::gen::arbitrary<uint64_t>();
    if (*rc::gen::arbitrary<bool>()) sent.preemption_notice_s = *rc::gen::inRange(0, 100) * 0.5;
    for (int i = *rc::gen::inRange(0, 5); i > 0; --i)
      sent.tasks.push_back({random_task_key(), *rc::gen::arbitrary<uint64_t>(),
                            *rc::gen::element(TaskState::Fetching, TaskState::Running),
                            ExitCause::None});
    sent.tasks.push_back(
        {random_task_key(), 1, TaskState::Exited,
         *rc::gen::element(ExitCause::Done, ExitCause::Error, ExitCause::GangIncomplete)});
    const auto read = wire::parse_worker_heartbeat(worker_heartbeat_body(sent));
    RC_ASSERT(read.has_value());
    RC_ASSERT(worker_heartbeat_body(*read) == worker_heartbeat_body(sent));
  }));
  EXPECT_TRUE(check_property("submissions", [] {
    const JobSpec sent = *testing::arbitrary_job_spec();
    RC_ASSERT(wire::parse_job(submission_body(sent)).spec == sent);
  }));
}

TEST(SimulatorMessages, DecodeMessagesOfControllers) {
  EXPECT_TRUE(check_property("commands", [] {
    std::vector<Command> commands;
    for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
      const CommandType type =
          *rc::gen::element(CommandType::Start, CommandType::Stop, CommandType::Discard);
      commands.push_back({type, random_task_key(), *rc::gen::arbitrary<uint64_t>(),
                          type == CommandType::Stop ? *rc::gen::inRange(0, 10) * 0.5 : 0});
    }
    const auto fencing_token = *rc::gen::arbitrary<uint64_t>();
    const auto agent_epoch = *rc::gen::arbitrary<uint64_t>();
    const auto worker_commands =
        parse_worker_commands(wire::worker_commands_body(fencing_token, agent_epoch, commands));
    RC_ASSERT(worker_commands && worker_commands->fencing_token == fencing_token &&
              worker_commands->agent_epoch == agent_epoch);
    RC_ASSERT(worker_commands->commands == commands);
    const auto answer =
        parse_worker_commands(wire::heartbeat_response_body(fencing_token, commands));
    RC_ASSERT(answer && answer->commands == commands);
  }));
  EXPECT_FALSE(parse_worker_commands("").has_value());
  EXPECT_FALSE(parse_worker_commands(wire::redirect_body("n1")).has_value())
      << "a redirect has no fencing token";
  EXPECT_EQ(parse_redirect(wire::redirect_body("n1")), "n1");
}

TEST(TokenBucket, AllowsBurstThenRate) {
  TokenBucket limit(10, 2);
  EXPECT_TRUE(limit.try_acquire(20, 100));
  EXPECT_FALSE(limit.try_acquire(1, 100));
  EXPECT_TRUE(limit.try_acquire(5, 100.5));
  EXPECT_FALSE(limit.try_acquire(1, 100.5));
}

/// The simulated key-value store and the controllers' client for it, on the loopback interface.
struct SimulatedKeyValueStore : ::testing::Test {
  asio::io_context io{1};
  Settings settings;
  std::unique_ptr<KeyValueStoreServer> server;
  std::unique_ptr<KeyValueStoreClient> client;

  void start(KeyValueStoreServerOptions options) {
    constexpr unsigned short kPort = 20991;
    settings.state = {"127.0.0.1", kPort};
    settings.lease_s = 20;
    settings.state_rps = settings.state_write_rps = 10000;
    server = std::make_unique<KeyValueStoreServer>(io, settings.state, options);
    client = std::make_unique<KeyValueStoreClient>(io, settings);
  }
  template <class Result, class Send>
  Result wait_for_answer(Send&& send) {
    std::optional<Result> answer;
    send([&](Result result) { answer = std::move(result); });
    const Seconds end = steady_now() + 10;
    while (!answer && steady_now() < end) io.run_one_for(std::chrono::milliseconds(50));
    return answer ? *answer : Result{};
  }
  TransactionResult compare_and_swap(std::vector<wire::Precondition> preconditions,
                                     std::vector<wire::Mutation> changes) {
    return wait_for_answer<TransactionResult>([&](auto done) {
      client->compare_and_swap(RequestPriority::Record, preconditions, changes, done);
    });
  }
};

TEST_F(SimulatedKeyValueStore, ChecksPreconditionsAndServesLeasesPagesAndWatches) {
  start({10000, 10000, 0.001});
  const std::string value = wire::encode_host({"i-1", "10.0.0.1:9", "g", "e", false});
  const auto first = compare_and_swap({{"a/1", 0}}, {{"a/1", value, 0}, {"a/2", value, 0}});
  ASSERT_EQ(first.outcome, TransactionOutcome::Committed);
  const auto conflict = compare_and_swap({{"a/1", 0}}, {{"a/1", value, 0}});
  EXPECT_EQ(conflict.outcome, TransactionOutcome::PreconditionFailed);
  EXPECT_EQ(conflict.failed, std::vector<std::string>{"a/1"});
  const auto lease =
      wait_for_answer<std::optional<uint64_t>>([&](auto done) { client->grant_lease(0.3, done); });
  ASSERT_TRUE(lease.has_value());
  ASSERT_EQ(compare_and_swap({}, {{"a/3", value, *lease}}).outcome, TransactionOutcome::Committed);

  const auto page = wait_for_answer<HttpResult>([&](auto done) {
    client->read(RequestPriority::Background, wire::page_path("a/", "a/1", 1), done);
  });
  const auto items = wire::parse_page(page.body);
  ASSERT_TRUE(items.has_value());
  ASSERT_EQ(items->items.size(), 1u);
  EXPECT_EQ(items->items[0].key, "a/2");
  EXPECT_TRUE(items->more);

  // The lease expires, and the watch delivers the deletion of its key.
  const auto watch_answer = wait_for_answer<HttpResult>(
      [&](auto done) { client->watch(wire::changes_path("a/", items->revision, 5000), 5, done); });
  const auto changes = wire::parse_changes(watch_answer.body);
  ASSERT_TRUE(changes.has_value());
  ASSERT_EQ(changes->items.size(), 1u);
  EXPECT_EQ(changes->items[0].key, "a/3");
  EXPECT_TRUE(changes->items[0].value.missing());
  EXPECT_EQ(compare_and_swap({}, {{"a/4", value, *lease}}).outcome, TransactionOutcome::NoLease);
}

TEST_F(SimulatedKeyValueStore, RefusesWritesAboveRateLimit) {
  start({10000, 2, 0.001});
  const std::string value = wire::encode_host({"i-1", "10.0.0.1:9", "g", "e", false});
  HttpClient raw(io, settings.state, 1, 10);
  const auto post = [&] {
    return wait_for_answer<HttpResult>([&](auto done) {
      raw.request("POST", wire::path::kTransaction,
                  wire::transaction_body({}, {{"b/1", value, 0}, {"b/2", value, 0}}), 5, done);
    });
  };
  EXPECT_EQ(post().status, 200);
  EXPECT_EQ(post().status, 429);
}

TEST(WorkerState, KeepsExitedAttemptAfterLaterAttemptOfTaskStarted) {
  WorkerState worker;
  const TaskKey task{"job-1", 0};
  worker.tasks[{task, 1}] = {TaskState::Exited, ExitCause::Stopped};
  EXPECT_FALSE(worker.accepts_start({CommandType::Start, task, 1, 0}));
  EXPECT_TRUE(worker.accepts_start({CommandType::Start, task, 2, 0}));
  worker.tasks[{task, 2}] = {TaskState::Running, ExitCause::None};
  EXPECT_FALSE(worker.accepts_start({CommandType::Start, task, 3, 0})) << "attempt 2 is active";
  worker.tasks[{task, 2}].state = TaskState::Exited;
  EXPECT_FALSE(worker.accepts_start({CommandType::Start, task, 1, 0}));
  EXPECT_EQ(worker.heartbeat().tasks.size(), 2u);
}

TEST(WorkerState, ReportsHigherFencingTokenAtMostOnceInHalfOfLease) {
  WorkerState worker;
  EXPECT_TRUE(worker.advance_fencing_token(5, 10, 100));
  EXPECT_FALSE(worker.advance_fencing_token(5, 10, 110)) << "not higher";
  EXPECT_TRUE(worker.advance_fencing_token(6, 10, 110));
  EXPECT_FALSE(worker.advance_fencing_token(7, 10, 114.9));
  EXPECT_EQ(worker.fencing_token, 7u) << "the token is raised all the same";
  EXPECT_TRUE(worker.advance_fencing_token(8, 10, 115));
}

/// Two zones with one machine each, and a job of a team with a limit of two GPUs.
struct CheckedDeployment {
  SubmittedJobs jobs;
  WorkerState east, west;
  std::unique_ptr<RuleChecker> checker;

  CheckedDeployment() {
    TeamSettings team;
    team.name = "t";
    team.gpus_max = 2;
    east.id = "i-1", east.zone = "e", east.type = "g";
    west.id = "i-2", west.zone = "w", west.type = "g";
    checker = std::make_unique<RuleChecker>(std::vector<TeamSettings>{team}, 10, jobs);
    JobSpec& spec = jobs["job-1"].spec;
    spec.id = "job-1";
    spec.team = "t";
    spec.tasks = 3;
    spec.request = {1, 1, 1};
  }
  std::string first_violation() const {
    return checker->violations().empty() ? "" : checker->violations()[0];
  }
};

TEST(RuleChecker, AcceptsTaskThatMovesAndEnds) {
  CheckedDeployment deployment;
  auto& [jobs, east, west, checker] = deployment;
  checker->on_task_started(east, {"job-1", 0}, 1);
  checker->on_task_removed(east, {"job-1", 0});
  checker->on_task_started(west, {"job-1", 0}, 2);
  checker->on_task_started(east, {"job-1", 1}, 2);
  checker->on_unfinished_reported("job-1", 3);
  jobs["job-1"].cancel_requested_at = 4;
  checker->on_cancellation_reported("job-1", 5);
  checker->on_unfinished_reported("job-1", 4);  // the request preceded that answer
  checker->on_task_removed(west, {"job-1", 0});
  checker->on_task_removed(east, {"job-1", 1});
  checker->check_cancelled_jobs(100);
  EXPECT_EQ(deployment.first_violation(), "");
  EXPECT_EQ(checker->starts(), 3u);
}

TEST(RuleChecker, DetectsEachBrokenRule) {
  const auto expect_violation = [](const std::string& rule, auto&& events) {
    CheckedDeployment deployment;
    events(deployment);
    const std::string found = deployment.first_violation();
    EXPECT_TRUE(found.starts_with(rule))
        << "expected a violation of " << rule << ", found: " << found;
  };
  expect_violation("ran_twice", [](CheckedDeployment& deployment) {
    deployment.checker->on_task_started(deployment.east, {"job-1", 0}, 1);
    deployment.checker->on_task_started(deployment.west, {"job-1", 0}, 2);
  });
  expect_violation("quota", [](CheckedDeployment& deployment) {
    for (uint32_t task = 0; task < 3; ++task)
      deployment.checker->on_task_started(deployment.east, {"job-1", task}, 1);
  });
  expect_violation("wrong_place", [](CheckedDeployment& deployment) {
    deployment.jobs["job-1"].spec.one_zone = true;
    deployment.checker->on_task_started(deployment.east, {"job-1", 0}, 1);
    deployment.checker->on_task_started(deployment.west, {"job-1", 1}, 1);
  });
  expect_violation("wrong_place", [](CheckedDeployment& deployment) {
    deployment.jobs["job-1"].spec.types = std::vector<std::string>{"other"};
    deployment.checker->on_task_started(deployment.east, {"job-1", 0}, 1);
  });
  expect_violation("ran_cancelled", [](CheckedDeployment& deployment) {
    deployment.jobs["job-1"].cancel_requested_at = 1;
    deployment.checker->on_cancellation_reported("job-1", 1);
    deployment.checker->on_task_started(deployment.east, {"job-1", 0}, 1);
    deployment.checker->check_cancelled_jobs(12);
  });
  expect_violation("not_done", [](CheckedDeployment& deployment) {
    deployment.checker->on_done_reported("job-1", 1);
  });
  expect_violation("went_back", [](CheckedDeployment& deployment) {
    deployment.checker->on_cancellation_reported("job-1", 1);
  });
  expect_violation("went_back", [](CheckedDeployment& deployment) {
    deployment.jobs["job-1"].done = {0, 1, 2};
    deployment.checker->on_done_reported("job-1", 1);
    deployment.checker->on_unfinished_reported("job-1", 2);
  });
  expect_violation("forgotten", [](CheckedDeployment& deployment) {
    deployment.checker->on_unknown_job_reported("job-1", 1);
  });
  expect_violation("invented", [](CheckedDeployment& deployment) {
    deployment.checker->on_task_started(deployment.east, {"job-2", 0}, 1);
  });
}

}  // namespace
}  // namespace sumacquay::simulators
