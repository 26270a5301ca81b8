// Queueing of commands to workers when there are more workers than connections for commands.
#include "node/action_executor.h"

#include <gtest/gtest.h>

#include <utility>

#include "node/steady_time.h"

namespace sumacquay {
namespace {

constexpr uint64_t kTerm = 1;

/// An executor with two connections for commands on a node that leads, and workers on the loopback
/// interface that withhold their answers until `answer_all` is called.
struct ActionExecutorCommandQueue : ::testing::Test {
  static constexpr size_t kConnections = 2;

  struct Worker {
    std::unique_ptr<HttpServer> server;
    std::string address;
    std::vector<Respond> unanswered;
  };

  asio::io_context io;
  Settings settings;
  HttpClient cloud{io, {"127.0.0.1", 1}, 1, 1};
  LeaderElection election{
      {600, 100, 10, 0},
      {[](LeaderElection::Campaign, Seconds) {}, [](LeaderElection::Campaign, uint64_t) {},
       [](uint64_t) {}, [](LeaderElection::State, LeaderElection::State) {}}};
  ActiveScheduler scheduler;
  ActionExecutor executor{io, settings, kConnections, cloud, election, scheduler};
  std::vector<std::unique_ptr<Worker>> workers;

  ActionExecutorCommandQueue() {
    settings.heartbeat_period_s = 2;
    settings.lease_s = 30;
    const Seconds now = steady_now();
    election.tick(now, true, false, 0);
    election.tick(now, true, false, 0);
    election.granted(now, 1, 7, now);
    election.elected(now, 1, true, kTerm);
    scheduler.begin(std::make_unique<Scheduler>(settings, kTerm, now, now));
  }

  void add_workers(int count) {
    for (int i = 0; i < count; ++i) {
      auto worker = std::make_unique<Worker>();
      worker->server = std::make_unique<HttpServer>(
          io, Endpoint{"127.0.0.1", 0}, HttpLimits{},
          [unanswered = &worker->unanswered](const HttpRequest&, const Respond& respond) {
            unanswered->push_back(respond);
          });
      worker->address = "127.0.0.1:" + std::to_string(worker->server->port());
      workers.push_back(std::move(worker));
    }
  }

  void send_commands(const Worker& worker) {
    SendCommands batch;
    batch.machine = "at " + worker.address;
    batch.addr = worker.address;
    batch.fencing_token = kTerm << kFencingTokenCounterBits;
    batch.agent_epoch = 1;
    executor.perform(Action(batch));
  }

  size_t unanswered_requests() const {
    size_t count = 0;
    for (const auto& worker : workers) count += worker->unanswered.size();
    return count;
  }

  void answer_all() {
    for (auto& worker : workers)
      for (const auto& respond : std::exchange(worker->unanswered, {})) respond({409, {}, 0});
  }

  bool run_until(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    io.restart();
    while (!done() && std::chrono::steady_clock::now() < end)
      io.run_one_for(std::chrono::milliseconds(10));
    return done();
  }
};

// Guards against giving up a command that finds no free connection: the scheduler then treated it
// as one that may still be executed, and sent the machine nothing for a heartbeat period and until
// its worker had reported a new fencing token.
TEST_F(ActionExecutorCommandQueue, CommandsBeyondConnectionLimitAreQueuedAndAllSent) {
  constexpr int kWorkers = 9;
  add_workers(kWorkers);
  for (const auto& worker : workers) send_commands(*worker);
  EXPECT_EQ(executor.queued_commands(), kWorkers - kConnections);
  size_t received = 0;
  while (received < kWorkers) {
    const size_t expected = std::min<size_t>(kConnections, kWorkers - received);
    ASSERT_TRUE(run_until([&] { return unanswered_requests() == expected; }))
        << "expected " << expected << " more requests after " << received;
    received += expected;
    answer_all();
  }
  EXPECT_EQ(executor.queued_commands(), 0u);
}

TEST_F(ActionExecutorCommandQueue, QueuedCommandsAreNotSentAfterLosingLeadership) {
  constexpr int kWorkers = 3;
  add_workers(kWorkers);
  for (const auto& worker : workers) send_commands(*worker);
  ASSERT_TRUE(run_until([&] { return unanswered_requests() == kConnections; }))
      << "unanswered requests: " << unanswered_requests();
  election.observe_term(steady_now(), kTerm + 1);
  answer_all();
  ASSERT_TRUE(run_until([&] { return executor.queued_commands() == 0; }))
      << "queued commands: " << executor.queued_commands();
  io.restart();
  io.run_for(std::chrono::milliseconds(200));
  EXPECT_EQ(unanswered_requests(), 0u);
}

TEST_F(ActionExecutorCommandQueue, StopDropsQueuedCommands) {
  add_workers(3);
  for (const auto& worker : workers) send_commands(*worker);
  EXPECT_EQ(executor.queued_commands(), 1u);
  executor.stop();
  EXPECT_EQ(executor.queued_commands(), 0u);
}

}  // namespace
}  // namespace sumacquay
