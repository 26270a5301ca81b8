#pragma once
#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "jobs/spec.h"

namespace sumacquay {

/// Who leads: a state machine over a lease in the state service. Does no I/O itself; time is the
/// steady clock's. Every leader has a term of its own, and each term is higher than the one before.
class LeaderElection {
 public:
  enum class State {
    Follower,      ///< somebody else leads, or nobody is known to
    Campaigning,   ///< nobody leads: this node tries to
    Leading,       ///< holds the lease
    LeaseExpired,  ///< the lease may have ended: answers only, until the grace is over
  };

  struct Config {
    Seconds lease = 2;  ///< of the leader's key
    Seconds renew = 0.5;
    Seconds grace = 10;  ///< how long answers go on past the last word from the state service
    double drift = 0.002;
  };

  /// Numbers campaigns and what answers them. Without it a late answer to an earlier campaign
  /// could win one lease and renew another, and two nodes would act at once.
  using Campaign = uint64_t;

  struct Effects {
    std::function<void(Campaign campaign, Seconds lease)> grant;
    std::function<void(Campaign campaign, uint64_t lease)> elect;
    std::function<void(uint64_t lease)> renew;
    std::function<void(State from, State to)> changed;
  };

  LeaderElection(Config config, Effects effects) : config_(config), effects_(std::move(effects)) {}

  /// When `tick` has something to do next, unless an event or a change of the records comes before.
  Seconds due_at(Seconds now) const;
  /// `leader_known`: the records are loaded and show a leader's key. `jitter`: from 0 to 1.
  void tick(Seconds now, bool loaded, bool leader_known, double jitter);
  void granted(Seconds now, Campaign campaign, std::optional<uint64_t> lease, Seconds asked_at);
  void elected(Seconds now, Campaign campaign, bool won, uint64_t term);
  void renewed(Seconds now, uint64_t lease, Seconds sent_at, bool answered, bool ended);
  /// Gives the office up, and leaves it to others for a while: this node can't do its work.
  void resign(Seconds now, Seconds rest);
  /// Somebody leads with this term: a peer, a worker or a record says so.
  void observe_term(Seconds now, uint64_t term);

  State state() const { return state_; }
  uint64_t term() const { return term_; }
  uint64_t highest_term() const { return highest_; }
  uint64_t lease() const { return lease_; }
  /// May start tasks and write records.
  bool may_act(Seconds now) const { return state_ == State::Leading && now < valid_until_; }
  /// The records are known as they were at that time or later.
  void records_known(Seconds at) { known_at_ = std::max(known_at_, at); }
  /// May answer workers. Counts from the last look at the records: whoever was cut off since then
  /// can't know what was cancelled, and would keep it running.
  bool may_answer(Seconds now) const {
    return (state_ == State::Leading || state_ == State::LeaseExpired) && now < answers_until();
  }
  Seconds answers_until() const { return std::min(known_at_, valid_until_) + config_.grace; }

 private:
  void enter(State next);

  Config config_;
  Effects effects_;
  State state_ = State::Follower;
  uint64_t term_ = 0, highest_ = 0, lease_ = 0;
  Seconds valid_until_ = 0, lease_sent_ = 0, next_renew_ = 0, campaign_at_ = -1, campaign_end_ = 0,
          rest_until_ = 0, known_at_ = 0;
  bool renewing_ = false;
  Campaign campaign_ = 0;
};

const char* name(LeaderElection::State state);

}  // namespace sumacquay
