// Answers of a controller to worker heartbeats.
#include "simulation/controller_process.h"
#include "simulation/workers.h"

namespace sumacquay::simulation {

namespace {
/// Width of the counter in the low bits of a fencing token, below the term.
constexpr int kFencingTokenCounterBits = 20;
/// How long a peer's heartbeat is trusted to name the leader, in heartbeat intervals.
constexpr double kPeerHeartbeatsTrusted = 4;
}  // namespace

uint64_t term_of_fencing_token(uint64_t fencing_token) {
  return fencing_token >> kFencingTokenCounterBits;
}

HeartbeatReply ControllerProcess::answer_worker_heartbeat(const WorkerHeartbeat& heartbeat) {
  election_->observe_term(env_.now(), term_of_fencing_token(heartbeat.fencing_token));
  if (may_answer()) return digested(heartbeat, answer_as_leader(heartbeat));
  if (const auto reply = answer_as_delegate(heartbeat)) return digested(heartbeat, *reply);
  return digested(heartbeat, redirect());
}

HeartbeatReply ControllerProcess::answer_copy(const WorkerHeartbeat& heartbeat) {
  election_->observe_term(env_.now(), term_of_fencing_token(heartbeat.fencing_token));
  return digested(heartbeat, may_answer() ? answer_as_leader(heartbeat) : redirect());
}

HeartbeatReply ControllerProcess::digested(const WorkerHeartbeat& heartbeat, HeartbeatReply reply) {
  const int redirect = reply.leader ? static_cast<int>(*reply.leader) : -1;
  env_.digest.add_worker_answer(env_.now(), controller_, heartbeat.machine,
                                static_cast<int>(reply.status), redirect, reply.fencing_token,
                                reply.commands);
  return reply;
}

HeartbeatReply ControllerProcess::answer_as_leader(const WorkerHeartbeat& heartbeat) {
  const auto answer =
      scheduler_->on_heartbeat(heartbeat, election_->may_act(env_.now()), env_.now());
  HeartbeatReply reply;
  reply.status = answer.fresh ? HeartbeatReplyStatus::Answered : HeartbeatReplyStatus::Late;
  reply.fencing_token = answer.fencing_token;
  reply.commands = answer.commands;
  return reply;
}

std::optional<HeartbeatReply> ControllerProcess::answer_as_delegate(
    const WorkerHeartbeat& heartbeat) {
  const bool may_answer_as_delegate = election_->state() == LeaderElection::State::Follower &&
                                      heartbeat.zone == settings().zone &&
                                      env_.now() - served_at_ > settings().delegation_after_s();
  if (!may_answer_as_delegate) return std::nullopt;
  const auto stops = delegated_responder_->answer(
      heartbeat, election_->highest_term(), records_.known_at(),
      [this](const std::string& job) { return records_.ended(job); }, env_.now());
  if (!stops) return std::nullopt;
  links_.workers.answered_by_delegate();
  HeartbeatReply reply;
  reply.status = HeartbeatReplyStatus::Answered;
  reply.fencing_token = heartbeat.fencing_token;
  reply.commands = *stops;
  return reply;
}

HeartbeatReply ControllerProcess::redirect() const {
  HeartbeatReply reply;
  const auto& recorded = records_.leader().value;
  if (recorded.term > (known_leader_ ? known_leader_->term : 0))
    reply.leader = env_.controllers.index_of(recorded.node);
  else if (known_leader_ &&
           env_.now() - known_leader_->heard_at < kPeerHeartbeatsTrusted * settings().renew_s())
    reply.leader = known_leader_->controller;
  return reply;
}

}  // namespace sumacquay::simulation
