#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/worker_heartbeat.h"
#include "jobs/spec.h"

/// Lease delegation, without I/O. A partitioned zone keeps its tasks running if a controller in it
/// renews its workers' leases in the leader's place. The leader delegates that ahead of time and
/// counts every delegation as an answer that may have been given, so that it never takes a machine
/// for lost whose lease a delegate renews.
///
/// All times are seconds of the steady clock of the process that passes them in. Nothing here knows
/// of the network, of the records or of the election.
namespace sumacquay {

/// From the leader to a node of a zone: it may answer that zone's workers once it no longer hears
/// from the leader.
struct Delegation {
  uint64_t term = 0;
  uint64_t number = 0;      ///< the leader's own time in ms: rises, and is when this was sent
  Seconds valid_for_s = 0;  ///< from when the node asked
};

/// What a node reports of its delegation with every heartbeat to its peers.
struct DelegationStatus {
  uint64_t process = 0;           ///< tells one process of a node from the next
  uint64_t term = 0, number = 0;  ///< of the newest delegation it has
  std::optional<Seconds>
      last_answer_age_s;  ///< since it last answered a worker in the leader's place
};

/// The node's side: holds the newest delegation and answers workers under it. Owned by the node,
/// and fed by its exchange of peer heartbeats.
class DelegatedResponder {
 public:
  /// `after`: how long the leader has to be silent before this node answers in its place.
  /// `answers_s`: for how long past a look at the records workers may be answered.
  DelegatedResponder(uint64_t process, Seconds after, Seconds answers_s)
      : process_(process), after_(after), answers_s_(answers_s) {}
  /// A delegation has come with the answer to what was sent at `asked_at`. Older ones than the
  /// newest change nothing.
  void delegated(const Delegation& delegation, Seconds asked_at, Seconds now);
  /// Whether the leader has been silent for so long that this node is in its place. It isn't when
  /// somebody leads with a higher term.
  [[nodiscard]] bool active(uint64_t highest_term, Seconds now) const;
  /// The commands of an answer in the leader's place, none if there is to be no answer.
  /// `records_known_at`: this node's last look at the records. The leader's may have been newer,
  /// but this node stops only what it knows to be cancelled, and so ends its answers by its own.
  /// `ended(job)`: whether a job is known to be cancelled or finished.
  template <class Ended>
  [[nodiscard]] std::optional<std::vector<Command>> answer(const WorkerHeartbeat& heartbeat,
                                                           uint64_t highest_term,
                                                           Seconds records_known_at, Ended&& ended,
                                                           Seconds now) {
    const bool records_recent = now < records_known_at + answers_s_;
    if (heartbeat.fencing_token == 0 || !records_recent || !active(highest_term, now))
      return std::nullopt;
    last_answer_at_ = now;
    return stops_of_ended(heartbeat, ended);
  }
  /// For this node's heartbeats to its peers.
  DelegationStatus status(Seconds now) const;

 private:
  uint64_t process_;
  Seconds after_;
  Seconds answers_s_;
  Delegation newest_;
  Seconds valid_until_ = -1;  ///< of the newest delegation
  Seconds received_at_ = -1;  ///< the same
  std::optional<Seconds> last_answer_at_;
};

/// The leader's side: until when delegates may have answered a zone's workers. Owned by the
/// scheduler of a term.
class Delegations {
 public:
  /// `after`: the same as that of the delegates.
  Delegations(uint64_t term, Seconds after) : term_(term), after_(after) {}
  /// Delegates to the node `name` until the time `until`, and counts it. The result goes out with
  /// the answer to that node's heartbeat.
  [[nodiscard]] Delegation delegate(const std::string& name, const std::string& zone, Seconds until,
                                    Seconds now);
  /// A heartbeat of the node `name` has come with this status.
  void heard(const std::string& name, const std::string& zone, const DelegationStatus& status,
             Seconds now);
  /// The last answer that a delegate may have given to a worker of this zone; -1 if none did.
  [[nodiscard]] Seconds last_answer(const std::string& zone, Seconds now) const;

 private:
  /// What the leader knows of one follower that it delegates to.
  struct Node {
    std::string zone;
    uint64_t process = 0;
    Seconds valid_until = -1;   ///< end of all delegations it was given
    Seconds silent_until = -1;  ///< it has heard from this leader too lately to answer before
    Seconds last_answer = -1;   ///< as it reported, or as an earlier process may have given it
  };
  Node& node(const std::string& name, const std::string& zone);

  uint64_t term_;
  Seconds after_;
  std::map<std::string, Node> nodes_;
};

}  // namespace sumacquay
