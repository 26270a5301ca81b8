#pragma once
#include <cstdint>
#include <random>

namespace sumacquay::simulation {

/// The only source of randomness in a simulation: runs with the same seed are identical.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  bool chance(double probability);
  double between(double min, double max);
  /// A number below `count`.
  uint64_t below(uint64_t count);

 private:
  std::mt19937_64 engine_;
};

}  // namespace sumacquay::simulation
