// The components of a node that run without other processes: the pool of HTTP clients for workers,
// the generations of the scheduler, the pacing of record writes, the cloud's answers to scale-out
// requests, and the hints in peer heartbeats.
#include <gtest/gtest.h>

#include "node/action_executor.h"
#include "node/active_scheduler.h"
#include "node/leader_hints_source.h"
#include "node/worker_clients.h"
#include "node/write_pacing.h"

namespace sumacquay {
namespace {

struct WorkerClientsTest : ::testing::Test {
  asio::io_context io;
  WorkerClients clients{io, 2};
};

TEST_F(WorkerClientsTest, ReusesClientOfAnAddress) {
  const auto first = clients.find_or_create("127.0.0.1:1");
  ASSERT_TRUE(first);
  EXPECT_EQ(clients.find_or_create("127.0.0.1:1"), first);
  EXPECT_NE(clients.find_or_create("127.0.0.1:2"), first);
  EXPECT_EQ(clients.size(), 2u);
}

TEST_F(WorkerClientsTest, DropsLeastRecentlyUsedClientAtLimit) {
  const auto recently_used = clients.find_or_create("127.0.0.1:1");
  const std::weak_ptr<HttpClient> unused = clients.find_or_create("127.0.0.1:2");
  clients.find_or_create("127.0.0.1:1");
  EXPECT_TRUE(clients.find_or_create("127.0.0.1:3"));
  EXPECT_EQ(clients.size(), 2u);
  EXPECT_TRUE(unused.expired());
  EXPECT_EQ(clients.find_or_create("127.0.0.1:1"), recently_used);
}

TEST_F(WorkerClientsTest, KeepsClientWithRequestInFlight) {
  const auto busy = clients.find_or_create("127.0.0.1:1");
  busy->request("POST", "/", "", 5, [](const HttpResult&) {});
  clients.find_or_create("127.0.0.1:2");
  EXPECT_TRUE(clients.find_or_create("127.0.0.1:3")) << "it replaces the idle client";
  EXPECT_EQ(clients.find_or_create("127.0.0.1:1"), busy);
}

TEST_F(WorkerClientsTest, ReturnsNoneWhileAllClientsAreBusy) {
  for (const std::string address : {"127.0.0.1:1", "127.0.0.1:2"})
    clients.find_or_create(address)->request("POST", "/", "", 5, [](const HttpResult&) {});
  EXPECT_FALSE(clients.find_or_create("127.0.0.1:3"));
  EXPECT_EQ(clients.size(), 2u);
}

TEST_F(WorkerClientsTest, ReturnsNoneForInvalidAddress) {
  for (const std::string address : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:1x",
                                    "127.0.0.1:0", "127.0.0.1:65537", "a name:1"})
    EXPECT_FALSE(clients.find_or_create(address)) << "address: " << address;
  EXPECT_EQ(clients.size(), 0u);
}

std::unique_ptr<Scheduler> new_scheduler(const Settings& settings) {
  return std::make_unique<Scheduler>(settings, 1, 1000, 1000);
}

TEST(ActiveScheduler, IsReturnedOnlyForItsOwnGeneration) {
  const Settings settings;
  ActiveScheduler scheduler;
  EXPECT_FALSE(scheduler);
  scheduler.begin(new_scheduler(settings));
  const uint64_t first = scheduler.generation();
  EXPECT_EQ(scheduler.get(first), scheduler.get());
  EXPECT_TRUE(scheduler.get(first));

  const uint64_t ended = scheduler.end();
  EXPECT_FALSE(scheduler.get(first)) << "the node has stepped down";
  EXPECT_TRUE(scheduler) << "kept until it is released: one of its calls may still be running";

  scheduler.begin(new_scheduler(settings));
  EXPECT_FALSE(scheduler.get(first)) << "a later generation has begun";
  EXPECT_TRUE(scheduler.get(scheduler.generation()));
  scheduler.release(ended);
  EXPECT_TRUE(scheduler) << "releasing an ended generation keeps the current one";
  scheduler.release(scheduler.end());
  EXPECT_FALSE(scheduler);
  EXPECT_FALSE(scheduler.get(scheduler.generation()));
}

Settings settings_with_store_limits(int transaction_changes, double changes_per_second) {
  Settings settings;
  settings.heartbeat_period_s = 2;
  settings.state_txn_ops = transaction_changes;
  settings.state_write_rps = changes_per_second;
  return settings;
}

TEST(WritePacing, TransactionSizeFollowsStoreLimits) {
  EXPECT_EQ(WritePacing(settings_with_store_limits(24, 30)).max_changes(0), 24u);
  EXPECT_EQ(WritePacing(settings_with_store_limits(24, 7.5)).max_changes(0), 7u)
      << "no more changes than the store allows in one second";
  EXPECT_EQ(WritePacing(settings_with_store_limits(24, 1)).max_changes(0), 2u)
      << "finishing a job takes two changes";
  EXPECT_EQ(WritePacing(settings_with_store_limits(2, 30)).max_changes(0), 2u);
}

TEST(WritePacing, PausesAndShrinksTransactionsAfterSizeRefusal) {
  WritePacing pacing(settings_with_store_limits(24, 30));
  EXPECT_TRUE(pacing.may_write(100));
  pacing.on_transaction_too_large(100);
  EXPECT_FALSE(pacing.may_write(101.9)) << "writes pause for a heartbeat period";
  EXPECT_TRUE(pacing.may_write(102));
  EXPECT_EQ(pacing.max_changes(102), 2u);
  pacing.on_transaction_too_large(102);
  EXPECT_FALSE(pacing.may_write(103.9)) << "writes pause again";
  EXPECT_EQ(pacing.max_changes(161.9), 2u);
  EXPECT_EQ(pacing.max_changes(162), 24u) << "the smaller limit has expired";
}

HttpResult answer(int status, const std::string& body = "") {
  HttpResult result;
  result.answered = true;
  result.status = status;
  result.body = body;
  return result;
}

TEST(ScaleOutAnswer, IsRefusedOnlyIfTheCloudRefuses) {
  using Outcome = Scheduler::ScaleOutOutcome;
  EXPECT_EQ(read_scale_out_answer(answer(503)).outcome, Outcome::Refused);
  EXPECT_EQ(read_scale_out_answer(answer(400)).outcome, Outcome::Refused);
  EXPECT_EQ(read_scale_out_answer(answer(429)).outcome, Outcome::Unknown);
  EXPECT_EQ(read_scale_out_answer(answer(500)).outcome, Outcome::Unknown);
  EXPECT_EQ(read_scale_out_answer(answer(200, "not an answer")).outcome, Outcome::Unknown);
  HttpResult none = answer(503);
  none.answered = false;
  EXPECT_EQ(read_scale_out_answer(none).outcome, Outcome::Unknown)
      << "without an answer the request may still be executed";
}

TEST(LeaderHintsSource, AddsCachedImagesAndBootingMachines) {
  const Settings settings;
  const auto scheduler = new_scheduler(settings);
  scheduler->restore_machine({"i-1", "10.0.0.1:9", "g", "east", false}, 1000);
  scheduler->on_cached_image("i-1", "img", 7);
  ListedMachine booting;
  booting.id = "i-2";
  booting.type = "g";
  booting.zone = "west";
  booting.spot = true;
  booting.age_s = 3;
  scheduler->on_machines_listed({booting}, 1000);

  wire::PeerHeartbeat heartbeat;
  add_hints(*scheduler, 1005, heartbeat);
  ASSERT_EQ(heartbeat.cached_images.size(), 1u);
  EXPECT_EQ(heartbeat.cached_images[0].machine, "i-1");
  EXPECT_EQ(heartbeat.cached_images[0].image, "img");
  EXPECT_EQ(heartbeat.cached_images[0].gb, 7);
  ASSERT_EQ(heartbeat.booting_machines.size(), 1u);
  EXPECT_EQ(heartbeat.booting_machines[0].id, "i-2");
  EXPECT_EQ(heartbeat.booting_machines[0].zone, "west");
  EXPECT_TRUE(heartbeat.booting_machines[0].spot);
  EXPECT_EQ(heartbeat.booting_machines[0].age_s, 8) << "its age at the time of the peer heartbeat";
}

TEST(LeaderHintsSource, CountsTasksOfKnownJobsOnly) {
  const Settings settings;
  const auto scheduler = new_scheduler(settings);
  JobRecord record;
  record.spec.id = "job-1";
  record.spec.tasks = 3;
  record.started = true;
  record.done.add(0);
  scheduler->on_job_record(record, 1, 1000);
  WorkerHeartbeat heartbeat;
  heartbeat.machine = "i-1";
  heartbeat.type = "g";
  heartbeat.zone = "east";
  heartbeat.agent_epoch = heartbeat.sequence_number = 1;
  for (const std::string job : {"job-1", "unknown"})
    heartbeat.tasks.push_back({{job, 1}, 5, TaskState::Running, ExitCause::None});
  scheduler->on_heartbeat(heartbeat, true, 1000);

  wire::PeerHeartbeat peer_heartbeat;
  add_job_progress(*scheduler, peer_heartbeat);
  ASSERT_EQ(peer_heartbeat.job_progress.size(), 1u);
  EXPECT_EQ(peer_heartbeat.job_progress[0].job, "job-1");
  EXPECT_EQ(peer_heartbeat.job_progress[0].done, 1u);
  EXPECT_EQ(peer_heartbeat.job_progress[0].running, 1u);
}

}  // namespace
}  // namespace sumacquay
