// Tests of the scheduler's safety and liveness rules that randomized fault tests seldom exercise.
// Each test fails if the rule that it checks is removed.
#include <gtest/gtest.h>

#include "dispatch/scheduler.h"
#include "generators.h"
#include "leadership/leader_election.h"
#include "net/concurrency_limit.h"
#include "wire/messages.h"

namespace sumacquay {
namespace {

struct SchedulerSafetyTest : ::testing::Test {
  Settings settings;
  JobRecord record;
  HostRecord host{"i-1", "10.0.0.1:9", "g", "e", false};
  MachineType type;
  double now = 1000;

  SchedulerSafetyTest() {
    settings.heartbeat_period_s = 1;
    settings.lease_s = 10;
    TeamSettings team;
    team.name = "t";
    team.gpus_max = 4;
    settings.teams = {team};
    type.name = "g";
    type.capacity = {16, 4, 64};
    type.zones = {"e"};
    record.spec.id = "job-1";
    record.spec.team = "t";
    record.spec.tasks = 2;
    record.spec.kind = JobKind::Service;
    record.spec.request = {1, 1, 1};
    record.submitted_ms = 1;
  }

  WorkerHeartbeat heartbeat(const std::string& id, uint64_t sequence_number, uint64_t fencing_token,
                            std::vector<TaskStatus> tasks = {}) {
    WorkerHeartbeat result;
    result.machine = id;
    result.addr = "10.0.0.2:9";
    result.type = "g";
    result.zone = "e";
    result.agent_epoch = 1;
    result.sequence_number = sequence_number;
    result.fencing_token = fencing_token;
    result.tasks = std::move(tasks);
    return result;
  }

  std::unique_ptr<Scheduler> leader(uint64_t term, double grace_s) {
    auto scheduler = std::make_unique<Scheduler>(settings, term, now, now + grace_s);
    scheduler->set_machine_types({type});
    return scheduler;
  }

  /// Commits the record writes that the leader plans.
  void commit_planned_writes(Scheduler& scheduler) {
    for (int i = 0; i < 3; ++i)
      for (const auto& write : scheduler.plan_writes(now, 20))
        scheduler.on_write_answered(write, true, ++revision, now);
  }

  static std::vector<SendCommands> sent_commands(const std::vector<Action>& actions) {
    std::vector<SendCommands> sent;
    for (const auto& action : actions)
      if (const auto* send = std::get_if<SendCommands>(&action)) sent.push_back(*send);
    return sent;
  }

  uint64_t revision = 100;
};

TEST_F(SchedulerSafetyTest, StartsNoTaskBeforeJobRecordIsDurable) {
  auto scheduler = leader(1, 0);
  scheduler->on_job_record(record, 5, now);
  const auto fencing_token =
      scheduler->on_heartbeat(heartbeat("i-9", 1, 0), true, now).fencing_token;
  scheduler->on_heartbeat(heartbeat("i-9", 2, fencing_token), true, now + 0.1);
  EXPECT_TRUE(sent_commands(scheduler->tick(now + 0.2)).empty());
  EXPECT_FALSE(scheduler->jobs().at("job-1").possible_placements.empty())
      << "tasks are placed before the record is durable";
  EXPECT_TRUE(scheduler->on_heartbeat(heartbeat("i-9", 3, fencing_token), true, now + 0.3)
                  .commands.empty());
  commit_planned_writes(*scheduler);
  const auto sent = sent_commands(scheduler->tick(now + 0.4));
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].commands.size(), 2u);
}

TEST_F(SchedulerSafetyTest, StartsNoTaskBeforeHostRecordIsDurable) {
  record.started = true;
  auto scheduler = leader(1, 0);
  scheduler->on_job_record(record, 5, now);
  const auto fencing_token =
      scheduler->on_heartbeat(heartbeat("i-9", 1, 0), true, now).fencing_token;
  scheduler->on_heartbeat(heartbeat("i-9", 2, fencing_token), true, now + 0.1);
  scheduler->tick(now + 0.2);
  const auto writes = scheduler->plan_writes(now + 0.2, 20);
  ASSERT_EQ(writes.size(), 1u);
  EXPECT_EQ(writes[0].host, "i-9")
      << "the host record must be written first, so that a later leader can reconcile the machine";
  EXPECT_TRUE(sent_commands(scheduler->tick(now + 0.3)).empty());
  scheduler->on_write_answered(writes[0], true, 200, now + 0.4);
  EXPECT_EQ(sent_commands(scheduler->tick(now + 0.5)).size(), 1u);
}

TEST_F(SchedulerSafetyTest, StartsNoTaskOnMachineThatInFlightWriteDropsFromRecord) {
  // The answer to the write may be lost and the write applied minutes later. The next leader would
  // then not reconcile the machine, since the record no longer names it.
  type.capacity = {16, 1, 64};
  record.started = true;
  record.hosts = {"i-8", "i-9"};
  record.spec.kind = JobKind::Array;
  record.spec.tasks = 3;
  auto scheduler = leader(1, 0);
  for (const char* id : {"i-8", "i-9"})
    scheduler->restore_machine({id, "10.0.0.2:9", "g", "e", false}, now);
  scheduler->on_job_record(record, 5, now);
  auto send_heartbeat = [&](const std::string& id, uint64_t sequence_number,
                            std::vector<TaskStatus> tasks,
                            std::optional<double> preemption_notice_s = std::nullopt) {
    auto message = heartbeat(id, sequence_number, uint64_t{1} << 20, std::move(tasks));
    message.preemption_notice_s = preemption_notice_s;
    return scheduler->on_heartbeat(message, true, now);
  };
  const TaskStatus running{{"job-1", 0}, 7, TaskState::Running, ExitCause::None};
  const TaskStatus exited{{"job-1", 2}, 8, TaskState::Exited, ExitCause::Done};
  send_heartbeat("i-8", 1, {running, exited});
  send_heartbeat("i-9", 1, {}, 60);
  ASSERT_TRUE(scheduler->all_reconciled());
  now += 2;
  const auto in_flight_writes = scheduler->plan_writes(now, 20);
  ASSERT_EQ(in_flight_writes.size(), 1u);
  EXPECT_EQ(in_flight_writes[0].record->hosts, std::vector<std::string>{"i-8"});
  send_heartbeat("i-8", 2, {running});
  send_heartbeat("i-9", 2, {});
  scheduler->tick(now);
  ASSERT_EQ(scheduler->jobs().at("job-1").possible_placements.count(1), 1u)
      << "task 1 is placed on i-9";
  EXPECT_TRUE(send_heartbeat("i-9", 3, {}).commands.empty());
  scheduler->on_write_answered(in_flight_writes[0], false, 0, now);
  EXPECT_TRUE(send_heartbeat("i-9", 4, {}).commands.empty())
      << "the failed write may still be applied";
  commit_planned_writes(*scheduler);
  EXPECT_EQ(send_heartbeat("i-9", 5, {}).commands.size(), 1u);
}

