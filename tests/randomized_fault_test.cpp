// Randomized fault tests in virtual time: controllers that terminate, pause or are partitioned,
// workers that hang, are partitioned or fail tasks, faults of the key-value store, and messages
// that are lost, duplicated or delayed.
#include <gtest/gtest.h>

#include "simulation/simulation.h"

namespace sumacquay {
namespace {

using simulation::Simulation;
using simulation::SimulationOptions;

struct Totals {
  size_t starts = 0, jobs = 0, delegated = 0, terms = 0, late_heartbeats = 0, late_writes = 0;
  size_t pipelines_done = 0, pipelines_cancelled = 0, starts_of_dependents = 0;
  size_t inherited_cancellations = 0, answers_after_cancel = 0;
};

Totals run_seeds(uint64_t seed_count, SimulationOptions options) {
  Totals totals;
  for (uint64_t seed = 1; seed <= seed_count; ++seed) {
    // With a short boot time silent machines are released within seconds; with a long one they are
    // kept for the duration of a partition.
    options.nominal_boot_s = seed % 2 ? 5 : 60;
    Simulation simulation(seed, options);
    simulation.run(300, 250);
    EXPECT_EQ(simulation.checker().violations(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(simulation.unfinished(), 0u) << "seed " << seed;
    EXPECT_EQ(simulation.pipelines().stages_not_accepted(), 0u) << "seed " << seed;
    EXPECT_EQ(simulation.cancellations_not_recorded(), 0u) << "seed " << seed;
    // A controller that has not read the cancellation acts for at most one leader lease, plus the
    // time that its last read takes.
    EXPECT_LE(simulation.checker().ordered_after_cancel(), 3.5) << "seed " << seed;
    totals.starts += simulation.checker().starts();
    totals.delegated += simulation.workers().delegated();
    totals.jobs += simulation.submitted();
    totals.terms += simulation.checker().terms();
    totals.late_heartbeats += simulation.workers().copies_heard_by_new_leader();
    totals.late_writes += simulation.state().late_writes_tried();
    totals.pipelines_done += simulation.pipelines().done();
    totals.pipelines_cancelled += simulation.pipelines().cancelled_in_the_middle();
    totals.starts_of_dependents += simulation.checker().starts_of_dependents();
    totals.inherited_cancellations += simulation.checker().inherited_cancellations();
    totals.answers_after_cancel += simulation.checker().answers_after_cancel();
    if (::testing::Test::HasFailure()) break;
  }
  return totals;
}

TEST(RandomizedFaults, InvariantsHoldAndWorkFinishesOnceFaultsEnd) {
  const Totals totals = run_seeds(60, {});
  // Runs with too few events would check little.
  EXPECT_GT(totals.jobs, 1000u);
  EXPECT_GT(totals.starts, 3000u);
  EXPECT_GT(totals.delegated, 150u);
  EXPECT_GT(totals.terms, 600u);
  EXPECT_GT(totals.late_heartbeats, 150u);
  EXPECT_GT(totals.late_writes, 150u);
  EXPECT_GT(totals.pipelines_done, 100u);
  EXPECT_GT(totals.pipelines_cancelled, 50u);
  EXPECT_GT(totals.starts_of_dependents, 500u);
  EXPECT_GT(totals.inherited_cancellations, 100u);
  EXPECT_GT(totals.answers_after_cancel, 1000u);
}

TEST(RandomizedFaults, InvariantsHoldWithShortCancelTimeoutAndLongTasks) {
  SimulationOptions options;
  options.cancel_s = 16;  // one worker lease and three leader leases
  options.task_most = 40;
  options.controller_zones = {"east", "west", "west"};
  const Totals totals = run_seeds(40, options);
  EXPECT_GT(totals.jobs, 1000u);
  EXPECT_GT(totals.starts, 3000u);
  EXPECT_GT(totals.terms, 400u);
  EXPECT_GT(totals.pipelines_done, 60u);
  EXPECT_GT(totals.pipelines_cancelled, 40u);
  EXPECT_GT(totals.starts_of_dependents, 350u);
}

}  // namespace
}  // namespace sumacquay
