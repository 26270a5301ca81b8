#pragma once
#include <asio.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulators/simulated_worker.h"

namespace sumacquay::simulators {

/// What a machine is rented as.
struct MachineKind {
  std::string type, zone;
  bool spot = false;
};

/// All simulated workers of a deployment, the gangs that span them, and what goes wrong with them.
class SimulatedFleet {
 public:
  /// `port`: of all workers, each on a loopback address of its own.
  SimulatedFleet(WorkerContext& context, unsigned short port);

  /// A machine whose worker is up; returns its name.
  std::string add(const MachineKind& kind, const std::string& id);
  /// The machine is gone with all that is on it.
  void remove(const std::string& id);
  bool contains(const std::string& id) const { return workers_.contains(id); }
  size_t size() const { return workers_.size(); }
  std::vector<std::string> ids() const;
  /// The name of the next machine: names are in the order of creation.
  std::string next_id();
  std::string address_of(const std::string& id) const;

  /// The workers of a zone exchange nothing with any controller until they are let back.
  void set_zone_silent(const std::string& zone, bool silent);

 private:
  struct Gang {
    std::map<TaskKey, std::string> ready;  ///< tasks that have their images, and their machines
    bool running = false;
    bool broken = false;
  };
  using GangAttempt = std::pair<std::string, uint64_t>;  ///< the job and its attempt

  void on_gang_task_ready(const std::string& machine, const TaskKey& key, uint64_t attempt);
  void on_gang_task_gone(const TaskKey& key, uint64_t attempt);
  void run_gang(const GangAttempt& attempt, Seconds run_s);
  void end_gang(const GangAttempt& attempt);
  SimulatedWorker* find(const std::string& machine);

  WorkerContext& context_;
  unsigned short port_;
  std::map<std::string, std::unique_ptr<SimulatedWorker>> workers_;
  std::map<GangAttempt, Gang> gangs_;
  uint64_t created_ = 0;
};

}  // namespace sumacquay::simulators