TEST_F(SchedulerSafetyTest, ProbeAnswerOfNewAgentEpochStartsNewLease) {
  // Guards against duplicate starts after a worker's agent restarts: the last heartbeat answer
  // belongs to the previous agent epoch, and a lease counted from it expires while tasks of the new
  // epoch still run.
  record.started = true;
  auto scheduler = leader(1, 0);
  scheduler->restore_machine(host, now);
  scheduler->on_job_record(record, 5, now);
  scheduler->on_heartbeat(heartbeat("i-1", 1, uint64_t{1} << 20), true, now);
  now += settings.lease_s - 1;
  auto new_epoch_heartbeat = heartbeat("i-1", 2, uint64_t{1} << 20);
  new_epoch_heartbeat.agent_epoch = 2;
  scheduler->on_probe_answered("i-1", new_epoch_heartbeat, now);
  now += 2;
  scheduler->tick(now);
  EXPECT_EQ(scheduler->machines().at("i-1").state, MachineState::Up);
}

TEST_F(SchedulerSafetyTest, ReleasesMachineThatMissesProbesWhileItsZoneIsReachable) {
  record.started = true;
  settings.lease_s = 60;
  auto scheduler = leader(1, 0);
  for (int i = 1; i < 5; ++i)
    scheduler->restore_machine({"i-" + std::to_string(i), "10.0.0.2:9", "g", "e", false}, now);
  scheduler->on_job_record(record, 5, now);
  const TaskStatus running{{"job-1", 0}, 7, TaskState::Running, ExitCause::None};
  size_t probe_count = 0;
  size_t release_count = 0;
  bool socket_available = true;
  std::optional<WorkerHeartbeat> probe_answer;
  auto run_for = [&](Seconds duration, bool others_send_heartbeats) {
    for (const Seconds end = now + duration; now < end; now += 0.1) {
      for (int i = 2; i < 5 && others_send_heartbeats; ++i)
        scheduler->on_heartbeat(
            heartbeat("i-" + std::to_string(i), static_cast<uint64_t>(now * 10), uint64_t{1} << 20),
            true, now);
      for (const auto& action : scheduler->tick(now)) {
        if (const auto* probe = std::get_if<Probe>(&action)) {
          ++probe_count;
          if (probe_answer) probe_answer->sequence_number = static_cast<uint64_t>(now * 10);
          socket_available ? scheduler->on_probe_answered(probe->machine, probe_answer, now)
                           : scheduler->on_probe_not_sent(probe->machine);
        }
        if (std::holds_alternative<ScaleIn>(action)) ++release_count;
      }
    }
  };
  auto first_heartbeat = heartbeat("i-1", 1, uint64_t{1} << 20, {running});
  scheduler->on_heartbeat(first_heartbeat, true, now);
  probe_answer = first_heartbeat;
  run_for(5, true);
  EXPECT_GE(probe_count, 2u);
  EXPECT_EQ(release_count, 0u) << "the machine answers probes";
  probe_answer.reset();
  socket_available = false;
  run_for(3, true);
  EXPECT_EQ(release_count, 0u) << "no probe was sent for lack of sockets";
  socket_available = true;
  run_for(3, false);
  EXPECT_EQ(release_count, 0u) << "no machine sends heartbeats: the fault may be this node's own";
  run_for(1, true);
  EXPECT_EQ(release_count, 1u);
}

TEST_F(SchedulerSafetyTest, SlowRoundsDoNotDelayReleaseOfSilentMachine) {
  // Guards against a leader that takes 2 s between ticks, as with an array of 25,000 tasks, for a
  // pause of its own process: it then releases silent machines only when their lease expires.
  record.started = true;
  settings.lease_s = 10;
  auto scheduler = leader(1, 0);
  for (int i = 1; i < 5; ++i)
    scheduler->restore_machine({"i-" + std::to_string(i), "10.0.0.2:9", "g", "e", false}, now);
  scheduler->on_job_record(record, 5, now);
  const TaskStatus running{{"job-1", 0}, 7, TaskState::Running, ExitCause::None};
  scheduler->on_heartbeat(heartbeat("i-1", 1, uint64_t{1} << 20, {running}), true, now);
  const Seconds silent_since = now;
  std::optional<Seconds> released_at;
  constexpr Seconds kTickInterval = 2;
  constexpr uint64_t kStepsPerTick = 20;
  for (uint64_t step = 0; now < silent_since + settings.lease_s * 0.8; ++step, now += 0.1) {
    for (int i = 2; i < 5; ++i)
      scheduler->on_heartbeat(heartbeat("i-" + std::to_string(i), 10 + step, uint64_t{1} << 20),
                              true, now);
    if (step % kStepsPerTick != 0) continue;
    for (const auto& action : scheduler->tick(now)) {
      if (const auto* probe = std::get_if<Probe>(&action))
        scheduler->on_probe_answered(probe->machine, std::nullopt, now);
      if (std::holds_alternative<ScaleIn>(action) && !released_at) released_at = now;
    }
  }
  ASSERT_TRUE(released_at.has_value());
  EXPECT_LE(*released_at, silent_since + 3 * kTickInterval);
}

