#pragma once
#include <functional>
#include <optional>

#include "dispatch/actions.h"
#include "simulation/environment.h"
#include "simulation/workers.h"

namespace sumacquay::simulation {

/// Delivers commands and probes from the leader to machines, and their answers back.
class CommandChannel {
 public:
  CommandChannel(Environment& environment, Workers& workers)
      : env_(environment), workers_(workers) {}

  void send(ControllerProcess& sender, const SendCommands& worker_commands);
  void send(ControllerProcess& sender, const Probe& probe);

  /// Command batches that arrived late, and the number of them that were executed.
  size_t late_commands() const { return late_commands_; }
  size_t late_commands_executed() const { return late_commands_executed_; }
  /// Copies of executed command batches that arrived, and the number of them that the worker did
  /// not reject for their fencing token or agent epoch.
  size_t copies() const { return copies_; }
  size_t copies_accepted() const { return copies_accepted_; }
  /// Command batches that a worker has refused for their size.
  size_t requests_refused() const { return requests_refused_; }

 private:
  using Answer =
      std::function<void(Seconds delay, std::optional<WorkerHeartbeat> heartbeat, bool executed)>;
  /// A batch of commands in flight to a machine.
  struct Delivery {
    SendCommands worker_commands;
    Seconds sent_at = 0;
    bool answer_lost = false;
    Answer answer;
  };
  /// The fate of one message, drawn from the faults on its path.
  struct MessageFate {
    Seconds delay = 0;
    bool lost = false, answer_lost = false;
  };
  MessageFate draw_fate(size_t controller, const SimulatedMachine* machine);
  Answer answer_once(ControllerProcess& sender, const std::string& machine);
  void deliver(const Delivery& delivery, Seconds delay);
  void arrive(const Delivery& delivery);
  void maybe_copy(const SendCommands& worker_commands);
  void deliver_copy(const SendCommands& worker_commands, Seconds delay);
  void arrive_copy(const SendCommands& worker_commands);
  bool can_reach(size_t controller, const SimulatedMachine* machine);
  void deliver_late(const Probe& probe);

  Environment& env_;
  Workers& workers_;
  size_t late_commands_ = 0, late_commands_executed_ = 0;
  size_t copies_ = 0, copies_accepted_ = 0;
  size_t requests_refused_ = 0;
};

}  // namespace sumacquay::simulation
