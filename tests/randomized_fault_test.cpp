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
  size_t starts = 0, jobs = 0, delegate_replies = 0, term_count = 0, duplicate_heartbeats = 0,
         late_writes = 0;
  size_t completed_pipelines = 0, partially_cancelled_pipelines = 0, starts_of_dependents = 0;
  size_t inherited_cancellations = 0, answers_after_cancel = 0;
};

Totals run_seeds(uint64_t seed_count, SimulationOptions options) {
  Totals totals;
  for (uint64_t seed = 1; seed <= seed_count; ++seed) {
    // With a short boot time silent machines are released within seconds; with a long one they are
    // kept for the duration of a partition.
    options.declared_boot_s = seed % 2 ? 5 : 60;
    Simulation simulation(seed, options);
    simulation.run(300, 250);
    EXPECT_EQ(simulation.checker().violations(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(simulation.unfinished_job_count(), 0u) << "seed " << seed;
    EXPECT_EQ(simulation.pipelines().unaccepted_stages(), 0u) << "seed " << seed;
    EXPECT_EQ(simulation.unrecorded_cancellations(), 0u) << "seed " << seed;
    // A controller that has not read the cancellation acts for at most one leader lease, plus the
    // time that its last read takes.
    EXPECT_LE(simulation.checker().max_start_delay_after_cancel(), 3.5) << "seed " << seed;
    totals.starts += simulation.checker().starts();
    totals.delegate_replies += simulation.workers().delegate_replies();
    totals.jobs += simulation.submitted_job_count();
    totals.term_count += simulation.checker().term_count();
    totals.duplicate_heartbeats += simulation.workers().duplicates_received_by_new_leader();
    totals.late_writes += simulation.store().late_writes_attempted();
    totals.completed_pipelines += simulation.pipelines().completed();
    totals.partially_cancelled_pipelines += simulation.pipelines().partially_cancelled();
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
  EXPECT_GT(totals.delegate_replies, 150u);
  EXPECT_GT(totals.term_count, 600u);
  EXPECT_GT(totals.duplicate_heartbeats, 150u);
  EXPECT_GT(totals.late_writes, 150u);
  EXPECT_GT(totals.completed_pipelines, 100u);
  EXPECT_GT(totals.partially_cancelled_pipelines, 50u);
  EXPECT_GT(totals.starts_of_dependents, 500u);
  EXPECT_GT(totals.inherited_cancellations, 100u);
  EXPECT_GT(totals.answers_after_cancel, 1000u);
}

TEST(RandomizedFaults, InvariantsHoldWithShortCancelTimeoutAndLongTasks) {
  SimulationOptions options;
  options.cancel_s = 16;  // one worker lease and three leader leases
  options.max_task_s = 40;
  options.controller_zones = {"east", "west", "west"};
  const Totals totals = run_seeds(40, options);
  EXPECT_GT(totals.jobs, 1000u);
  EXPECT_GT(totals.starts, 3000u);
  EXPECT_GT(totals.term_count, 400u);
  EXPECT_GT(totals.completed_pipelines, 60u);
  EXPECT_GT(totals.partially_cancelled_pipelines, 40u);
  EXPECT_GT(totals.starts_of_dependents, 350u);
}

}  // namespace
}  // namespace sumacquay