TEST_F(SchedulerSafetyTest, ReleasesMachineWithoutHeartbeatAfterFailoverAndPlacesItsJobs) {
  // The previous leader released the machine and terminated before it deleted the machine's record.
  // Unless the machine is released again, jobs recorded there wait 51 s for its lease to expire.
  record.started = true;
  record.hosts = std::vector<std::string>{"i-7"};
  auto scheduler = leader(2, 20);
  for (const char* id : {"i-7", "i-9"})
    scheduler->restore_machine({id, "10.0.0.2:9", "g", "e", false}, now);
  scheduler->on_job_record(record, 5, now);
  uint64_t sequence_number = 0;
  for (const Seconds end = now + settings.lease_s * 0.7; now < end; now += 0.2) {
    scheduler->on_heartbeat(heartbeat("i-9", ++sequence_number, uint64_t{2} << 20), true, now);
    for (const auto& action : scheduler->tick(now))
      if (const auto* scale_in = std::get_if<ScaleIn>(&action))
        scheduler->on_scale_in_answered(*scale_in, true, now);
  }
  EXPECT_EQ(scheduler->machines().count("i-7"), 0u);
  EXPECT_EQ(scheduler->jobs().at("job-1").possible_placements.size(), 2u)
      << "both tasks are placed on i-9";
}

TEST_F(SchedulerSafetyTest, UnreconciledMachineBlocksOnlyJobsThatMayRunThere) {
  settings.teams[0].gpus_max = 8;
  // Of hundreds of machines some are always silent. Guards against failovers that suspend placement
  // in the whole fleet until these are reconciled.
  record.started = true;
  record.hosts = std::vector<std::string>{"i-7"};
  JobRecord other_job = record;
  other_job.spec.id = "job-2";
  other_job.hosts = std::vector<std::string>{"i-9"};
  JobRecord job_without_hosts = record;
  job_without_hosts.spec.id = "job-3";
  job_without_hosts.hosts.reset();
  auto scheduler = leader(1, 5);
  for (const char* id : {"i-7", "i-9"})
    scheduler->restore_machine({id, "10.0.0.2:9", "g", "e", false}, now);
  for (const auto* job : {&record, &other_job, &job_without_hosts})
    scheduler->on_job_record(*job, 5, now);
  scheduler->on_heartbeat(heartbeat("i-9", 1, uint64_t{1} << 20), true, now);
  scheduler->tick(now);
  EXPECT_TRUE(scheduler->jobs().at("job-1").possible_placements.empty());
  EXPECT_EQ(scheduler->jobs().at("job-2").possible_placements.size(), 2u);
  EXPECT_TRUE(scheduler->jobs().at("job-3").possible_placements.empty());
}

TEST_F(SchedulerSafetyTest, ReleasesSilentMachineWithUnansweredCommand) {
  record.started = true;
  auto scheduler = leader(1, 0);
  scheduler->on_job_record(record, 5, now);
  const auto fencing_token =
      scheduler->on_heartbeat(heartbeat("i-9", 1, 0), true, now).fencing_token;
  scheduler->on_heartbeat(heartbeat("i-9", 2, fencing_token), true, now + 0.1);
  scheduler->tick(now + 0.2);
  commit_planned_writes(*scheduler);
  ASSERT_EQ(sent_commands(scheduler->tick(now + 0.3)).size(), 1u);
  scheduler->on_commands_answered("i-9", std::nullopt, false, now + 0.9);
  bool released = false;
  for (double offset = 1; offset < settings.lease_s * 0.6; offset += 0.1)
    for (const auto& action : scheduler->tick(now + offset))
      released = released || std::holds_alternative<ScaleIn>(action);
  EXPECT_TRUE(released);
}

/// Twelve machines in three zones, each with one replica of a service.
struct ThreeZoneFleetTest : SchedulerSafetyTest {
  std::unique_ptr<Scheduler> scheduler;
  uint64_t sequence_number = 0;
  std::set<std::string> released;

  ThreeZoneFleetTest() {
    settings.teams[0].gpus_max = 0;
    type.capacity = {16, 1, 64};
    type.zones = {"e", "n", "w"};
    record.started = true;
    record.spec.tasks = 12;
    scheduler = leader(1, 0);
    for (int i = 0; i < 12; ++i)
      scheduler->restore_machine({id(i), addr(i), "g", zone(i), false}, now);
    scheduler->on_job_record(record, 5, now);
  }
  static std::string id(int i) { return "i-" + std::to_string(i); }
  static std::string addr(int i) { return "10.0.0." + std::to_string(i) + ":9"; }
  static std::string zone(int i) { return std::array{"e", "n", "w"}[i % 3]; }

  /// Advances time while the given machines send no heartbeats.
  void run_for(Seconds duration, const std::set<int>& silent_machines) {
    for (Seconds end = now + duration; now < end; now += 0.1) {
      if (++sequence_number % 10 == 0)
        for (int i = 0; i < 12; ++i) {
          if (silent_machines.contains(i)) continue;
          auto message =
              heartbeat(id(i), sequence_number, uint64_t{1} << 20,
                        {{{"job-1", static_cast<uint32_t>(i)}, 7, TaskState::Running, {}}});
          message.zone = zone(i);
          scheduler->on_heartbeat(message, true, now);
        }
      for (const auto& action : scheduler->tick(now))
        if (const auto* scale_in = std::get_if<ScaleIn>(&action)) {
          released.insert(scale_in->machines.begin(), scale_in->machines.end());
          scheduler->on_scale_in_answered(*scale_in, true, now);
        }
    }
  }
};

TEST_F(ThreeZoneFleetTest, ReleasesSilentMachinesButNoneInPartitionedZoneBeforeLeaseExpiry) {
  run_for(3, {});
  run_for(6, {0, 1, 2, 3});  // a third of the fleet, spread over all zones
  EXPECT_EQ(released, (std::set<std::string>{"i-0", "i-1", "i-2", "i-3"}));
  released.clear();
  const auto booting = ListedMachine::State::Booting;
  scheduler->on_machines_listed(
      {{"i-new", "10.0.1.1:9", "g", "n", false, booting, 3.4 * type.boot_s}}, now);
  run_for(9, {0, 1, 2, 3, 4, 7, 10});
  EXPECT_EQ(released, std::set<std::string>{})
      << "tasks in the partitioned zone still run, and the booting machine may be up";
  run_for(30, {0, 1, 2, 3, 4, 7, 10});
  EXPECT_TRUE(released.count("i-4")) << "i-4's lease has expired";
}

