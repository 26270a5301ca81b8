#include "simulation/random.h"

namespace sumacquay::simulation {

bool Random::chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(engine_) < probability;
}

double Random::between(double min, double max) {
  return std::uniform_real_distribution<double>(min, max)(engine_);
}

uint64_t Random::below(uint64_t count) {
  return engine_() % count;
}

}  // namespace sumacquay::simulation
