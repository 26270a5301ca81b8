// Answers of a controller to worker heartbeats.
#include "simulation/body_limit.h"
#include "simulation/controller_process.h"
#include "simulation/workers.h"
#include "wire/worker_message_size.h"

namespace sumacquay::simulation {

namespace {
/// Width of the counter in the low bits of a fencing token, below the term.
constexpr int kFencingTokenCounterBits = 20;
/// How long a peer's heartbeat is trusted to name the leader, in heartbeat intervals.
constexpr double kPeerHeartbeatTrustIntervals = 4;
}  // namespace

uint64_t term_of_fencing_token(uint64_t fencing_token) {
  return fencing_token >> kFencingTokenCounterBits;
}

HeartbeatReply ControllerProcess::answer_worker_heartbeat(const WorkerHeartbeat& heartbeat) {
  if (exceeds_body_limit(heartbeat)) {
    HeartbeatReply refusal;
    refusal.status = HeartbeatReplyStatus::TooLarge;
    return add_to_digest(heartbeat, refusal);
  }
  election_->observe_term(env_.now(), term_of_fencing_token(heartbeat.fencing_token));
  if (may_answer()) return add_to_digest(heartbeat, answer_as_leader(heartbeat));
  if (const auto reply = answer_as_delegate(heartbeat)) return add_to_digest(heartbeat, *reply);
  return add_to_digest(heartbeat, redirect());
}

HeartbeatReply ControllerProcess::answer_duplicate(const WorkerHeartbeat& heartbeat) {
  election_->observe_term(env_.now(), term_of_fencing_token(heartbeat.fencing_token));
  return add_to_digest(heartbeat, may_answer() ? answer_as_leader(heartbeat) : redirect());
}

HeartbeatReply ControllerProcess::add_to_digest(const WorkerHeartbeat& heartbeat,
                                                HeartbeatReply reply) {
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
  reply.status = answer.accepted ? HeartbeatReplyStatus::Answered : HeartbeatReplyStatus::Late;
  reply.fencing_token = answer.fencing_token;
  reply.commands = answer.commands;
  return reply;
}

std::optional<HeartbeatReply> ControllerProcess::answer_as_delegate(
    const WorkerHeartbeat& heartbeat) {
  const bool may_answer_as_delegate =
      election_->state() == LeaderElection::State::Follower && heartbeat.zone == settings().zone &&
      env_.now() - last_store_success_at_ > settings().delegate_takeover_s();
  if (!may_answer_as_delegate) return std::nullopt;
  const auto stop_commands = delegated_responder_->answer(
      heartbeat, election_->highest_term(), records_.fresh_as_of(),
      [this](const std::string& job) { return records_.job_ended(job); }, env_.now());
  if (!stop_commands || !wire::fit_in_message(*stop_commands)) return std::nullopt;
  connections_.workers.on_delegate_reply();
  HeartbeatReply reply;
  reply.status = HeartbeatReplyStatus::Answered;
  reply.fencing_token = heartbeat.fencing_token;
  reply.commands = *stop_commands;
  return reply;
}

HeartbeatReply ControllerProcess::redirect() const {
  HeartbeatReply reply;
  const auto& recorded = records_.leader().value;
  if (recorded.term > (known_leader_ ? known_leader_->term : 0))
    reply.leader = env_.controllers.index_of(recorded.node);
  else if (known_leader_ &&
           env_.now() - known_leader_->last_heartbeat_at <
               kPeerHeartbeatTrustIntervals * settings().leader_renewal_interval_s())
    reply.leader = known_leader_->controller;
  return reply;
}

}  // namespace sumacquay::simulation
