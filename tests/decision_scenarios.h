#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace sumacquay::testing {

/// A scripted deployment in virtual time, and a seed for it.
struct DecisionScenario {
  std::string name;
  uint64_t seed = 0;
};

/// The scenarios with digests in tests/data/decision_digests.txt, in the order of that file.
std::vector<DecisionScenario> decision_scenarios();

/// Runs the scenario and returns the digest of all decisions.
std::string decision_digest(const DecisionScenario& scenario);

}  // namespace sumacquay::testing