TEST_F(SchedulerSafetyTest, CapacityForArrivalsIsNotKeptWithoutRecentArrivals) {
  record.submitted_ms = static_cast<uint64_t>(now * 1000);
  record.spec.priority = Priority::Production;
  record.spec.request = {4, 4, 4};
  auto scheduler = leader(1, 0);
  scheduler->on_job_record(record, 5, now);
  auto scale_out_count = [&](double time) {
    size_t count = 0;
    for (const auto& action : scheduler->tick(time))
      count += std::holds_alternative<ScaleOut>(action);
    return count;
  };
  EXPECT_GT(scale_out_count(now + 0.1), 0u);
  record.state = JobState::Cancelled;
  scheduler->on_job_record(record, 6, now + 1);
  scheduler->on_job_finished("job-1");
  auto later_scheduler = leader(2, 0);
  later_scheduler->on_job_record(record, 6, now);
  EXPECT_GT(std::holds_alternative<ScaleOut>(later_scheduler->tick(now + 1).at(0)), 0)
      << "a production job arrived recently, so capacity is kept for another";
  auto much_later = leader(3, 0);
  much_later->on_job_record(record, 6, now);
  EXPECT_TRUE(much_later->tick(now + 1000).empty());
}

// Guards against a fixed boot timeout: when all machines boot slowly, it releases each one just
// before it is up and requests a replacement that takes as long.
TEST_F(SchedulerSafetyTest, ReleasesBootingMachineOnlyOnceLaterOneIsUp) {
  auto scheduler = leader(1, 0);
  auto released_machines = [&] {
    std::vector<std::string> released;
    for (const auto& action : scheduler->tick(now))
      if (const auto* scale_in = std::get_if<ScaleIn>(&action)) released = scale_in->machines;
    return released;
  };
  using State = ListedMachine::State;
  scheduler->on_machines_listed({{"i-1", "", "g", "e", false, State::Booting, 10},
                                 {"i-2", "", "g", "e", false, State::Booting, 5}},
                                now);
  now += 2 * type.boot_s;
  EXPECT_TRUE(released_machines().empty());
  scheduler->on_heartbeat(heartbeat("i-2", 1, 0), true, now);
  now += 1;
  EXPECT_EQ(released_machines(), std::vector<std::string>{"i-1"});
}

// Guards against a leader that is partitioned from all workers, but not from the key-value store,
// and keeps leading until every worker's lease has expired.
TEST_F(SchedulerSafetyTest, DetectsIsolationOnceAllWorkersAreSilent) {
  auto scheduler = leader(1, 0);
  const double start = now;
  for (const char* id : {"i-1", "i-2", "i-3"})
    scheduler->on_heartbeat(heartbeat(id, 1, 0), true, now);
  now = start + 5;
  scheduler->on_heartbeat(heartbeat("i-2", 2, 0), true, now);
  now += 2.5;
  EXPECT_FALSE(scheduler->isolated_from_workers(now)) << "i-2 sent a heartbeat 2.5 s ago";
  now += 1;
  EXPECT_TRUE(scheduler->isolated_from_workers(now));
  EXPECT_FALSE(leader(2, 0)->isolated_from_workers(now))
      << "a leader without machines expects no heartbeats";
}

// Guards against starvation of a gang that needs several machines: without a reservation, an array
// takes each machine as soon as it is up.
TEST_F(SchedulerSafetyTest, ReservesBootedMachinesForGang) {
  settings.teams[0].gpus_max = 0;
  auto scheduler = leader(1, 0);
  record.spec.kind = JobKind::Gang;
  record.spec.one_zone = true;
  record.spec.priority = Priority::High;
  record.spec.request = type.capacity;
  record.submitted_ms = static_cast<uint64_t>(now * 1000);
  scheduler->on_job_record(record, ++revision, now);
  JobRecord array_job = record;
  array_job.spec.id = "job-2";
  array_job.spec.kind = JobKind::Array;
  array_job.spec.priority = Priority::Low;
  array_job.spec.tasks = 50;
  array_job.submitted_ms -= 5000;
  scheduler->on_job_record(array_job, ++revision, now);
  auto boot_machine = [&](const std::string& id) {
    scheduler->on_heartbeat(heartbeat(id, 1, 0), true, now);
    scheduler->on_heartbeat(heartbeat(id, 2, 1 << 20), true, now);
    now += 1;
    scheduler->tick(now);
    return scheduler->machines().at(id).attempts;
  };
  now += 1;
  EXPECT_TRUE(boot_machine("i-1").empty())
      << "i-1 is reserved for the gang, which needs two machines";
  const auto gang_attempts = boot_machine("i-2");
  ASSERT_EQ(gang_attempts.size(), 1u);
  EXPECT_EQ(gang_attempts.begin()->first.task.job, "job-1");
  EXPECT_EQ(scheduler->machines().at("i-1").attempts.size(), 1u);
  EXPECT_EQ(boot_machine("i-3").begin()->first.task.job, "job-2")
      << "the gang's reservation covers two machines only";
}

TEST_F(SchedulerSafetyTest, TasksOnSilentMachineWaitForFencingAndLeaseExpiry) {
  record.started = true;
  auto scheduler = leader(2, 10);
  scheduler->restore_machine(host, now);
  scheduler->on_job_record(record, 5, now);
  const auto fencing_token =
      scheduler->on_heartbeat(heartbeat("i-9", 1, 0), true, now).fencing_token;
  auto possible_placements_at = [&, sequence_number = uint64_t{1}](double time) mutable {
    scheduler->on_heartbeat(heartbeat("i-9", ++sequence_number, fencing_token), true, time);
    scheduler->tick(time);
    return scheduler->jobs().at("job-1").possible_placements.size();
  };
  for (double offset = 0.5; offset < 19.9; offset += 0.5)
    ASSERT_EQ(possible_placements_at(now + offset), 0u)
        << "an earlier leader may have renewed i-1's lease; placed at offset (s) " << offset;
  possible_placements_at(now + 20.5);
  EXPECT_EQ(possible_placements_at(now + 21), 2u);
}

TEST_F(SchedulerSafetyTest, EarlyFencingOfPreviousLeaderShortensReconciliation) {
  record.started = true;
  auto scheduler = leader(2, 10);
  scheduler->restore_machine(host, now);
  scheduler->on_job_record(record, 5, now);
  scheduler->on_previous_leader_fenced(now + 1);
  scheduler->tick(now + 10.9);
  EXPECT_FALSE(scheduler->all_reconciled());
  scheduler->tick(now + 11.5);
  EXPECT_TRUE(scheduler->all_reconciled());
}

