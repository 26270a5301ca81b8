#include "leadership/leader_election.h"

#include <algorithm>
#include <limits>

namespace sumacquay {
namespace {

/// Maximum random delay before a campaign, as a fraction of the leader lease. It is small because
/// it prolongs a failover.
constexpr double kMaxCampaignDelayLeaseFraction = 0.05;
/// Delay before an unacknowledged renewal is retried, as a fraction of the renewal period.
constexpr double kRenewalRetryPeriodFraction = 0.3;
constexpr Seconds kNever = std::numeric_limits<Seconds>::max();

}  // namespace

const char* name(LeaderElection::State state) {
  switch (state) {
    case LeaderElection::State::Follower:
      return "follower";
    case LeaderElection::State::Campaigning:
      return "campaigning";
    case LeaderElection::State::Leading:
      return "leading";
    case LeaderElection::State::LeaseExpired:
      return "expired";
  }
  return "?";
}

void LeaderElection::enter(State next) {
  if (next == state_) return;
  const State from = state_;
  state_ = next;
  campaign_at_ = -1;
  if (next == State::Follower) {
    lease_ = 0;
    renewal_in_flight_ = false;
  }
  effects_.state_changed(from, next);
}

void LeaderElection::tick(Seconds now, bool loaded, bool leader_known, double jitter) {
  switch (state_) {
    case State::Follower:
      return tick_follower(now, loaded && !leader_known, jitter);
    case State::Campaigning:
      if (now >= campaign_deadline_) enter(State::Follower);
      return;
    case State::Leading:
      if (now >= valid_until_) enter(State::LeaseExpired);
      break;
    case State::LeaseExpired:
      if (now >= valid_until_ + config_.grace) return enter(State::Follower);
      break;
  }
  renew_if_due(now);
}

void LeaderElection::tick_follower(Seconds now, bool may_campaign, double jitter) {
  if (!may_campaign || now < no_campaign_before_) {
    campaign_at_ = -1;
  } else if (campaign_at_ < 0) {
    // The random delay keeps nodes from campaigning at the same time.
    campaign_at_ = now + jitter * config_.lease * kMaxCampaignDelayLeaseFraction;
  } else if (now >= campaign_at_) {
    enter(State::Campaigning);
    campaign_deadline_ = now + config_.lease;
    effects_.grant(++campaign_, config_.lease);
  }
}

void LeaderElection::renew_if_due(Seconds now) {
  if (renewal_in_flight_ || now < next_renewal_) return;
  renewal_in_flight_ = true;
  next_renewal_ = now + config_.renew;
  effects_.renew(lease_);
}

Seconds LeaderElection::due_at(Seconds now) const {
  const Seconds renewal = renewal_in_flight_ ? kNever : next_renewal_;
  switch (state_) {
    case State::Follower:
      if (campaign_at_ >= 0) return campaign_at_;
      return now < no_campaign_before_ ? no_campaign_before_ : kNever;
    case State::Campaigning:
      return campaign_deadline_;
    case State::Leading:
      return std::min(valid_until_, renewal);
    case State::LeaseExpired:
      return std::min(valid_until_ + config_.grace, renewal);
  }
  return kNever;
}

void LeaderElection::granted(Seconds now, Campaign campaign, std::optional<uint64_t> lease,
                             Seconds requested_at) {
  if (state_ != State::Campaigning || campaign != campaign_) return;
  if (!lease) return enter(State::Follower);
  lease_ = *lease;
  lease_requested_at_ = requested_at;
  campaign_deadline_ = now + config_.lease;
  effects_.elect(campaign_, lease_);
}

void LeaderElection::elected(Seconds now, Campaign campaign, bool won, uint64_t term) {
  if (state_ != State::Campaigning || campaign != campaign_) return;
  if (!won || term < highest_term_) return enter(State::Follower);
  term_ = highest_term_ = term;
  // Counted from when the lease was requested: the state service cannot have started it earlier.
  valid_until_ = lease_requested_at_ + config_.lease * (1 - config_.drift);
  next_renewal_ = now;
  renewal_in_flight_ = false;
  enter(State::Leading);
}

void LeaderElection::renewed(Seconds now, uint64_t lease, Seconds sent_at, bool confirmed,
                             bool lease_ended) {
  if (lease != lease_) return;
  renewal_in_flight_ = false;
  if (state_ != State::Leading && state_ != State::LeaseExpired) return;
  if (lease_ended) return enter(State::Follower);
  if (!confirmed) {
    next_renewal_ = std::min(next_renewal_, now + config_.renew * kRenewalRetryPeriodFraction);
    return;
  }
  valid_until_ = std::max(valid_until_, sent_at + config_.lease * (1 - config_.drift));
  if (state_ == State::LeaseExpired && now < valid_until_) enter(State::Leading);
}

void LeaderElection::resign(Seconds now, Seconds backoff) {
  if (state_ != State::Leading && state_ != State::LeaseExpired) return;
  no_campaign_before_ = now + backoff;
  enter(State::Follower);
}

void LeaderElection::observe_term(Seconds /*now*/, uint64_t term) {
  highest_term_ = std::max(highest_term_, term);
  if ((state_ == State::Leading || state_ == State::LeaseExpired) && term > term_)
    enter(State::Follower);
}

}  // namespace sumacquay
