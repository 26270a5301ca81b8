#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/scheduler.h"
#include "leadership/leader_election.h"
#include "leadership/lease_delegation.h"
#include "simulation/environment.h"
#include "simulation/simulated_record_cache.h"
#include "simulation/state_channel.h"

namespace sumacquay::simulation {

class Cloud;
class CommandChannel;
class Workers;

/// The parts of a deployment that a controller talks to, beside the other controllers.
struct ControllerLinks {
  StateChannel& state;
  CommandChannel& worker_commands;
  Cloud& cloud;
  Workers& workers;
};

enum class HeartbeatReplyStatus {
  Answered,    ///< by the leader or in its place
  NotLeading,  ///< the worker is to ask another controller
  Late,        ///< a late copy of a heartbeat
};
struct HeartbeatReply {
  HeartbeatReplyStatus status = HeartbeatReplyStatus::NotLeading;
  std::optional<size_t> leader;  ///< another controller that is thought to lead
  uint64_t fencing_token = 0;
  std::vector<Command> commands;
};

/// One process of a controller: the real LeaderElection, Scheduler, Delegate and Delegations with
/// the I/O of a node around them, in virtual time.
class ControllerProcess : public std::enable_shared_from_this<ControllerProcess> {
 public:
  /// Starts a process on the controller's host.
  static void start(Environment& environment, const ControllerLinks& links, size_t controller,
                    uint64_t nonce);
  ControllerProcess(Environment& environment, const ControllerLinks& links, size_t controller,
                    uint64_t nonce);

  void step();
  size_t controller() const { return controller_; }
  const SimulatedRecordCache& records() const { return records_; }
  /// Changes whenever the process begins or ceases to lead.
  uint64_t generation() const { return generation_; }
  /// May start tasks and write records.
  bool leads() const;
  bool may_answer() const;
  uint64_t term() const { return election_->term(); }

  /// Brings the copy of the records up to date; `done(process, fresh)`.
  using ReadDone = std::function<void(ControllerProcess&, bool fresh)>;
  void read_records(ReadDone done = nullptr);
  /// A job's record that this process has written on behalf of a user.
  void wrote_job(const JobRecord& record, uint64_t version);
  /// Reads how a job ended that the copy doesn't hold; `done(process, answered)`: whether it is
  /// known now whether the job is over.
  void read_finished(const std::string& id, ReadDone done);
  void served_by_state() { served_at_ = env_.now(); }

  /// The answer to a worker that asked this controller itself: also as the leader's delegate.
  HeartbeatReply answer_worker_heartbeat(const WorkerHeartbeat& heartbeat);
  /// The answer to a late copy, which nobody waits for.
  HeartbeatReply answer_copy(const WorkerHeartbeat& heartbeat);

  // Answers to what the leader ordered. Dropped if it has ceased to lead since.
  void on_commands_answered(uint64_t generation, const std::string& machine,
                            const std::optional<WorkerHeartbeat>& heartbeat, bool executed);
  void on_probe_answered(uint64_t generation, const std::string& machine,
                         const std::optional<WorkerHeartbeat>& heartbeat);
  void on_scale_out_answered(uint64_t generation, const ScaleOut& rent,
                             const std::vector<std::string>& machines);
  void on_scale_in_answered(uint64_t generation, const ScaleIn& release, bool ok);

 private:
  /// Whom the other controllers' heartbeats name.
  struct KnownLeader {
    size_t controller = 0;
    uint64_t term = 0;
    Seconds heard_at = 0;
  };

  const ControllerHost& host() const { return env_.controllers[controller_]; }
  const Settings& settings() const { return host().settings; }
  void schedule(Seconds delay, ControllerHosts::Event event);
  bool current(uint64_t generation) const { return generation == generation_ && scheduler_; }

  void perform(const Action& action);
  void carry_out(const SendCommands& worker_commands);
  void carry_out(const Probe& probe);
  void carry_out(const ScaleOut& rent);
  void carry_out(const ScaleIn& release);

  // LeaderElection.
  LeaderElection::Effects election_effects();
  void grant(LeaderElection::Campaign campaign, Seconds lease);
  void renew(uint64_t lease);
  void revoke(uint64_t lease);
  void elect(LeaderElection::Campaign campaign, uint64_t lease);
  void read_earlier_writes(LeaderElection::Campaign campaign, uint64_t term, Seconds end);
  void election_state_changed(LeaderElection::State from, LeaderElection::State to);
  void start_leading();
  void stop_leading();
  void resign_if_isolated_from_workers();

  // Records.
  void records_read(const StateReply& reply, Seconds asked_at);
  void leader_record_changed();
  void job_record_changed(const std::string& id);
  void all_job_records_changed();
  /// The scheduler reads no records: it is told of finished jobs as far as others depend on them.
  void report_finished_dependencies();
  void read_unknown_dependencies();
  void write_records();
  void dispatch();
  void records_written(const std::vector<RecordWrite>& writes, const StateReply& reply);
  void apply_written(const RecordWrite& write, uint64_t revision);

  // Heartbeats.
  wire::PeerHeartbeat own_peer_heartbeat() const;
  void send_peer_heartbeats();
  void send_peer_heartbeat(size_t peer);
  wire::PeerHeartbeat answer_peer_heartbeat(size_t from, const wire::PeerHeartbeat& heartbeat);
  void peer_heartbeat_answered(size_t peer, const wire::PeerHeartbeat& answer, Seconds asked_at);
  void hear(const wire::PeerHeartbeat& heartbeat);

  // Reports.
  std::optional<HeartbeatReply> answer_as_delegate(const WorkerHeartbeat& heartbeat);
  HeartbeatReply answer_as_leader(const WorkerHeartbeat& heartbeat);
  HeartbeatReply redirect() const;
  /// Adds the answer to the digest of decisions.
  HeartbeatReply digested(const WorkerHeartbeat& heartbeat, HeartbeatReply reply);

  Environment& env_;
  ControllerLinks links_;
  const size_t controller_;
  const uint64_t nonce_;
  SimulatedRecordCache records_;
  std::unique_ptr<LeaderElection> election_;
  std::unique_ptr<Scheduler> scheduler_;  ///< while this process leads
  std::unique_ptr<DelegatedResponder> delegated_responder_;
  uint64_t generation_ = 0;
  std::map<size_t, uint64_t> peer_terms_;  ///< the terms that the others follow
  bool writing_ = false;                   ///< a transaction of the leader is under way
  bool reading_ = false;                   ///< the regular read of the records is under way
  bool reading_dependency_ = false;
  std::string dependency_read_;  ///< the last one: they are read in turn
  bool revoked_ = false;         ///< the lease of an earlier process on this host was revoked
  Seconds next_read_ = 0, next_peer_heartbeat_ = 0, served_at_ = 0;
  std::optional<KnownLeader> known_leader_;
};

/// The term of the leader that gave out a fencing token.
uint64_t term_of_fencing_token(uint64_t fencing_token);

}  // namespace sumacquay::simulation