TEST_F(SchedulerSafetyTest, UnreconciledTasksCountAgainstQuota) {
  record.started = true;
  record.spec.tasks = 3;
  auto scheduler = leader(2, 10);
  scheduler->restore_machine(host, now);
  scheduler->on_job_record(record, 5, now);
  JobRecord other_job = record;
  other_job.spec.id = "job-2";
  other_job.started = false;
  scheduler->on_job_record(other_job, 6, now);
  const auto fencing_token =
      scheduler->on_heartbeat(heartbeat("i-9", 1, 0), true, now).fencing_token;
  scheduler->on_heartbeat(heartbeat("i-9", 2, fencing_token), true, now + 0.1);
  scheduler->tick(now + 0.2);
  EXPECT_EQ(scheduler->jobs().at("job-2").possible_placements.size(), 1u)
      << "three of the quota's four GPUs may be in use by unreconciled tasks";
}

// Guards against a quota overrun after a failover: a late heartbeat of a machine that is gone shows
// tasks as done, while later attempts of them run on a machine that has not been heard yet.
TEST_F(SchedulerSafetyTest, TasksCompletedByLateHeartbeatStillCountAgainstQuota) {
  record.started = true;
  record.hosts = {host.id};
  record.spec.kind = JobKind::Array;
  auto scheduler = leader(2, 10);
  scheduler->restore_machine(host, now);
  scheduler->on_job_record(record, 5, now);
  std::vector<TaskStatus> done_tasks;
  for (uint32_t task = 0; task < record.spec.tasks; ++task)
    done_tasks.push_back({{"job-1", task}, 7 + task, TaskState::Exited, ExitCause::Done});
  scheduler->on_heartbeat(heartbeat("i-8", 1, 0, done_tasks), true, now);
  commit_planned_writes(*scheduler);
  JobRecord other_job = record;
  other_job.spec.id = "job-2";
  other_job.spec.tasks = 4;
  other_job.started = false;
  scheduler->on_job_record(other_job, 600, now);
  const auto fencing_token =
      scheduler->on_heartbeat(heartbeat("i-9", 1, 0), true, now).fencing_token;
  scheduler->on_heartbeat(heartbeat("i-9", 2, fencing_token), true, now + 0.1);
  scheduler->tick(now + 0.2);
  EXPECT_LE(scheduler->jobs().at("job-2").possible_placements.size(), 2u)
      << "two of the quota's four GPUs may be in use on the machine that has not been heard";
}

TEST_F(SchedulerSafetyTest, CommandAnswerDoesNotDisproveStartInHeartbeatAnswer) {
  auto scheduler = leader(1, 0);
  scheduler->on_job_record(record, 5, now);
  const auto fencing_token =
      scheduler->on_heartbeat(heartbeat("i-9", 1, 0), true, now).fencing_token;
  scheduler->on_heartbeat(heartbeat("i-9", 2, fencing_token), true, now + 0.1);
  scheduler->tick(now + 0.2);
  commit_planned_writes(*scheduler);
  ASSERT_EQ(
      scheduler->on_heartbeat(heartbeat("i-9", 3, fencing_token), true, now + 0.3).commands.size(),
      2u);
  record.state = JobState::Cancelled;
  record.started = true;
  scheduler->on_job_record(record, 500, now + 0.3);
  scheduler->on_commands_answered("i-9", heartbeat("i-9", 4, fencing_token), true, now + 0.4);
  EXPECT_EQ(scheduler->jobs().at("job-1").possible_placements.size(), 2u)
      << "the start in the heartbeat answer may still be executed";
  scheduler->on_heartbeat(heartbeat("i-9", 5, fencing_token), true, now + 1);
  EXPECT_TRUE(scheduler->jobs().at("job-1").possible_placements.empty());
}

TEST_F(SchedulerSafetyTest, HeartbeatWithCommandsInFlightIsInconclusiveAndGetsNoCommands) {
  auto scheduler = leader(1, 0);
  scheduler->on_job_record(record, 5, now);
  auto fencing_token = scheduler->on_heartbeat(heartbeat("i-9", 1, 0), true, now).fencing_token;
  scheduler->on_heartbeat(heartbeat("i-9", 2, fencing_token), true, now + 0.1);
  scheduler->tick(now + 0.2);
  commit_planned_writes(*scheduler);
  ASSERT_EQ(sent_commands(scheduler->tick(now + 0.3)).size(), 1u);
  record.state = JobState::Cancelled;
  record.started = true;
  scheduler->on_job_record(record, 500, now + 0.3);
  EXPECT_TRUE(scheduler->on_heartbeat(heartbeat("i-9", 3, fencing_token), true, now + 0.5)
                  .commands.empty());
  EXPECT_EQ(scheduler->jobs().at("job-1").possible_placements.size(), 2u);
  scheduler->on_commands_answered("i-9", std::nullopt, false, now + 2);
  const auto raised_token =
      scheduler->on_heartbeat(heartbeat("i-9", 4, fencing_token), true, now + 2.1).fencing_token;
  EXPECT_GT(raised_token, fencing_token)
      << "only a new fencing token prevents late execution of the unanswered commands";
  EXPECT_EQ(scheduler->jobs().at("job-1").possible_placements.size(), 2u);
  scheduler->on_heartbeat(heartbeat("i-9", 5, raised_token), true, now + 3);
  EXPECT_TRUE(scheduler->jobs().at("job-1").possible_placements.empty());
}

/// Workers that execute all commands. Tasks of broken jobs fail, as do all tasks on faulty
/// machines; the other tasks complete after a fixed time.
struct FailureAttributionTest : SchedulerSafetyTest {
  struct Task {
    TaskStatus status;
    Seconds started_at = 0;
  };
  struct Worker {
    uint64_t sequence_number = 0, fencing_token = 0;
    std::map<std::pair<TaskKey, uint64_t>, Task> tasks;
  };
  static constexpr Seconds kFailureDelay = 0.6, kTaskDuration = 3;
  std::unique_ptr<Scheduler> scheduler;
  std::map<std::string, Worker> workers;
  std::set<std::string> broken_jobs, faulty_machines;
  std::map<std::string, size_t> failed_starts, completed_starts;  ///< exited attempts, by job
  size_t requested_machines = 0;

  FailureAttributionTest() {
    settings.teams[0].gpus_max = 0;
    type.boot_s = 1000;  // long enough that no idle machine is released
    record.spec.kind = JobKind::Array;
    record.spec.request = {4, 1, 4};
    scheduler = leader(1, 0);
    for (int i = 1; i <= 12; ++i) workers["i-" + std::to_string(i)];
  }

