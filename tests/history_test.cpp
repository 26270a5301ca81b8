// Generated histories in virtual time: controllers that end, stand still or are cut off, workers
// that hang, are cut off or fail tasks, a state service with troubles of its own, and messages that
// are lost, doubled and late.
#include <gtest/gtest.h>

#include "world.h"

namespace sumacquay {
namespace {

TEST(Histories, KeepTheRulesAndFinishTheWorkOnceTroublesAreOver) {
  size_t starts = 0, jobs = 0, delegated = 0, terms = 0, late_reports = 0, late_writes = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    World world(seed);
    world.run(300, 250);
    EXPECT_EQ(world.broken(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(world.unfinished(), 0u) << "seed " << seed;
    starts += world.starts();
    delegated += world.delegated();
    jobs += world.submitted();
    terms += world.terms();
    late_reports += world.late_reports_to_new_leader();
    late_writes += world.late_writes_tried();
    if (HasFailure()) break;
  }
  // A history in which little happens checks little.
  EXPECT_GT(jobs, 1000u);
  EXPECT_GT(starts, 3000u);
  EXPECT_GT(delegated, 150u);
  EXPECT_GT(terms, 600u);
  EXPECT_GT(late_reports, 150u);
  EXPECT_GT(late_writes, 150u);
}

}  // namespace
}  // namespace sumacquay
