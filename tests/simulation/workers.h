#pragma once
#include <string>
#include <vector>

#include "simulation/controller_process.h"
#include "simulation/environment.h"

namespace sumacquay::simulation {

/// When late duplicates of heartbeats are delivered.
enum class CopyDelivery {
  Later,             ///< to all controllers, after a random delay
  ToNextLeaderOnce,  ///< to all controllers, when the next leader takes over
};

/// The workers on all machines: they run tasks and send heartbeats to the controllers.
class Workers {
 public:
  explicit Workers(Environment& environment) : env_(environment) {}

  void step();
  /// Executes commands; `ordered_at`: when the controller sent them.
  void execute(SimulatedMachine& machine, const std::vector<Command>& commands, Seconds ordered_at);
  /// Delivers the duplicates kept for the next leader, which has just taken over.
  void send_kept_copies();
  void answered_by_delegate() { ++delegated_; }

  void copy_heartbeats(double share, Seconds span, CopyDelivery delivery);
  /// Half of the heartbeats are delayed, so that commands, their answers and probes overtake them.
  void slow_heartbeats(Seconds span) { slow_.last_until(env_.now() + span); }
  void end_faults();

  size_t delegated() const { return delegated_; }
  size_t copies_heard() const { return copies_heard_; }
  /// Duplicates received by a leader of a newer term than the one in which they were sent.
  size_t copies_heard_by_new_leader() const { return copies_heard_by_new_leader_; }

 private:
  struct HeartbeatCopy {
    WorkerHeartbeat heartbeat;
    uint64_t term_at_sending = 0;
  };
  /// A reply in flight to a worker.
  struct ReplyDelivery {
    size_t controller = 0;
    WorkerHeartbeat heartbeat;
    HeartbeatReply reply;
    Seconds sent_at = 0;     ///< when the heartbeat was sent
    Seconds replied_at = 0;  ///< when the reply was sent
  };

  void step(SimulatedMachine& machine);
  void run_task(SimulatedMachine& machine, const TaskKey& key, MachineTask& task);
  void finish_task(const TaskKey& key, MachineTask& task);
  void start_task(SimulatedMachine& machine, const Command& command, Seconds ordered_at);
  void send_heartbeat(SimulatedMachine& machine);
  void maybe_copy(const WorkerHeartbeat& heartbeat);
  void send_copy(const HeartbeatCopy& copy);
  void hear_copy(ControllerProcess& process, const HeartbeatCopy& copy);
  void answer(ControllerProcess& process, const WorkerHeartbeat& heartbeat, Seconds sent_at);
  void hear_reply(const ReplyDelivery& delivery);
  void turn_to(SimulatedMachine& machine, const ReplyDelivery& delivery);
  void turn_to_next(SimulatedMachine& machine);

  Environment& env_;
  Fault copying_, slow_;
  double copy_share_ = 0;
  CopyDelivery copy_delivery_ = CopyDelivery::Later;
  std::vector<HeartbeatCopy> kept_copies_;
  size_t delegated_ = 0, copies_heard_ = 0, copies_heard_by_new_leader_ = 0;
};

}  // namespace sumacquay::simulation
