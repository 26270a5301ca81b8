// Gangs whose tasks have to fetch their image for longer than a task waits for the others, in
// virtual time.
#include <gtest/gtest.h>

#include <string>

#include "simulation/simulation.h"

namespace sumacquay {
namespace {

using simulation::kOpenTeam;
using simulation::Simulation;
using simulation::SimulationOptions;

constexpr uint64_t kSeeds = 8;
constexpr const char* kImage = "img-gang";
/// 27 to 54 s, depending on the machine.
constexpr double kImageGb = 36;
/// How long a gang may wait beside room for it.
constexpr Seconds kMaxWait = 90;
/// Longest time until a machine that was lost has been replaced by a new one.
constexpr Seconds kMaxReplacement = 25;
/// Time until the first leader has placed a gang.
constexpr Seconds kElectionTime = 15;

/// A fleet that the gang of `gang_spec` needs as a whole: the cloud has no more machines.
SimulationOptions four_machines() {
  SimulationOptions options;
  options.machines = 4;
  options.max_machines = 4;
  options.declared_boot_s = 60;  // machines that wait for a lost one to be replaced stay
  options.fetch_gb_per_s = 1;
  options.gang_wait_s = 10;
  options.min_task_s = 300;  // longer than a test
  options.max_task_s = 300;
  return options;
}

/// A gang of four tasks that take a machine each.
JobSpec gang_spec() {
  JobSpec spec;
  spec.kind = JobKind::Gang;
  spec.priority = Priority::High;
  spec.tasks = 4;
  spec.team = kOpenTeam;
  spec.request = {16, 4, 64};
  spec.image = kImage;
  spec.image_gb = kImageGb;
  return spec;
}

struct GangStart : ::testing::TestWithParam<uint64_t> {
  void expect_no_violations() const {
    EXPECT_EQ(simulation.checker().violations(), std::vector<std::string>{});
  }
  bool runs_within(const std::string& job, Seconds timeout) {
    return simulation.run_until([&] { return simulation.all_run(job); }, timeout);
  }
  /// Runs until as many tasks of the job as given are in the state.
  bool reaches(const std::string& job, TaskState state, size_t tasks, Seconds timeout) {
    return simulation.run_until(
        [&] { return simulation.machines_with(job, state).size() >= tasks; }, timeout);
  }

