#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "simulation/environment.h"

namespace sumacquay::simulation {

/// The tasks of gangs on all machines, which find one another by their attempt number: they start
/// together once all of them wait, and exit when one of them is gone.
class Gangs {
 public:
  explicit Gangs(Environment& environment) : env_(environment) {}

  void step();
  /// How many tasks have exited because their gang was not complete in time.
  size_t incomplete_exits() const { return incomplete_exits_; }
  void on_incomplete_exit() { ++incomplete_exits_; }

 private:
  /// A job and the attempt number of its tasks.
  using GangId = std::pair<std::string, uint64_t>;
  struct Member {
    const SimulatedMachine* machine = nullptr;
    uint32_t number = 0;
    MachineTask* task = nullptr;
  };
  using Members = std::vector<Member>;

  std::map<GangId, Members> present_members();
  void start_if_all_wait(const GangId& id, const Members& members);
  void stop_if_member_gone(const GangId& id, const Members& members);

  Environment& env_;
  std::map<GangId, Seconds> noticed_at_;  ///< when the tasks of a gang that lost one notice it
  size_t incomplete_exits_ = 0;
};

}  // namespace sumacquay::simulation
