#pragma once
#include <asio.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulators/simulated_worker.h"

namespace sumacquay::simulators {

/// Type, zone and price class of a machine.
struct MachineOffering {
  std::string type, zone;
  bool spot = false;
};

/// The simulated workers of a deployment. It coordinates the gangs that span them and injects
/// faults.
class SimulatedFleet {
 public:
  /// All workers listen on `port`, each on its own loopback address.
  SimulatedFleet(WorkerContext& context, unsigned short port);

  /// Adds a machine with a running worker; returns its id.
  std::string add(const MachineOffering& offering, const std::string& id);
  /// Removes a machine with its worker and all its tasks.
  void remove(const std::string& id);
  bool contains(const std::string& id) const { return workers_.contains(id); }
  size_t size() const { return workers_.size(); }
  std::vector<std::string> ids() const;
  /// Allocates the id of the next machine. Ids sort in the order of creation.
  std::string next_id();
  std::string address_of(const std::string& id) const;

  /// Partitions the workers of a zone from all controllers, or ends the partition.
  void set_zone_partitioned(const std::string& zone, bool partitioned);

 private:
  /// An attempt of a gang.
  struct Gang {
    /// Machines of the tasks that have fetched their images.
    std::map<TaskKey, std::string> ready_tasks;
    bool running = false;
    bool ending = false;
  };
  using GangAttempt = std::pair<std::string, uint64_t>;  ///< job id and attempt

  void on_gang_task_ready(const std::string& machine, const TaskKey& key, uint64_t attempt);
  void on_gang_task_lost(const TaskKey& key, uint64_t attempt);
  void start_gang(const GangAttempt& attempt, Seconds run_s);
  void end_gang(const GangAttempt& attempt);
  SimulatedWorker* find(const std::string& machine);

  WorkerContext& context_;
  unsigned short port_;
  std::map<std::string, std::unique_ptr<SimulatedWorker>> workers_;
  std::map<GangAttempt, Gang> gangs_;
  uint64_t next_index_ = 0;
};

}  // namespace sumacquay::simulators
