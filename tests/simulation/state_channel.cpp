#include "simulation/state_channel.h"

#include <algorithm>
#include <utility>

#include "simulation/controller_process.h"

namespace sumacquay::simulation {

namespace {
/// Default timeout of a request, as a fraction of the worker lease.
constexpr double kDeadlineShare = 0.15;
constexpr Seconds kTravelLeast = 0.001, kTravelMost = 0.01;
}  // namespace

void StateChannel::request(size_t controller, RequestKind kind, Operation operation, Done done,
                           std::optional<Seconds> deadline) {
  const std::weak_ptr<ControllerProcess> asker = env_.controllers[controller].process;
  auto settled = std::make_shared<bool>(false);
  auto answer = [this, controller, asker, settled, done = std::move(done)](Seconds delay,
                                                                           StateReply reply) {
    env_.controllers.schedule_in(
        controller, asker, delay,
        [settled, done, reply = std::move(reply)](ControllerProcess& process) {
          if (*settled) return;
          *settled = true;
          if (reply.ok() || reply.outcome == StateOutcome::Failed) process.served_by_state();
          done(process, reply);
        });
  };
  answer(deadline.value_or(env_.options.lease_s * kDeadlineShare), {});
  Random& random = env_.random;
  Seconds travel =
      random.chance(0.01) ? random.between(0.1, 0.4) : random.between(kTravelLeast, kTravelMost);
  if (slow_.active(env_.now())) travel += random.between(0.1, 1.5);
  const Seconds apart_until = env_.network.state_apart_until(controller);
  if (env_.now() < apart_until) {
    if (kind != RequestKind::Transaction || random.chance(0.5)) return;
    travel += apart_until - env_.now();  // delivered after the partition
  }
  env_.loop.schedule(travel, [this, request = Request{controller, kind, std::move(operation),
                                                      std::move(answer)}] { arrive(request); });
}

void StateChannel::arrive(const Request& request) {
  Random& random = env_.random;
  const Seconds now = env_.now();
  if (out() || env_.controllers[request.controller].faults.refused.active(now)) {
    StateReply refused;
    refused.outcome = StateOutcome::Refused;
    return request.answer(random.between(kTravelLeast, kTravelMost), refused);
  }
  const bool writes = request.kind == RequestKind::Transaction;
  if (writes && late_.active(now) && random.chance(late_share_))
    return apply_late(request.operation);
  StateReply reply = request.operation();
  if (writes && lossy_.active(now) && random.chance(lost_share_)) {
    answers_lost_ += reply.ok();
    return;
  }
  if (now < env_.network.state_apart_until(request.controller)) return;
  request.answer(random.between(kTravelLeast, kTravelMost), std::move(reply));
}

void StateChannel::apply_late(Operation operation) {
  env_.loop.schedule(env_.random.between(2, 12), [this, operation = std::move(operation)] {
    if (out()) return;
    ++late_writes_tried_;
    if (operation().ok()) ++late_writes_applied_;
  });
}

StateChannel::Operation StateChannel::transaction(std::vector<wire::Precondition> preconditions,
                                                  std::vector<StateService::Change> changes,
                                                  std::optional<WriterTerm> writer) {
  return [this, preconditions = std::move(preconditions), changes = std::move(changes), writer] {
    StateReply reply;
    const auto revision = service_.compare_and_swap(preconditions, changes);
    reply.outcome = revision ? StateOutcome::Ok : StateOutcome::Failed;
    reply.revision = service_.revision();
    if (!revision) return reply;
    if (writer) env_.checker.wrote_under_term(writer->term, writer->nonce);
    env_.checker.records_changed(changes);
    return reply;
  };
}

StateChannel::Operation StateChannel::read(std::optional<uint64_t> after) {
  return [this, after] {
    StateReply reply;
    reply.outcome = StateOutcome::Ok;
    reply.revision = service_.revision();
    reply.changes = after ? service_.changes_after(*after) : service_.all();
    return reply;
  };
}

StateChannel::Operation StateChannel::read_item(const std::string& key) {
  return [this, key] {
    StateReply reply;
    const auto* item = service_.find(key);
    reply.outcome = item ? StateOutcome::Ok : StateOutcome::Failed;
    if (item) reply.changes.push_back(*item);
    return reply;
  };
}

StateChannel::Operation StateChannel::grant(Seconds duration) {
  return [this, duration] {
    StateReply reply;
    reply.outcome = StateOutcome::Ok;
    reply.lease = service_.grant(env_.now(), duration);
    return reply;
  };
}

StateChannel::Operation StateChannel::renew(uint64_t lease) {
  return [this, lease] {
    StateReply reply;
    reply.outcome = service_.renew(lease, env_.now()) ? StateOutcome::Ok : StateOutcome::Failed;
    return reply;
  };
}

StateChannel::Operation StateChannel::revoke(uint64_t lease) {
  return [this, lease] {
    service_.revoke(lease);
    StateReply reply;
    reply.outcome = StateOutcome::Ok;
    return reply;
  };
}

void StateChannel::step() {
  if (outage_end_ && !out()) {
    outage_end_.reset();
    service_.restart_leases(env_.now());
  }
  if (!out()) service_.expire_leases(env_.now());
}

void StateChannel::begin_outage(Seconds span) {
  const Seconds end = env_.now() + span;
  outage_end_ = std::max(outage_end_.value_or(end), end);
}

void StateChannel::slow_down(Seconds span) {
  slow_.last_until(env_.now() + span);
}

void StateChannel::apply_writes_late(double share, Seconds span) {
  late_share_ = share;
  late_.last_until(env_.now() + span);
}

void StateChannel::lose_answers(double share, Seconds span) {
  lost_share_ = share;
  lossy_.last_until(env_.now() + span);
}

void StateChannel::end_faults() {
  if (out()) outage_end_ = env_.now();
  slow_.clear();
  late_.clear();
  lossy_.clear();
}

}  // namespace sumacquay::simulation
