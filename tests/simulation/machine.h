#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "simulation/fault.h"
#include "simulation/image_store.h"
#include "simulation/random.h"
#include "simulators/worker_state.h"

namespace sumacquay::simulation {

using MachineTask = simulators::WorkerTask;

struct MachineFaults {
  Fault hung;            ///< the worker makes no progress
  Fault partition;       ///< partitioned from all controllers
  Fault inbound_loss;    ///< no message reaches the worker
  Fault heartbeat_loss;  ///< the worker's heartbeats are lost
  Fault command_delay;   ///< commands are delayed, or their answers are lost
};

/// A machine and the worker on it.
struct SimulatedMachine : simulators::WorkerState {
  bool fails_all_tasks = false;  ///< all tasks started on it fail
  MachineFaults faults;
  ImageStore images;
  Seconds up_at = 0;

  size_t controller = 0;  ///< receives the worker's heartbeats
  Seconds next_heartbeat = 0;
  std::optional<Seconds> heartbeat_sent;  ///< when the heartbeat in flight was sent

  bool up(Seconds now) const { return now >= up_at; }
};

/// All existing machines, by id.
class Fleet {
 public:
  using Machines = std::map<std::string, SimulatedMachine>;

  SimulatedMachine* find(const std::string& id);
  const SimulatedMachine& at(const std::string& id) const { return machines_.at(id); }
  /// Without `zone`, the zones are used in turn. Returns the machine's id.
  std::string add(Seconds up_at, const std::optional<std::string>& zone, bool spot,
                  size_t controller);
  void remove(const std::string& id) { machines_.erase(id); }
  size_t size() const { return machines_.size(); }
  Machines& machines() { return machines_; }
  const Machines& machines() const { return machines_; }
  std::vector<std::string> running(Seconds now) const;
  /// Machines with a task of the job in this state, one entry for each such task.
  std::vector<std::string> machines_with(const std::string& job, TaskState state) const;
  /// The number of the job's tasks that run.
  size_t running_tasks(const std::string& job) const;

  /// Calls `visit(machine, key)` for each task present on a machine.
  template <class Visit>
  void for_each_present_task(Visit&& visit) const {
    for (const auto& [id, machine] : machines_)
      for (const auto& [attempt_id, task] : machine.tasks)
        if (task.active()) visit(machine, attempt_id.task);
  }

 private:
  Machines machines_;
  int created_ = 0;
};

}  // namespace sumacquay::simulation