  void submit(const std::string& id, uint32_t tasks) {
    record.spec.id = id;
    record.spec.tasks = tasks;
    scheduler->on_job_record(record, ++revision, now);
  }

  WorkerHeartbeat next_heartbeat(const std::string& id) {
    Worker& worker = workers.at(id);
    std::vector<TaskStatus> tasks;
    for (const auto& [key, task] : worker.tasks) tasks.push_back(task.status);
    return heartbeat(id, ++worker.sequence_number, worker.fencing_token, tasks);
  }

  void execute(const std::string& id, uint64_t fencing_token,
               const std::vector<Command>& commands) {
    Worker& worker = workers.at(id);
    worker.fencing_token = std::max(worker.fencing_token, fencing_token);
    for (const Command& command : commands) {
      const std::pair key{command.key, command.attempt};
      if (command.type == CommandType::Start)
        worker.tasks.try_emplace(
            key, Task{{command.key, command.attempt, TaskState::Running, ExitCause::None}, now});
      else if (command.type == CommandType::Discard)
        worker.tasks.erase(key);
      else if (const auto task = worker.tasks.find(key); task != worker.tasks.end())
        exit_task(task->second, ExitCause::Stopped);
    }
  }

  static void exit_task(Task& task, ExitCause cause) {
    if (task.status.state == TaskState::Exited) return;
    task.status.state = TaskState::Exited;
    task.status.cause = cause;
  }

  void advance_tasks(const std::string& id) {
    for (auto& [key, task] : workers.at(id).tasks) {
      if (task.status.state == TaskState::Exited) continue;
      const std::string& job = task.status.key.job;
      const bool task_fails = broken_jobs.contains(job) || faulty_machines.contains(id);
      if (now - task.started_at < (task_fails ? kFailureDelay : kTaskDuration)) continue;
      exit_task(task, task_fails ? ExitCause::Error : ExitCause::Done);
      ++(task_fails ? failed_starts : completed_starts)[job];
    }
  }

  void execute(const Action& action) {
    if (const auto* send = std::get_if<SendCommands>(&action)) {
      execute(send->machine, send->fencing_token, send->commands);
      scheduler->on_commands_answered(send->machine, next_heartbeat(send->machine), true, now);
    } else if (const auto* scale_in = std::get_if<ScaleIn>(&action)) {
      for (const auto& id : scale_in->machines) workers.erase(id);
      scheduler->on_scale_in_answered(*scale_in, true, now);
    } else if (const auto* scale_out = std::get_if<ScaleOut>(&action)) {
      requested_machines += static_cast<size_t>(scale_out->count);
      scheduler->on_scale_out_answered(*scale_out, Scheduler::ScaleOutOutcome::Refused, {}, now);
    }
  }

  void run_for(Seconds duration) {
    int step = 0;
    for (const Seconds end = now + duration; now < end; now += 0.1, ++step) {
      for (auto& [id, worker] : workers) {
        advance_tasks(id);
        if (step % 5 != 0) continue;
        const auto answer = scheduler->on_heartbeat(next_heartbeat(id), true, now);
        execute(id, answer.fencing_token, answer.commands);
      }
      for (const auto& action : scheduler->tick(now)) execute(action);
      commit_planned_writes(*scheduler);
    }
  }

  std::set<std::string> released_machines() const {
    std::set<std::string> out;
    for (int i = 1; i <= 12; ++i) out.insert("i-" + std::to_string(i));
    for (const auto& [id, worker] : workers) out.erase(id);
    return out;
  }
};

TEST_F(FailureAttributionTest, JobsThatFailEverywhereReleaseNoMachines) {
  broken_jobs = {"job-bad-1", "job-bad-2", "job-bad-3"};
  run_for(2);
  for (const auto& id : broken_jobs) submit(id, 6);
  run_for(20);
  EXPECT_GT(failed_starts["job-bad-1"], 2u);
  EXPECT_EQ(released_machines(), std::set<std::string>{});
}

TEST_F(FailureAttributionTest, SingleTaskJobsThatFailEverywhereReleaseNoMachines) {
  run_for(2);
  for (int i = 0; i < 8; ++i) {
    const std::string id = "job-bad-" + std::to_string(i);
    broken_jobs.insert(id);
    submit(id, 1);
    run_for(0.5);
  }
  run_for(20);
  EXPECT_EQ(released_machines(), std::set<std::string>{});
}

TEST_F(FailureAttributionTest, ReleasesExactlyFaultyMachines) {
  broken_jobs = {"job-bad-1", "job-bad-2"};
  faulty_machines = {"i-1", "i-2", "i-3", "i-4"};
  run_for(2);
  for (const auto& id : broken_jobs) submit(id, 6);
  for (int i = 0; i < 24; ++i) submit("job-good-" + std::to_string(i), 4);
  run_for(60);
  for (int i = 0; i < 24; ++i) EXPECT_EQ(completed_starts["job-good-" + std::to_string(i)], 4u);
  EXPECT_EQ(released_machines(), faulty_machines);
}

TEST_F(FailureAttributionTest, CrashLoopingJobBacksOffWithoutScaleOut) {
  broken_jobs = {"job-bad"};
  run_for(2);
  submit("job-bad", 400);
  run_for(3);
  const size_t early_failures = failed_starts["job-bad"];
  const size_t early_requests = requested_machines;
  run_for(200);
  EXPECT_LE(failed_starts["job-bad"], early_failures + 12)
      << "a crash-looping job starts one task at a time, with backoff";
  EXPECT_GT(failed_starts["job-bad"], early_failures) << "a crash-looping job is still retried";
  EXPECT_EQ(requested_machines, early_requests) << "no scale-out for a crash-looping job";
}

TEST_F(FailureAttributionTest, JobCompletesDespiteFaultyMachines) {
  faulty_machines = {"i-1", "i-2", "i-3"};
  run_for(2);
  submit("job-good", 100);
  run_for(60);
  EXPECT_EQ(completed_starts["job-good"], 100u);
}

/// A task of job-1 runs on i-9. The leader reads the cancellation when a test calls `cancel()`.
struct CancelledTaskTest : SchedulerSafetyTest {
  std::unique_ptr<Scheduler> scheduler = leader(1, 0);
  uint64_t fencing_token = 0, attempt = 0;

