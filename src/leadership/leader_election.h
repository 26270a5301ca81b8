#pragma once
#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "jobs/spec.h"

namespace sumacquay {

/// Leader election: a state machine over a lease in the state service. Every leader has a term of
/// its own, and each term is higher than the one before.
///
/// It owns the state, the lease and the terms. It does no I/O, which is that of the `Effects`, and
/// must not know what a leader does. Times are seconds of the steady clock; ElectionDriver calls
/// it.
class LeaderElection {
 public:
  enum class State {
    Follower,      ///< somebody else leads, or nobody is known to
    Campaigning,   ///< nobody leads: this node tries to
    Leading,       ///< holds the lease
    LeaseExpired,  ///< the lease may have ended: answers only, until the grace is over
  };

  /// Durations of the election, in seconds of the steady clock.
  struct Config {
    Seconds lease = 2;     ///< of the leader's key
    Seconds renew = 0.5;   ///< between two renewals of the lease
    Seconds grace = 10;    ///< how long answers go on past the last one of the state service
    double drift = 0.002;  ///< by which this clock may run slower than the state service's
  };

  /// Numbers campaigns and what answers them. Without it a late answer to an earlier campaign
  /// could win one lease and renew another, and two nodes would act at once.
  using Campaign = uint64_t;

  /// What the election asks for; each outcome comes back through the method of the same name.
  struct Effects {
    /// Asks the state service for a lease of so many seconds: `granted`.
    std::function<void(Campaign campaign, Seconds lease)> grant;
    /// Writes the leader's record under the lease, if nobody leads: `elected`.
    std::function<void(Campaign campaign, uint64_t lease)> elect;
    /// Renews the lease: `renewed`.
    std::function<void(uint64_t lease)> renew;
    /// Called from inside any other method, after the state has changed.
    std::function<void(State from, State to)> changed;
  };

  LeaderElection(Config config, Effects effects) : config_(config), effects_(std::move(effects)) {}

  /// When `tick` has something to do next, unless an event or a change of the records comes before.
  Seconds due_at(Seconds now) const;
  /// `leader_known`: the records are loaded and show a leader's key. `jitter`: from 0 to 1.
  void tick(Seconds now, bool loaded, bool leader_known, double jitter);
  /// The outcome of `grant`; none if there is no lease. `asked_at`: when the request was sent.
  void granted(Seconds now, Campaign campaign, std::optional<uint64_t> lease, Seconds asked_at);
  /// The outcome of `elect`; `term` counts only if `won`.
  void elected(Seconds now, Campaign campaign, bool won, uint64_t term);
  /// The outcome of `renew`. `answered`: certainly renewed; `ended`: the lease is over. Neither: it
  /// may have been renewed or not.
  void renewed(Seconds now, uint64_t lease, Seconds sent_at, bool answered, bool ended);
  /// Stops leading and does not campaign for `rest` seconds, so that another node is elected. The
  /// caller revokes the lease.
  void resign(Seconds now, Seconds rest);
  /// Somebody leads with this term: a peer, a worker or a record says so.
  void observe_term(Seconds now, uint64_t term);

  State state() const { return state_; }
  /// The term in which this node leads, or led last.
  uint64_t term() const { return term_; }
  /// The highest term of any leader that this node knows of.
  uint64_t highest_term() const { return highest_term_; }
  /// The lease's id in the state service, 0 for a follower.
  uint64_t lease() const { return lease_; }
  /// May start tasks and write records.
  [[nodiscard]] bool may_act(Seconds now) const {
    return state_ == State::Leading && now < valid_until_;
  }
  /// The records are known as they were at that time or later.
  void records_known(Seconds at) { known_at_ = std::max(known_at_, at); }
  /// May answer workers. Counts from the last look at the records: a node that was partitioned
  /// since then can't know what was cancelled, and would keep it running.
  [[nodiscard]] bool may_answer(Seconds now) const {
    return (state_ == State::Leading || state_ == State::LeaseExpired) && now < answers_until();
  }
  /// Until when `may_answer` can hold at most, as far as is known now.
  Seconds answers_until() const { return std::min(known_at_, valid_until_) + config_.grace; }

 private:
  void enter(State next);
  void tick_follower(Seconds now, bool office_vacant, double jitter);
  void renew_if_due(Seconds now);

  Config config_;
  Effects effects_;
  State state_ = State::Follower;
  uint64_t term_ = 0;
  uint64_t highest_term_ = 0;
  uint64_t lease_ = 0;
  Campaign campaign_ = 0;       ///< the last one
  Seconds campaign_at_ = -1;    ///< when a follower is to campaign; -1: it is not to
  Seconds campaign_end_ = 0;    ///< a campaign without an outcome is given up then
  Seconds lease_asked_at_ = 0;  ///< of the last campaign
  Seconds valid_until_ = 0;     ///< the end of the leader's lease, at the earliest
  Seconds next_renewal_ = 0;
  bool renewing_ = false;   ///< a renewal is under way
  Seconds rest_until_ = 0;  ///< after it resigned
  Seconds known_at_ = 0;    ///< of the records
};

/// The state as it stands in the log.
const char* name(LeaderElection::State state);

}  // namespace sumacquay
