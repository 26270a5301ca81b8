// Digests of all actions of the controllers and their times, for fixed seeds: a change that
// preserves the behaviour leaves every digest unchanged.
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <string>

#include "decision_scenarios.h"

namespace sumacquay {
namespace {

std::map<std::string, std::string> stored_digests() {
  std::ifstream file(SUMACQUAY_TEST_DATA "/decision_digests.txt");
  std::map<std::string, std::string> digests;
  std::string name;
  std::string seed;
  std::string digest;
  while (file >> name >> seed >> digest) {
    name += ' ';
    name += seed;
    digests[name] = digest;
  }
  return digests;
}

TEST(DecisionDigests, MatchStoredDigests) {
  std::map<std::string, std::string> digests;
  for (const auto& scenario : testing::decision_scenarios())
    digests[scenario.name + " " + std::to_string(scenario.seed)] =
        testing::decision_digest(scenario);
  EXPECT_EQ(digests, stored_digests());
}

}  // namespace
}  // namespace sumacquay
