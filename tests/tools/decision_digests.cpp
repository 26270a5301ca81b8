// Prints the digests of all decision scenarios in the format of tests/data/decision_digests.txt.
#include <spdlog/spdlog.h>

#include <iostream>

#include "decision_scenarios.h"

int main() {
  spdlog::set_level(spdlog::level::off);
  for (const auto& scenario : sumacquay::testing::decision_scenarios())
    std::cout << scenario.name << " " << scenario.seed << " "
              << sumacquay::testing::decision_digest(scenario) << "\n";
  return 0;
}