  CancelledTaskTest() {
    record.spec.tasks = 1;
    scheduler->on_job_record(record, 5, now);
    fencing_token = scheduler->on_heartbeat(heartbeat("i-9", 1, 0), true, now).fencing_token;
    scheduler->on_heartbeat(heartbeat("i-9", 2, fencing_token), true, now + 0.1);
    scheduler->tick(now + 0.2);
    commit_planned_writes(*scheduler);
    for (const auto& c :
         scheduler->on_heartbeat(heartbeat("i-9", 3, fencing_token), true, now + 0.3).commands)
      if (c.type == CommandType::Start) attempt = c.attempt;
    scheduler->on_heartbeat(running_heartbeat(4), true, now + 1);
  }
  WorkerHeartbeat running_heartbeat(uint64_t sequence_number) {
    return heartbeat("i-9", sequence_number, fencing_token,
                     {{{"job-1", 0}, attempt, TaskState::Running}});
  }
  void cancel() {
    record.state = JobState::Cancelled;
    record.started = true;
    scheduler->on_job_record(record, 500, now + 1);
  }
  bool contains_stop(const Scheduler::HeartbeatResponse& answer) const {
    return answer.accepted && std::count(answer.commands.begin(), answer.commands.end(),
                                         Command{CommandType::Stop, {"job-1", 0}, attempt, 0}) == 1;
  }
};

// Each heartbeat answer renews the worker's lease. Without the stop in it, a cancelled task whose
// first stop was lost runs for as long as the lease is renewed.
TEST_F(CancelledTaskTest, LeaderWithExpiredLeaseStillSendsStop) {
  EXPECT_TRUE(scheduler->on_heartbeat(running_heartbeat(5), false, now + 2).commands.empty())
      << "without a cancelled job there is no command";
  cancel();
  EXPECT_TRUE(contains_stop(scheduler->on_heartbeat(running_heartbeat(6), false, now + 3)));
}

TEST_F(CancelledTaskTest, StopIsSentBeforeFencingTokenIsAcknowledged) {
  cancel();
  ASSERT_EQ(sent_commands(scheduler->tick(now + 2)).size(), 1u);
  scheduler->on_commands_answered("i-9", std::nullopt, false, now + 3);
  EXPECT_TRUE(contains_stop(scheduler->on_heartbeat(running_heartbeat(5), true, now + 3.1)))
      << "the machine has not acknowledged the new fencing token";
}

TEST_F(CancelledTaskTest, StopIsSentWhileCommandsAreInFlight) {
  cancel();
  ASSERT_EQ(sent_commands(scheduler->tick(now + 2)).size(), 1u);
  EXPECT_TRUE(contains_stop(scheduler->on_heartbeat(running_heartbeat(5), true, now + 2.5)));
}

TEST_F(CancelledTaskTest, StopIsSentInAnswerToOvertakenHeartbeat) {
  cancel();
  scheduler->on_commands_answered("i-9", running_heartbeat(7), true, now + 2);
  EXPECT_TRUE(contains_stop(scheduler->on_heartbeat(running_heartbeat(6), true, now + 2.1)));
}

TEST_F(CancelledTaskTest, UnexecutedStopIsSentAgain) {
  cancel();
  ASSERT_EQ(sent_commands(scheduler->tick(now + 2)).size(), 1u);
  scheduler->on_commands_answered("i-9", std::nullopt, false, now + 3);
  auto acknowledgement = running_heartbeat(5);
  acknowledgement.fencing_token =
      scheduler->on_heartbeat(running_heartbeat(5), true, now + 3.1).fencing_token;
  acknowledgement.sequence_number = 6;
  scheduler->on_probe_answered("i-9", acknowledgement, now + 4);
  EXPECT_EQ(sent_commands(scheduler->tick(now + 5)).size(), 1u);
}

TEST_F(CancelledTaskTest, StopPrecedesAnyNumberOfStarts) {
  settings.teams[0].gpus_max = 0;
  type.capacity = {2000, 4, 2000};
  scheduler->set_machine_types({type});
  cancel();
  JobRecord array_job = record;
  array_job.state = JobState::Pending;
  array_job.started = false;
  array_job.spec.id = "job-0";
  array_job.spec.kind = JobKind::Array;
  array_job.spec.request = {1, 0, 1};
  array_job.spec.tasks = 500;
  scheduler->on_job_record(array_job, 6, now + 1);
  scheduler->on_heartbeat(running_heartbeat(5), true, now + 1.1);
  scheduler->tick(now + 2);
  scheduler->on_commands_answered("i-9", running_heartbeat(6), true, now + 2.1);
  commit_planned_writes(*scheduler);
  const auto answer = scheduler->on_heartbeat(running_heartbeat(7), true, now + 3);
  EXPECT_GT(answer.commands.size(), 200u);
  EXPECT_TRUE(contains_stop(answer));
  EXPECT_EQ(answer.commands[0].type, CommandType::Stop);
}

// A delayed heartbeat reaches a new leader and shows an attempt whose task has since been started
// again on another machine.
TEST_F(SchedulerSafetyTest, StaleHeartbeatDoesNotStopNewerAttempt) {
  record.spec.tasks = 1;
  record.started = true;
  for (bool stale_first : {true, false}) {
    auto scheduler = leader(3, 5);
    scheduler->restore_machine(host, now);
    scheduler->restore_machine({"i-2", "10.0.0.3:9", "g", "e", false}, now);
    scheduler->on_job_record(record, 5, now);
    const auto stale_heartbeat =
        heartbeat("i-1", 4, 1 << 20, {{{"job-1", 0}, 7, TaskState::Running}});
    const auto current_heartbeat =
        heartbeat("i-2", 9, 2 << 20, {{{"job-1", 0}, 8, TaskState::Running}});
    scheduler->on_heartbeat(stale_first ? stale_heartbeat : current_heartbeat, true, now + 0.1);
    scheduler->on_heartbeat(stale_first ? current_heartbeat : stale_heartbeat, true, now + 0.2);
    EXPECT_TRUE(scheduler->machines().at("i-2").attempts.begin()->second.desired_running);
    EXPECT_FALSE(scheduler->machines().at("i-1").attempts.begin()->second.desired_running);
    EXPECT_EQ(scheduler->jobs().at("job-1").possible_placements.at(0).size(), 2u)
        << "the older attempt counts as possibly present";
  }
}

