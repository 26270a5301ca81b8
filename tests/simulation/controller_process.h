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
#include "simulation/store_channel.h"

namespace sumacquay::simulation {

class Cloud;
class CommandChannel;
class Workers;

/// The components that a controller communicates with, apart from the other controllers.
struct ControllerConnections {
  StoreChannel& store;
  CommandChannel& commands;
  Cloud& cloud;
  Workers& workers;
};

enum class HeartbeatReplyStatus {
  Answered,    ///< by the leader or its delegate
  NotLeading,  ///< the worker has to send its heartbeat to another controller
  Late,        ///< a stale or duplicate heartbeat
  TooLarge,    ///< refused: the heartbeat is beyond the limit on request bodies
};
struct HeartbeatReply {
  HeartbeatReplyStatus status = HeartbeatReplyStatus::NotLeading;
  std::optional<size_t> leader;  ///< the presumed leader, if another controller
  uint64_t fencing_token = 0;
  std::vector<Command> commands;
};

/// One process of a controller: the real LeaderElection, Scheduler, DelegatedResponder and
/// Delegations, with the node's I/O simulated in virtual time.
class ControllerProcess : public std::enable_shared_from_this<ControllerProcess> {
 public:
  /// Starts a process on the controller's host.
  static void start(Environment& environment, const ControllerConnections& connections,
                    size_t controller, uint64_t nonce);
  ControllerProcess(Environment& environment, const ControllerConnections& connections,
                    size_t controller, uint64_t nonce);

  void step();
  size_t controller() const { return controller_; }
  const SimulatedRecordCache& records() const { return records_; }
  /// Changes whenever the process becomes leader or loses leadership.
  uint64_t generation() const { return generation_; }
  /// Whether the process may start tasks and write records as the leader.
  bool leads() const;
  bool may_answer() const;
  uint64_t term() const { return election_->term(); }

  /// Updates the record cache. Calls `done(process, fresh)`; `fresh`: the read succeeded.
  using ReadDone = std::function<void(ControllerProcess&, bool fresh)>;
  void read_records(ReadDone done = nullptr);
  /// Applies a job's record that this process has written on behalf of a user.
  void on_job_written(const JobRecord& record, uint64_t version);
  /// Reads the outcome of a job that is not in the record cache. Calls `done(process, answered)`;
  /// `answered`: the store answered, either with the outcome or that there is none.
  void read_finished(const std::string& id, ReadDone done);
  void on_store_success() { last_store_success_at_ = env_.now(); }

  /// Answers a worker's heartbeat, as the leader, as its delegate, or with a redirect.
  HeartbeatReply answer_worker_heartbeat(const WorkerHeartbeat& heartbeat);
  /// Processes a late duplicate of a heartbeat; the answer is not delivered.
  HeartbeatReply answer_duplicate(const WorkerHeartbeat& heartbeat);

  // Answers to the leader's actions. Ignored if the process has lost leadership since then.
  void on_commands_answered(uint64_t generation, const std::string& machine,
                            const std::optional<WorkerHeartbeat>& heartbeat, bool executed);
  void on_probe_answered(uint64_t generation, const std::string& machine,
                         const std::optional<WorkerHeartbeat>& heartbeat);
  void on_scale_out_answered(uint64_t generation, const ScaleOut& scale_out,
                             const std::vector<std::string>& machines);
  void on_scale_in_answered(uint64_t generation, const ScaleIn& scale_in, bool ok);

 private:
  /// The leader according to the heartbeats of the other controllers.
  struct KnownLeader {
    size_t controller = 0;
    uint64_t term = 0;
    Seconds last_heartbeat_at = 0;
  };

  const ControllerHost& host() const { return env_.controllers[controller_]; }
  const Settings& settings() const { return host().settings; }
  void schedule(Seconds delay, ControllerHosts::Event event);
  bool is_current(uint64_t generation) const { return generation == generation_ && scheduler_; }

  void perform(const Action& action);
  void execute(const SendCommands& worker_commands);
  void execute(const Probe& probe);
  void execute(const ScaleOut& scale_out);
  void execute(const ScaleIn& scale_in);

  // LeaderElection.
  LeaderElection::Effects election_effects();
  void grant_lease(LeaderElection::Campaign campaign, Seconds lease);
  void renew_lease(uint64_t lease);
  void revoke_lease(uint64_t lease);
  void run_for_election(LeaderElection::Campaign campaign, uint64_t lease);
  void read_earlier_writes(LeaderElection::Campaign campaign, uint64_t term, Seconds end);
  void on_election_state_changed(LeaderElection::State from, LeaderElection::State to);
  void start_leading();
  void stop_leading();
  void resign_if_isolated_from_workers();

  // Records.
  void on_records_read(const StoreReply& reply, Seconds sent_at);
  void on_leader_record_changed();
  void on_job_record_changed(const std::string& id);
  void on_all_job_records_changed();
  /// Passes the outcomes of finished dependencies to the scheduler, which reads no records itself.
  void report_finished_dependencies();
  void read_unknown_dependencies();
  void write_records();
  void dispatch();
  void on_records_written(const std::vector<RecordWrite>& writes, const StoreReply& reply);
  void apply_written(const RecordWrite& write, uint64_t revision);

  // Peer heartbeats.
  wire::PeerHeartbeat own_peer_heartbeat() const;
  void send_peer_heartbeats();
  void send_peer_heartbeat(size_t peer);
  wire::PeerHeartbeat answer_peer_heartbeat(size_t from, const wire::PeerHeartbeat& heartbeat);
  void on_peer_heartbeat_answered(size_t peer, const wire::PeerHeartbeat& answer, Seconds sent_at);
  void process_peer_heartbeat(const wire::PeerHeartbeat& heartbeat);

  // Worker heartbeats.
  std::optional<HeartbeatReply> answer_as_delegate(const WorkerHeartbeat& heartbeat);
  HeartbeatReply answer_as_leader(const WorkerHeartbeat& heartbeat);
  HeartbeatReply redirect() const;
  /// Adds the answer to the digest of decisions.
  HeartbeatReply add_to_digest(const WorkerHeartbeat& heartbeat, HeartbeatReply reply);

  Environment& env_;
  ControllerConnections connections_;
  const size_t controller_;
  const uint64_t nonce_;
  SimulatedRecordCache records_;
  std::unique_ptr<LeaderElection> election_;
  std::unique_ptr<Scheduler> scheduler_;  ///< set while this process leads
  std::unique_ptr<DelegatedResponder> delegated_responder_;
  uint64_t generation_ = 0;
  std::map<size_t, uint64_t> peer_terms_;  ///< by peer: the term that it follows
  bool write_in_flight_ = false;           ///< a transaction of the leader is in flight
  bool read_in_flight_ = false;            ///< the periodic read of the records is in flight
  bool dependency_read_in_flight_ = false;
  std::string last_dependency_read_;  ///< id of the last one read; they are read round-robin
  /// The lease of an earlier process on this host has been revoked.
  bool earlier_lease_revoked_ = false;
  Seconds next_read_ = 0, next_peer_heartbeat_ = 0, last_store_success_at_ = 0;
  std::optional<KnownLeader> known_leader_;
};

/// The term of the leader that issued a fencing token.
uint64_t term_of_fencing_token(uint64_t fencing_token);

}  // namespace sumacquay::simulation
