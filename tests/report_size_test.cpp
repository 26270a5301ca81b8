// Machines with so many tasks that messages about them approach the protocol's limit on bodies, in
// virtual time. Workers and controllers refuse what is beyond it.
#include <gtest/gtest.h>

#include <string>

#include "simulation/simulation.h"

namespace sumacquay {
namespace {

using simulation::kOpenTeam;
using simulation::Simulation;
using simulation::SimulationOptions;

constexpr uint64_t kSeeds = 4;
/// Time until the first leader has placed a job.
constexpr Seconds kElectionTime = 15;
/// Time in which the array of `small_tasks` has to end: several times what its tasks take.
constexpr Seconds kMaxArrayTime = 120;
/// The fleet of these tests holds all tasks at once by CPUs and memory.
constexpr uint32_t kArrayTasks = 4000;

/// A fleet that cannot grow.
SimulationOptions four_machines() {
  SimulationOptions options;
  options.machines = 4;
  options.max_machines = 4;
  options.declared_boot_s = 60;
  options.min_task_s = 8;
  options.max_task_s = 12;
  return options;
}

JobSpec small_tasks() {
  JobSpec spec;
  spec.kind = JobKind::Array;
  spec.priority = Priority::Low;
  spec.tasks = kArrayTasks;
  spec.team = kOpenTeam;
  spec.request = {0.002, 0, 0.005};
  spec.image = "img";
  return spec;
}

JobSpec service(uint32_t replicas) {
  JobSpec spec;
  spec.kind = JobKind::Service;
  spec.priority = Priority::Production;
  spec.tasks = replicas;
  spec.team = kOpenTeam;
  spec.request = {2, 1, 4};
  spec.image = "img";
  return spec;
}

struct SmallTasks : ::testing::TestWithParam<uint64_t> {
  /// Starts a service with replicas on each machine, beside which the array runs.
  void start_service() {
    service_job = simulation.users().submit(service(12));
    ASSERT_TRUE(
        simulation.run_until([&] { return simulation.all_run(service_job); }, kElectionTime));
  }
  bool ends_within(const std::string& job, Seconds timeout) {
    return simulation.run_until([&] { return simulation.completed(job); }, timeout);
  }
  void expect_no_message_refused() const {
    EXPECT_EQ(simulation.workers().heartbeats_refused(), 0u);
    EXPECT_EQ(simulation.workers().answers_refused(), 0u);
    EXPECT_EQ(simulation.command_channel().requests_refused(), 0u);
    EXPECT_EQ(simulation.checker().violations(), std::vector<std::string>{});
  }

  Simulation simulation{GetParam(), four_machines()};
  std::string service_job;
};

INSTANTIATE_TEST_SUITE_P(Seeds, SmallTasks, ::testing::Range<uint64_t>(1, kSeeds + 1));

// Guards against more tasks on a machine than its worker can report: every controller refuses the
// report, and all tasks of the machine end with the worker's lease, again and again.
TEST_P(SmallTasks, RunToTheEndBesideServiceThatLosesNothing) {
  start_service();
  const size_t starts_before = simulation.checker().starts();
  const std::string array = simulation.users().submit(small_tasks());
  EXPECT_TRUE(ends_within(array, kMaxArrayTime));
  EXPECT_TRUE(simulation.all_run(service_job));
  EXPECT_EQ(simulation.workers().leases_lost(), 0u);
  EXPECT_EQ(simulation.checker().starts(), starts_before + kArrayTasks) << "each task starts once";
  expect_no_message_refused();
}

}  // namespace
}  // namespace sumacquay