TEST_F(SchedulerSafetyTest, MachineWithoutOwnHeartbeatsGetsNoTasksDespiteProbeAnswers) {
  auto scheduler = leader(1, 0);
  const auto fencing_token =
      scheduler->on_heartbeat(heartbeat("i-9", 1, 0), true, now).fencing_token;
  scheduler->on_heartbeat(heartbeat("i-9", 2, fencing_token), true, now + 0.1);
  for (int i = 1; i <= 8; ++i)
    scheduler->on_probe_answered("i-9", heartbeat("i-9", 2 + i, fencing_token), now + i);
  scheduler->on_job_record(record, 5, now + 8);
  scheduler->tick(now + 8.1);
  EXPECT_TRUE(scheduler->jobs().at("job-1").possible_placements.empty())
      << "probe answers do not renew the machine's lease";
  scheduler->on_heartbeat(heartbeat("i-9", 20, fencing_token), true, now + 8.2);
  scheduler->request_round();
  scheduler->tick(now + 8.3);
  EXPECT_FALSE(scheduler->jobs().at("job-1").possible_placements.empty());
}

TEST_F(SchedulerSafetyTest, DuplicateAndOlderHeartbeatsAreNotAccepted) {
  auto scheduler = leader(1, 0);
  const auto fencing_token =
      scheduler->on_heartbeat(heartbeat("i-9", 5, 0), true, now).fencing_token;
  EXPECT_FALSE(scheduler->on_heartbeat(heartbeat("i-9", 5, 0), true, now + 1).accepted);
  EXPECT_FALSE(scheduler->on_heartbeat(heartbeat("i-9", 4, 0), true, now + 1).accepted);
  EXPECT_TRUE(scheduler->on_heartbeat(heartbeat("i-9", 6, fencing_token), true, now + 1).accepted);
}

TEST_F(SchedulerSafetyTest, DiscardsExitedAttemptOnlyOnceItsResultIsDurable) {
  record.spec.kind = JobKind::Array;
  record.started = true;
  auto scheduler = leader(2, 0);
  scheduler->on_job_record(record, 5, now);
  const TaskStatus done{{"job-1", 0}, 7, TaskState::Exited, ExitCause::Done};
  const auto fencing_token =
      scheduler->on_heartbeat(heartbeat("i-9", 1, 0, {done}), true, now).fencing_token;
  EXPECT_TRUE(scheduler->on_heartbeat(heartbeat("i-9", 2, fencing_token, {done}), true, now + 0.1)
                  .commands.empty());
  now += 5;
  commit_planned_writes(*scheduler);
  const auto answer =
      scheduler->on_heartbeat(heartbeat("i-9", 3, fencing_token, {done}), true, now);
  ASSERT_EQ(answer.commands.size(), 1u);
  EXPECT_EQ(answer.commands[0].type, CommandType::Discard);
}

TEST_F(SchedulerSafetyTest, LargeArrayRecordStaysWithinValueSizeLimit) {
  record.spec.kind = JobKind::Array;
  record.spec.tasks = 100000;
  record.started = true;
  auto scheduler = leader(2, 0);
  scheduler->on_job_record(record, 5, now);
  std::vector<TaskStatus> done;
  for (uint32_t t = 0; t < 100000; t += 20)
    done.push_back({{"job-1", t}, 7, TaskState::Exited, ExitCause::Done});
  const auto fencing_token =
      scheduler->on_heartbeat(heartbeat("i-9", 1, 0), true, now).fencing_token;
  scheduler->on_heartbeat(heartbeat("i-9", 2, fencing_token, done), true, now);
  now += 5;
  const auto writes = scheduler->plan_writes(now, 20);
  ASSERT_EQ(writes.size(), 1u);
  EXPECT_LT(wire::encode_job(*writes[0].record).size(), settings.state_value_kb * 1024);
  scheduler->on_write_answered(writes[0], true, 600, now);
  EXPECT_TRUE(scheduler->plan_writes(now + 5, 20).empty())
      << "results that exceed the record's capacity are not planned again";
}

TEST(ConcurrencyLimit, AdaptsToMeasuredLatency) {
  ConcurrencyLimit limit(10, 200);
  auto complete_requests = [&](double seconds) {
    int entered = 0;
    while (limit.try_acquire()) ++entered;
    for (int i = 0; i < entered; ++i) limit.release(seconds);
  };
  for (int i = 0; i < 50; ++i) complete_requests(0.01);
  const double fast_limit = limit.limit();
  for (int i = 0; i < 20; ++i) complete_requests(2);
  EXPECT_LT(limit.limit(), fast_limit / 2);
  EXPECT_GE(limit.limit(), 10);
  for (int i = 0; i < 50; ++i) complete_requests(0.01);
  EXPECT_GT(limit.limit(), fast_limit / 2);
}

TEST(AnswerGracePeriod, EndsBeforeCancelTimeout) {
  // Guards against tasks of cancelled jobs that outlive the cancel timeout: a leader in a
  // partitioned zone answers workers for one lease past the end of its own, and their leases last
  // one more.
  EXPECT_TRUE(testing::check_property(
      "the answer grace period ends before the cancel timeout",
      [] {
        Settings settings;
        settings.lease_s = *rc::gen::inRange(2, 60);
        settings.cancel_s = settings.lease_s * *rc::gen::inRange(13, 60) / 10.0;
        RC_ASSERT(settings.answer_grace_s() > 0);
        RC_ASSERT(settings.answer_grace_s() + settings.lease_s < settings.cancel_s);
        LeaderElection::Config config;
        config.lease = settings.tuning.leader_lease * settings.lease_s;
        config.grace = settings.answer_grace_s();
        LeaderElection election(
            config, {[](auto, auto) {}, [](auto, auto) {}, [](auto) {}, [](auto, auto) {}});
        election.tick(0, true, false, 0);
        election.tick(1, true, false, 0);
        election.granted(1, 1, 7, 1);
        election.set_records_current_at(1);
        election.elected(1, 1, true, 1);
        RC_ASSERT(election.may_answer(1));
        // The leader's lease is renewed, but it cannot read cancellations.
        election.renewed(50, 7, 50, true, false);
        RC_ASSERT(election.may_answer(0.9 + settings.answer_grace_s()));
        RC_ASSERT(!election.may_answer(1 + settings.answer_grace_s()));
        election.set_records_current_at(50);
        RC_ASSERT(election.may_answer(50));
      },
      200));
}

}  // namespace
}  // namespace sumacquay
