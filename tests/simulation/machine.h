#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "simulation/fault.h"
#include "simulation/random.h"
#include "simulators/worker_state.h"

namespace sumacquay::simulation {

using MachineTask = simulators::WorkerTask;

struct MachineFaults {
  Fault hung;           ///< does nothing
  Fault cut;            ///< exchanges nothing with any controller
  Fault deaf;           ///< nothing reaches it
  Fault mute;           ///< its heartbeats reach nobody
  Fault commands_held;  ///< orders to it, or their answers, are held up
};

/// A machine and the worker on it.
struct SimulatedMachine : simulators::WorkerState {
  bool quarantined = false;  ///< fails everything that it starts
  MachineFaults faults;
  Seconds up_at = 0;

  size_t controller = 0;  ///< the one that it reports to
  Seconds next_heartbeat = 0;
  std::optional<Seconds> heartbeat_sent;  ///< of the heartbeat that waits for its answer

  bool up(Seconds now) const { return now >= up_at; }
};

/// All machines that exist, by name.
class Fleet {
 public:
  using Machines = std::map<std::string, SimulatedMachine>;

  SimulatedMachine* find(const std::string& id);
  const SimulatedMachine& at(const std::string& id) const { return machines_.at(id); }
  /// `zone`: none: the zones take turns. Returns the machine's name.
  std::string add(Seconds up_at, const std::optional<std::string>& zone, bool spot,
                  size_t controller);
  void remove(const std::string& id) { machines_.erase(id); }
  size_t size() const { return machines_.size(); }
  Machines& machines() { return machines_; }
  const Machines& machines() const { return machines_; }
  std::vector<std::string> up(Seconds now) const;

  /// Calls `visit(machine, key)` for each task that is on a machine.
  template <class Visit>
  void each_present(Visit&& visit) const {
    for (const auto& [id, machine] : machines_)
      for (const auto& [key, task] : machine.tasks)
        if (task.present()) visit(machine, key);
  }

 private:
  Machines machines_;
  int created_ = 0;
};

}  // namespace sumacquay::simulation
