#pragma once
#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "jobs/spec.h"

namespace sumacquay {

/// Leader election: a state machine over a lease in the state service. Every leader has its own
/// term, and terms increase strictly.
///
/// Owns the election state, the lease and the terms. Called by ElectionDriver. All I/O is done
/// through `Effects`, and the class is independent of what a leader does. Times are seconds of the
/// steady clock.
class LeaderElection {
 public:
  enum class State {
    Follower,      ///< another node leads, or no leader is known
    Campaigning,   ///< no node leads, and this node tries to be elected
    Leading,       ///< this node holds the lease
    LeaseExpired,  ///< the lease may be over; only answers workers, until the grace period ends
  };

  /// Durations of the election, in seconds of the steady clock.
  struct Config {
    Seconds lease = 2;     ///< duration of the leader's lease
    Seconds renew = 0.5;   ///< interval between renewals of the lease
    Seconds grace = 10;    ///< how long workers may be answered without the state service
    double drift = 0.002;  ///< maximum relative lag of this clock behind the state service's
  };

  /// Identifies a campaign in requests and their outcomes. Without it, a late outcome of an earlier
  /// campaign could elect this node under one lease while it renews another, and two nodes could
  /// act as leader at once.
  using Campaign = uint64_t;

  /// I/O that the election requests. Each outcome is passed to the method that is named below.
  struct Effects {
    /// Requests a lease of `lease` seconds from the state service. Outcome: `granted`.
    std::function<void(Campaign campaign, Seconds lease)> grant;
    /// Writes the leader's record under the lease unless another node leads. Outcome: `elected`.
    std::function<void(Campaign campaign, uint64_t lease)> elect;
    /// Renews the lease. Outcome: `renewed`.
    std::function<void(uint64_t lease)> renew;
    /// Called after each state change, from within the method that caused it.
    std::function<void(State from, State to)> state_changed;
  };

  LeaderElection(Config config, Effects effects) : config_(config), effects_(std::move(effects)) {}

  /// Time at which `tick` is due, unless an event or a record change requires an earlier call.
  Seconds due_at(Seconds now) const;
  /// Performs due transitions and renewals. `loaded`: the records are loaded; `leader_known`: they
  /// contain a leader's record; `jitter`: random, from 0 to 1.
  void tick(Seconds now, bool loaded, bool leader_known, double jitter);
  /// Outcome of `grant`; `lease` is empty if no lease was obtained. `requested_at`: when the
  /// request was sent.
  void granted(Seconds now, Campaign campaign, std::optional<uint64_t> lease, Seconds requested_at);
  /// Outcome of `elect`; `term` is used only if `won`.
  void elected(Seconds now, Campaign campaign, bool won, uint64_t term);
  /// Outcome of `renew`. `confirmed`: the lease was renewed; `lease_ended`: the lease no longer
  /// exists. If neither is set, it is unknown whether the lease was renewed.
  void renewed(Seconds now, uint64_t lease, Seconds sent_at, bool confirmed, bool lease_ended);
  /// Steps down and does not campaign for `backoff` seconds, so that another node is elected. The
  /// caller revokes the lease.
  void resign(Seconds now, Seconds backoff);
  /// Observes a term reported by a peer, a worker or a record. Steps down if it is higher than the
  /// term in which this node leads.
  void observe_term(Seconds now, uint64_t term);

  State state() const { return state_; }
  /// Term in which this node leads, or last led.
  uint64_t term() const { return term_; }
  /// Highest term observed so far, of any leader.
  uint64_t highest_term() const { return highest_term_; }
  /// Id of the lease in the state service; 0 for a follower.
  uint64_t lease() const { return lease_; }
  /// Whether this node may start tasks and write records.
  [[nodiscard]] bool may_act(Seconds now) const {
    return state_ == State::Leading && now < valid_until_;
  }
  /// Reports that this node's copy of the records is at least as recent as `at`.
  void set_records_current_at(Seconds at) {
    records_current_at_ = std::max(records_current_at_, at);
  }
  /// Whether this node may answer workers. Limited by the age of its records: a node partitioned
  /// from the state service does not see cancellations, and would keep cancelled tasks running.
  [[nodiscard]] bool may_answer(Seconds now) const {
    return (state_ == State::Leading || state_ == State::LeaseExpired) && now < may_answer_until();
  }
  /// Latest time until which `may_answer` can hold without a renewal or newer records.
  Seconds may_answer_until() const {
    return std::min(records_current_at_, valid_until_) + config_.grace;
  }

 private:
  void enter(State next);
  void tick_follower(Seconds now, bool may_campaign, double jitter);
  void renew_if_due(Seconds now);

  Config config_;
  Effects effects_;
  State state_ = State::Follower;
  uint64_t term_ = 0;
  uint64_t highest_term_ = 0;
  uint64_t lease_ = 0;
  Campaign campaign_ = 0;           ///< the most recent one
  Seconds campaign_at_ = -1;        ///< when a follower starts a campaign; -1: none is scheduled
  Seconds campaign_deadline_ = 0;   ///< when a campaign without an outcome is abandoned
  Seconds lease_requested_at_ = 0;  ///< by the most recent campaign
  Seconds valid_until_ = 0;         ///< earliest time at which the leader's lease can end
  Seconds next_renewal_ = 0;
  bool renewal_in_flight_ = false;
  Seconds no_campaign_before_ = 0;  ///< after resigning, no campaign before then
  Seconds records_current_at_ = 0;  ///< the records are at least as recent as this
};

/// Name of the state in log messages.
const char* name(LeaderElection::State state);

}  // namespace sumacquay
