#include "leadership/lease_delegation.h"

#include <algorithm>
#include <cmath>

namespace sumacquay {
namespace {

/// What two clocks may differ by over any span, both ways.
constexpr double kDrift = 0.002;
constexpr double kMs = 1000;

}  // namespace

void DelegatedResponder::delegated(const Delegation& p, Seconds asked_at, Seconds now) {
  if (p.term < newest_.term || (p.term == newest_.term && p.number <= newest_.number)) return;
  newest_ = p;
  until_ = asked_at + p.valid_for_s * (1 - kDrift);
  heard_ = now;
}

bool DelegatedResponder::active(uint64_t highest_term, Seconds now) const {
  return newest_.term > 0 && newest_.term == highest_term && now >= heard_ + after_ && now < until_;
}

DelegationStatus DelegatedResponder::status(Seconds now) const {
  DelegationStatus w{process_, newest_.term, newest_.number, std::nullopt};
  if (answered_) w.last_answer_age_s = now - *answered_;
  return w;
}

Delegations::Node& Delegations::node(const std::string& name, const std::string& zone) {
  Node& n = nodes_[name];
  n.zone = zone;
  return n;
}

Delegation Delegations::delegate(const std::string& name, const std::string& zone, Seconds until,
                                 Seconds now) {
  Node& n = node(name, zone);
  n.until = std::max(n.until, until);
  return {term_, static_cast<uint64_t>(now * kMs), until - now};
}

void Delegations::heard(const std::string& name, const std::string& zone,
                        const DelegationStatus& status, Seconds now) {
  Node& n = node(name, zone);
  if (n.process != status.process) {
    // What an earlier process answered is forgotten, but it ended before this one spoke.
    if (n.process != 0) n.last = std::max(n.last, now);
    n.process = status.process;
    n.quiet_until = -1;
  }
  if (status.last_answer_age_s)
    n.last = std::max(n.last, now - *status.last_answer_age_s * (1 - kDrift));
  // It waits from when it heard the delegation, which is no earlier than this leader said it.
  if (status.term == term_)
    n.quiet_until =
        std::max(n.quiet_until, static_cast<double>(status.number) / kMs + after_ * (1 - kDrift));
}

Seconds Delegations::last_answer(const std::string& zone, Seconds now) const {
  Seconds last = -1;
  for (const auto& [name, n] : nodes_) {
    if (n.zone != zone) continue;
    last = std::max(last, n.last);
    if (now >= n.quiet_until) last = std::max(last, std::min(now, n.until));
  }
  return last;
}

}  // namespace sumacquay