  Simulation simulation{GetParam(), four_machines()};
};

INSTANTIATE_TEST_SUITE_P(Seeds, GangStart, ::testing::Range<uint64_t>(1, kSeeds + 1));

// Guards against a gang that is started again and again because one machine, which replaces a lost
// one, fetches the image for longer than the tasks on the other machines wait.
TEST_P(GangStart, RunsWhenOneMachineFetchesLongerThanOthersWait) {
  simulation.preload_image(kImage);
  const std::string job = simulation.users().submit(gang_spec());
  ASSERT_TRUE(runs_within(job, kElectionTime));
  simulation.faults().lose_machine(simulation.machines_running(job)[1]);
  ASSERT_TRUE(reaches(job, TaskState::Fetching, 1, kMaxReplacement));
  EXPECT_TRUE(runs_within(job, kMaxWait));
  expect_no_violations();
}

// Guards against the same when all machines fetch, some for longer than the others wait.
TEST_P(GangStart, RunsWhenMachinesFetchForDifferentTimes) {
  const std::string job = simulation.users().submit(gang_spec());
  EXPECT_TRUE(runs_within(job, kElectionTime + kMaxWait));
  expect_no_violations();
}

// Guards against a new leader that gives up the fetches of an earlier one.
TEST_P(GangStart, RunsWhenLeadersEndWhileMachinesFetch) {
  const std::string job = simulation.users().submit(gang_spec());
  ASSERT_TRUE(reaches(job, TaskState::Fetching, 4, kElectionTime));
  for (int failover = 0; failover < 3; ++failover) {
    simulation.run_for(12);
    simulation.faults().restart_controller(simulation.leader_or_first(), 1);
  }
  EXPECT_TRUE(runs_within(job, kMaxWait));
  expect_no_violations();
}

// Guards against fetches that go on for a gang that was cancelled after some of its tasks had
// exited.
TEST_P(GangStart, CancelledGangFetchesNothing) {
  const std::string job = simulation.users().submit(gang_spec());
  ASSERT_TRUE(reaches(job, TaskState::Fetching, 4, kElectionTime));
  simulation.run_for(simulation.random_between(5, 50));
  simulation.users().cancel(job);
  EXPECT_TRUE(
      simulation.run_until([&] { return simulation.machines_running(job).empty(); }, kMaxWait));
  simulation.run_for(1);
  EXPECT_TRUE(simulation.fetching_machines().empty());
  expect_no_violations();
}

// Guards against fetches that hold machines for a gang that was preempted.
TEST_P(GangStart, PreemptedGangFetchesNothing) {
  const std::string job = simulation.users().submit(gang_spec());
  ASSERT_TRUE(reaches(job, TaskState::Fetching, 4, kElectionTime));
  simulation.run_for(simulation.random_between(5, 20));
  JobSpec urgent = gang_spec();
  urgent.kind = JobKind::Array;
  urgent.priority = Priority::Production;
  urgent.image = "img-urgent";
  urgent.image_gb = 0;
  const std::string preempting = simulation.users().submit(urgent);
  EXPECT_TRUE(runs_within(preempting, kMaxWait));
  EXPECT_TRUE(simulation.machines_running(job).empty());
  EXPECT_TRUE(simulation.fetching_machines().empty());
  expect_no_violations();
}

// Guards against fetches that are given up, and so start anew, because another machine is lost, and
// against starts in a second zone while a fetch of a gang of one zone goes on in the first.
TEST_P(GangStart, RunsWhenMachineIsLostWhileOthersFetch) {
  struct Case {
    const char* description;
    uint32_t tasks;
    bool one_zone;
    bool spread;
    size_t lost_machine;
  };
  for (const Case& gang :
       {Case{"any zone", 4, false, false, 2}, Case{"one zone", 2, true, false, 0},
        Case{"spread over zones", 4, false, true, 0}}) {
    SCOPED_TRACE(gang.description);
    Simulation deployment(GetParam(), four_machines());
    JobSpec spec = gang_spec();
    spec.tasks = gang.tasks;
    spec.one_zone = gang.one_zone;
    spec.spread = gang.spread;
    const std::string job = deployment.users().submit(spec);
    ASSERT_TRUE(deployment.run_until(
        [&] { return deployment.machines_with(job, TaskState::Fetching).size() == gang.tasks; },
        kElectionTime));
    deployment.run_for(deployment.random_between(10, 25));
    deployment.faults().lose_machine(deployment.machines_running(job)[gang.lost_machine]);
    EXPECT_TRUE(
        deployment.run_until([&] { return deployment.all_run(job); }, kMaxReplacement + kMaxWait));
    EXPECT_EQ(deployment.checker().violations(), std::vector<std::string>{});
  }
}

// Gangs and images among all other jobs and faults. The checker lets no gang wait for longer than
// 90 s beside room for it.
TEST(GangStartFaults, InvariantsHoldAndGangsRunOnceFaultsEnd) {
  constexpr uint64_t kFaultSeeds = 40;
  size_t incomplete_exits = 0;
  size_t starts = 0;
  for (uint64_t seed = 1; seed <= kFaultSeeds; ++seed) {
    SimulationOptions options;
    options.fetch_gb_per_s = 1;
    options.gang_wait_s = 10;
    options.declared_boot_s = seed % 2 ? 5 : 60;
    Simulation simulation(seed, options);
    simulation.run(300, 350);
    EXPECT_EQ(simulation.checker().violations(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(simulation.unfinished_job_count(), 0u) << "seed " << seed;
    incomplete_exits += simulation.workers().gangs().incomplete_exits();
    starts += simulation.checker().starts();
  }
  // Runs with too few events would check little.
  EXPECT_GT(incomplete_exits, 50u);
  EXPECT_GT(starts, 2000u);
}

}  // namespace
}  // namespace sumacquay
