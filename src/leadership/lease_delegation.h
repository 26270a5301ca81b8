#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "fleet/worker_heartbeat.h"
#include "jobs/spec.h"

// A zone that is cut off keeps what runs there if a controller in it answers its workers in the
// leader's place. The leader delegates that ahead of time, counts every delegation as an answer
// that may have been given, and so never takes for gone what a delegate keeps alive.
namespace sumacquay {

/// From the leader to a node of a zone: it may answer that zone's workers once it can't hear the
/// leader any more.
struct Delegation {
  uint64_t term = 0;
  uint64_t number = 0;      ///< the leader's own time in ms: rises, and tells it when this was said
  Seconds valid_for_s = 0;  ///< from when the node asked
};

/// What a node says of its delegation with every message.
struct DelegationStatus {
  uint64_t process = 0;           ///< tells one process of a node from the next
  uint64_t term = 0, number = 0;  ///< of the newest delegation it has
  std::optional<Seconds>
      last_answer_age_s;  ///< since it last answered a worker in the leader's place
};

/// The node's side.
class DelegatedResponder {
 public:
  /// `answers_s`: for how long past a look at the records workers may be answered.
  DelegatedResponder(uint64_t process, Seconds after, Seconds answers_s)
      : process_(process), after_(after), answers_s_(answers_s) {}
  void delegated(const Delegation& p, Seconds asked_at, Seconds now);
  /// Whether the leader has been silent for so long that this node is in its place. It isn't when
  /// somebody leads with a higher term.
  bool active(uint64_t highest_term, Seconds now) const;
  /// The commands of an answer in the leader's place, none if there is to be no answer.
  /// `records_known_at`: this node's last look at the records. The leader's may have been newer,
  /// but this node stops only what it knows to be cancelled, and so ends its answers by its own.
  /// `ended(job)`: whether a job is known to be cancelled or finished.
  template <class Ended>
  std::optional<std::vector<Command>> answer(const WorkerHeartbeat& heartbeat,
                                             uint64_t highest_term, Seconds records_known_at,
                                             Ended&& ended, Seconds now) {
    const bool known_of = now < records_known_at + answers_s_;
    if (heartbeat.fencing_token == 0 || !known_of || !active(highest_term, now))
      return std::nullopt;
    answered_ = now;
    return stops_of_ended(heartbeat, ended);
  }
  DelegationStatus status(Seconds now) const;

 private:
  uint64_t process_;
  Seconds after_, answers_s_;
  Delegation newest_;
  Seconds until_ = -1, heard_ = -1;
  std::optional<Seconds> answered_;
};

/// The leader's side: until when delegates may have answered a zone's workers.
class Delegations {
 public:
  Delegations(uint64_t term, Seconds after) : term_(term), after_(after) {}
  Delegation delegate(const std::string& name, const std::string& zone, Seconds until, Seconds now);
  void heard(const std::string& name, const std::string& zone, const DelegationStatus& status,
             Seconds now);
  /// The last answer that a delegate may have given to a worker of this zone.
  Seconds last_answer(const std::string& zone, Seconds now) const;

 private:
  struct Node {
    std::string zone;
    uint64_t process = 0;
    Seconds until = -1;        ///< end of all delegations it was given
    Seconds quiet_until = -1;  ///< it has heard this leader too lately to stand in before
    Seconds last = -1;         ///< its last answer that it told of, or may have given unheard
  };
  Node& node(const std::string& name, const std::string& zone);
  uint64_t term_;
  Seconds after_;
  std::map<std::string, Node> nodes_;
};

}  // namespace sumacquay
