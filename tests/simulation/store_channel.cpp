#include "simulation/store_channel.h"

#include <algorithm>
#include <utility>

#include "simulation/controller_process.h"

namespace sumacquay::simulation {

namespace {
/// Default timeout of a request, as a fraction of the worker lease.
constexpr double kTimeoutFraction = 0.15;
constexpr Seconds kMinDelay = 0.001, kMaxDelay = 0.01;
}  // namespace

void StoreChannel::request(size_t controller, RequestKind kind, Operation operation, Done done,
                           std::optional<Seconds> timeout) {
  const std::weak_ptr<ControllerProcess> requester = env_.controllers[controller].process;
  auto answered = std::make_shared<bool>(false);
  auto answer = [this, controller, requester, answered, done = std::move(done)](Seconds delay,
                                                                                StoreReply reply) {
    env_.controllers.schedule_in(
        controller, requester, delay,
        [answered, done, reply = std::move(reply)](ControllerProcess& process) {
          if (*answered) return;
          *answered = true;
          if (reply.ok() || reply.outcome == StoreOutcome::Failed) process.on_store_success();
          done(process, reply);
        });
  };
  answer(timeout.value_or(env_.options.lease_s * kTimeoutFraction), {});
  Random& random = env_.random;
  Seconds request_delay =
      random.chance(0.01) ? random.between(0.1, 0.4) : random.between(kMinDelay, kMaxDelay);
  if (slowness_.active(env_.now())) request_delay += random.between(0.1, 1.5);
  const Seconds partition_end = env_.network.store_partition_end(controller);
  if (env_.now() < partition_end) {
    if (kind != RequestKind::Transaction || random.chance(0.5)) return;
    request_delay += partition_end - env_.now();  // delivered after the partition
  }
  env_.loop.schedule(request_delay,
                     [this, request = Request{controller, kind, std::move(operation),
                                              std::move(answer)}] { arrive(request); });
}

void StoreChannel::arrive(const Request& request) {
  Random& random = env_.random;
  const Seconds now = env_.now();
  if (outage_active() || env_.controllers[request.controller].faults.store_rejection.active(now)) {
    StoreReply rejected;
    rejected.outcome = StoreOutcome::Rejected;
    return request.answer(random.between(kMinDelay, kMaxDelay), rejected);
  }
  const bool writes = request.kind == RequestKind::Transaction;
  if (writes && late_writes_.active(now) && random.chance(late_write_fraction_))
    return apply_late(request.operation);
  StoreReply reply = request.operation();
  if (writes && answer_loss_.active(now) && random.chance(answer_loss_fraction_)) {
    answers_lost_ += reply.ok();
    return;
  }
  if (now < env_.network.store_partition_end(request.controller)) return;
  request.answer(random.between(kMinDelay, kMaxDelay), std::move(reply));
}

void StoreChannel::apply_late(Operation operation) {
  env_.loop.schedule(env_.random.between(2, 12), [this, operation = std::move(operation)] {
    if (outage_active()) return;
    ++late_writes_attempted_;
    if (operation().ok()) ++late_writes_applied_;
  });
}

StoreChannel::Operation StoreChannel::transaction(std::vector<wire::Precondition> preconditions,
                                                  std::vector<SimulatedStore::Change> changes,
                                                  std::optional<WriterTerm> writer) {
  return [this, preconditions = std::move(preconditions), changes = std::move(changes), writer] {
    StoreReply reply;
    const auto revision = service_.compare_and_swap(preconditions, changes);
    reply.outcome = revision ? StoreOutcome::Ok : StoreOutcome::Failed;
    reply.revision = service_.revision();
    if (!revision) return reply;
    if (writer) env_.checker.on_leader_write(writer->term, writer->nonce);
    env_.checker.on_records_changed(changes);
    return reply;
  };
}

StoreChannel::Operation StoreChannel::read(std::optional<uint64_t> after) {
  return [this, after] {
    StoreReply reply;
    reply.outcome = StoreOutcome::Ok;
    reply.revision = service_.revision();
    reply.changes = after ? service_.changes_after(*after) : service_.all_items();
    return reply;
  };
}

StoreChannel::Operation StoreChannel::read_item(const std::string& key) {
  return [this, key] {
    StoreReply reply;
    const auto* item = service_.find(key);
    reply.outcome = item ? StoreOutcome::Ok : StoreOutcome::Failed;
    if (item) reply.changes.push_back(*item);
    return reply;
  };
}

StoreChannel::Operation StoreChannel::grant_lease(Seconds duration) {
  return [this, duration] {
    StoreReply reply;
    reply.outcome = StoreOutcome::Ok;
    reply.lease = service_.grant_lease(env_.now(), duration);
    return reply;
  };
}

StoreChannel::Operation StoreChannel::renew_lease(uint64_t lease) {
  return [this, lease] {
    StoreReply reply;
    reply.outcome =
        service_.renew_lease(lease, env_.now()) ? StoreOutcome::Ok : StoreOutcome::Failed;
    return reply;
  };
}

StoreChannel::Operation StoreChannel::revoke_lease(uint64_t lease) {
  return [this, lease] {
    service_.revoke_lease(lease);
    StoreReply reply;
    reply.outcome = StoreOutcome::Ok;
    return reply;
  };
}

void StoreChannel::step() {
  if (outage_end_ && !outage_active()) {
    outage_end_.reset();
    service_.restart_leases(env_.now());
  }
  if (!outage_active()) service_.expire_leases(env_.now());
}

void StoreChannel::begin_outage(Seconds span) {
  const Seconds end = env_.now() + span;
  outage_end_ = std::max(outage_end_.value_or(end), end);
}

void StoreChannel::slow_down(Seconds span) {
  slowness_.activate_until(env_.now() + span);
}

void StoreChannel::apply_writes_late(double fraction, Seconds span) {
  late_write_fraction_ = fraction;
  late_writes_.activate_until(env_.now() + span);
}

void StoreChannel::lose_answers(double fraction, Seconds span) {
  answer_loss_fraction_ = fraction;
  answer_loss_.activate_until(env_.now() + span);
}

void StoreChannel::end_faults() {
  if (outage_active()) outage_end_ = env_.now();
  slowness_.clear();
  late_writes_.clear();
  answer_loss_.clear();
}

}  // namespace sumacquay::simulation
