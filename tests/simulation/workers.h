#pragma once
#include <string>
#include <vector>

#include "simulation/controller_process.h"
#include "simulation/environment.h"
#include "simulation/gangs.h"

namespace sumacquay::simulation {

/// When late duplicates of heartbeats are delivered.
enum class DuplicateDelivery {
  AfterDelay,      ///< to all controllers, after a random delay
  OnLeaderChange,  ///< to all controllers, when the next leader takes over
};

/// The workers on all machines: they run tasks and send heartbeats to the controllers.
class Workers {
 public:
  explicit Workers(Environment& environment) : env_(environment), gangs_(environment) {}

  void step();
  /// The worker has seen a fencing token, in a reply, a command or a probe.
  void advance_fencing_token(SimulatedMachine& machine, uint64_t seen);
  /// Executes commands; `command_sent_at`: when the controller sent them.
  void execute(SimulatedMachine& machine, const std::vector<Command>& commands,
               Seconds command_sent_at);
  /// Delivers the duplicates kept for the next leader, which has just taken over.
  void send_kept_duplicates();
  void on_delegate_reply() { ++delegate_replies_; }

  void duplicate_heartbeats(double fraction, Seconds span, DuplicateDelivery delivery);
  /// Half of the heartbeats are delayed, so that commands, their answers and probes overtake them.
  void delay_heartbeats(Seconds span) { heartbeat_delay_.activate_until(env_.now() + span); }
  void end_faults();

  size_t delegate_replies() const { return delegate_replies_; }
  /// Leases that have expired, with all tasks of their machines: one entry each, the machine.
  const std::vector<std::string>& leases_lost() const { return leases_lost_; }
  /// Heartbeats that a controller has refused for their size, and answers that a worker has.
  size_t heartbeats_refused() const { return heartbeats_refused_; }
  size_t answers_refused() const { return answers_refused_; }
  const Gangs& gangs() const { return gangs_; }
  size_t duplicates_received() const { return duplicates_received_; }
  /// Duplicates received by a leader of a newer term than the one in which they were sent.
  size_t duplicates_received_by_new_leader() const { return duplicates_received_by_new_leader_; }

 private:
  struct HeartbeatDuplicate {
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
  void fetch_images(SimulatedMachine& machine);
  void run_task(SimulatedMachine& machine, const TaskKey& key, MachineTask& task);
  void begin_task(SimulatedMachine& machine, const TaskKey& key, MachineTask& task);
  void finish_task(const TaskKey& key, MachineTask& task);
  void start_task(SimulatedMachine& machine, const Command& command, Seconds command_sent_at);
  void send_heartbeat(SimulatedMachine& machine);
  void maybe_duplicate(const WorkerHeartbeat& heartbeat);
  void send_duplicate(const HeartbeatDuplicate& duplicate);
  void receive_duplicate(ControllerProcess& process, const HeartbeatDuplicate& duplicate);
  void answer(ControllerProcess& process, const WorkerHeartbeat& heartbeat, Seconds sent_at);
  void receive_reply(const ReplyDelivery& delivery);
  void follow_redirect(SimulatedMachine& machine, const ReplyDelivery& delivery);
  void switch_to_next_controller(SimulatedMachine& machine);

  Environment& env_;
  Gangs gangs_;
  Fault duplication_, heartbeat_delay_;
  double duplication_fraction_ = 0;
  DuplicateDelivery duplicate_delivery_ = DuplicateDelivery::AfterDelay;
  std::vector<HeartbeatDuplicate> kept_duplicates_;
  std::vector<std::string> leases_lost_;
  size_t heartbeats_refused_ = 0, answers_refused_ = 0;
  size_t delegate_replies_ = 0, duplicates_received_ = 0, duplicates_received_by_new_leader_ = 0;
};

}  // namespace sumacquay::simulation
