#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/worker_heartbeat.h"
#include "jobs/spec.h"

/// Lease delegation, without I/O. The tasks of a partitioned zone keep running if a controller in
/// that zone renews the workers' leases on behalf of the leader. The leader delegates this ahead of
/// time. It treats every delegation as an answer that may have been given, so it never declares a
/// machine lost while a delegate may be renewing that machine's lease.
///
/// All times are seconds of the calling process's steady clock. This code is independent of the
/// network, the records and the election.
namespace sumacquay {

/// Sent by the leader to a node: permission to answer the workers of the node's zone once the node
/// no longer receives heartbeats from the leader.
struct Delegation {
  uint64_t term = 0;
  uint64_t issued_at_ms = 0;  ///< when it was sent, in ms of the leader's steady clock; increases
  Seconds valid_for_s = 0;    ///< from when the node sent the heartbeat that this answers
};

/// State of a node's delegation, which the node reports in every heartbeat to its peers.
struct DelegationStatus {
  uint64_t incarnation = 0;             ///< distinguishes successive processes of a node
  uint64_t term = 0, issued_at_ms = 0;  ///< of the newest delegation received
  std::optional<Seconds>
      last_answer_age_s;  ///< since it last answered a worker on behalf of the leader
};

/// The delegate's side: holds the newest delegation and answers workers under it. Owned by the
/// node; PeerHeartbeatExchange passes in delegations.
class DelegatedResponder {
 public:
  /// `takeover_delay`: how long the leader must be silent before this node answers on its behalf.
  /// `answer_grace`: how long workers may be answered after the records were last known to
  /// be current.
  DelegatedResponder(uint64_t incarnation, Seconds takeover_delay, Seconds answer_grace)
      : incarnation_(incarnation), takeover_delay_(takeover_delay), answer_grace_(answer_grace) {}
  /// Handles a delegation received in the answer to a heartbeat sent at `sent_at`. Delegations
  /// that are not newer than the current one are ignored.
  void on_delegation(const Delegation& delegation, Seconds sent_at, Seconds now);
  /// Whether this node acts on behalf of the leader: the leader has been silent long enough, the
  /// delegation is valid, and no higher term than the delegation's is known.
  [[nodiscard]] bool active(uint64_t highest_term, Seconds now) const;
  /// Returns the commands of an answer on behalf of the leader, or nothing if this node must not
  /// answer. `records_current_at`: the time as of which this node's records are current. The
  /// leader's may be newer, but this node stops only jobs whose end is in its own records, so
  /// its answers are limited by the age of these records. `job_ended(job)`: whether a job is known
  /// to be cancelled or finished.
  template <class JobEnded>
  [[nodiscard]] std::optional<std::vector<Command>> answer(const WorkerHeartbeat& heartbeat,
                                                           uint64_t highest_term,
                                                           Seconds records_current_at,
                                                           JobEnded&& job_ended, Seconds now) {
    const bool records_recent = now < records_current_at + answer_grace_;
    if (heartbeat.fencing_token == 0 || !records_recent || !active(highest_term, now))
      return std::nullopt;
    last_answer_at_ = now;
    return stop_commands_for_ended_jobs(heartbeat, job_ended);
  }
  /// Status to report in this node's heartbeats to its peers.
  DelegationStatus status(Seconds now) const;

 private:
  uint64_t incarnation_;
  Seconds takeover_delay_;
  Seconds answer_grace_;
  Delegation newest_;
  Seconds valid_until_ = -1;  ///< of the newest delegation
  Seconds received_at_ = -1;  ///< of the newest delegation
  std::optional<Seconds> last_answer_at_;
};

/// The leader's side: tracks until when delegates may have answered a zone's workers. Owned by the
/// scheduler of a term.
class DelegationTracker {
 public:
  /// `takeover_delay`: the same value as in the delegates' DelegatedResponder.
  DelegationTracker(uint64_t term, Seconds takeover_delay)
      : term_(term), takeover_delay_(takeover_delay) {}
  /// Records and returns a delegation to the node `name`, valid until `until`. The caller sends it
  /// in the answer to that node's heartbeat.
  [[nodiscard]] Delegation delegate(const std::string& name, const std::string& zone, Seconds until,
                                    Seconds now);
  /// Handles the delegation status in a heartbeat of the node `name`.
  void on_status(const std::string& name, const std::string& zone, const DelegationStatus& status,
                 Seconds now);
  /// Latest time at which a delegate may have answered a worker of this zone; -1 if none can have.
  [[nodiscard]] Seconds last_answer(const std::string& zone, Seconds now) const;

 private:
  /// The leader's view of one follower that it delegates to.
  struct Delegate {
    std::string zone;
    uint64_t incarnation = 0;
    Seconds valid_until = -1;     ///< end of all delegations sent to it
    Seconds inactive_until = -1;  ///< cannot answer earlier: it had a delegation too recently
    Seconds last_answer = -1;     ///< as reported, or the latest of an earlier process
  };
  Delegate& find_or_add(const std::string& name, const std::string& zone);

  uint64_t term_;
  Seconds takeover_delay_;
  std::map<std::string, Delegate> delegates_;
};

}  // namespace sumacquay
