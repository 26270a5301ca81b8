#include "leadership/lease_delegation.h"

#include <algorithm>
#include <cmath>

namespace sumacquay {
namespace {

/// Maximum relative drift between the steady clocks of two nodes, in either direction.
constexpr double kMaxClockDrift = 0.002;
constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

void DelegatedResponder::on_delegation(const Delegation& delegation, Seconds sent_at, Seconds now) {
  const bool older_term = delegation.term < newest_.term;
  const bool not_newer =
      delegation.term == newest_.term && delegation.issued_at_ms <= newest_.issued_at_ms;
  if (older_term || not_newer) return;
  newest_ = delegation;
  valid_until_ = sent_at + delegation.valid_for_s * (1 - kMaxClockDrift);
  received_at_ = now;
}

bool DelegatedResponder::active(uint64_t highest_term, Seconds now) const {
  return newest_.term > 0 && newest_.term == highest_term &&
         now >= received_at_ + takeover_delay_ && now < valid_until_;
}

DelegationStatus DelegatedResponder::status(Seconds now) const {
  DelegationStatus status{incarnation_, newest_.term, newest_.issued_at_ms, std::nullopt};
  if (last_answer_at_) status.last_answer_age_s = now - *last_answer_at_;
  return status;
}

DelegationTracker::Delegate& DelegationTracker::find_or_add(const std::string& name,
                                                            const std::string& zone) {
  Delegate& delegate = delegates_[name];
  delegate.zone = zone;
  return delegate;
}

Delegation DelegationTracker::delegate(const std::string& name, const std::string& zone,
                                       Seconds until, Seconds now) {
  Delegate& delegate = find_or_add(name, zone);
  delegate.valid_until = std::max(delegate.valid_until, until);
  return {term_, static_cast<uint64_t>(now * kMillisecondsPerSecond), until - now};
}

void DelegationTracker::on_status(const std::string& name, const std::string& zone,
                                  const DelegationStatus& status, Seconds now) {
  Delegate& delegate = find_or_add(name, zone);
  if (delegate.incarnation != status.incarnation) {
    // The node has restarted. The answers of its earlier process are unknown, but none was given
    // after the new process started.
    if (delegate.incarnation != 0) delegate.last_answer = std::max(delegate.last_answer, now);
    delegate.incarnation = status.incarnation;
    delegate.inactive_until = -1;
  }
  if (status.last_answer_age_s)
    delegate.last_answer =
        std::max(delegate.last_answer, now - *status.last_answer_age_s * (1 - kMaxClockDrift));
  // The delegate is inactive for `takeover_delay_` from when it received the delegation, which is
  // no earlier than when this leader sent it.
  if (status.term == term_)
    delegate.inactive_until = std::max(
        delegate.inactive_until, static_cast<double>(status.issued_at_ms) / kMillisecondsPerSecond +
                                     takeover_delay_ * (1 - kMaxClockDrift));
}

Seconds DelegationTracker::last_answer(const std::string& zone, Seconds now) const {
  Seconds last = -1;
  for (const auto& [name, delegate] : delegates_) {
    if (delegate.zone != zone) continue;
    last = std::max(last, delegate.last_answer);
    // The delegate may be answering workers right now while it cannot reach this leader.
    if (now >= delegate.inactive_until) last = std::max(last, std::min(now, delegate.valid_until));
  }
  return last;
}

}  // namespace sumacquay
