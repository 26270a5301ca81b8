#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/report.h"
#include "world/fault.h"
#include "world/random.h"

namespace sumacquay::simulation {

struct MachineTask {
  uint64_t attempt = 0;
  TaskState state = TaskState::Fetching;
  ExitCause cause = ExitCause::None;
  Seconds next_change = 0;

  bool present() const { return state != TaskState::Exited; }
};

struct MachineFaults {
  Fault hung;         ///< does nothing
  Fault cut;          ///< exchanges nothing with any controller
  Fault deaf;         ///< nothing reaches it
  Fault mute;         ///< its reports reach nobody
  Fault orders_held;  ///< orders to it, or their answers, are held up
};

/// A machine and the worker on it.
struct SimulatedMachine {
  std::string id, zone;
  bool spot = false;
  bool sick = false;  ///< fails everything that it starts
  MachineFaults faults;
  Seconds up_at = 0, session_began = 0;
  uint64_t session = 1, seq = 0, token = 0;

  size_t controller = 0;  ///< the one that it reports to
  Seconds next_report = 0;
  std::optional<Seconds> report_sent;      ///< of the report that waits for its answer
  std::optional<Seconds> answered_report;  ///< when the last report with an answer was sent
  std::map<TaskKey, MachineTask> tasks;

  bool up(Seconds now) const { return now >= up_at; }
  WorkerReport report();
  /// Shows the worker a token; an older one changes nothing.
  void raise_token(uint64_t seen);
  /// Once a lease has passed without an answer, all tasks are gone and a new session begins.
  void expire_session(Seconds lease, Seconds now);
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
