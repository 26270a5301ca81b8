// A controller's answers to the workers' reports.
#include "world/controller_process.h"
#include "world/workers.h"

namespace sumacquay::simulation {

namespace {
/// The part of a token below the term.
constexpr int kTokenCounterBits = 20;
/// How long a heartbeat shows who leads, in intervals between heartbeats.
constexpr double kHeartbeatsTrusted = 4;
}  // namespace

uint64_t term_of_token(uint64_t token) {
  return token >> kTokenCounterBits;
}

ReportReply ControllerProcess::answer_report(const WorkerReport& report) {
  election_->observe_term(env_.now(), term_of_token(report.token));
  if (may_answer()) return digested(report, answer_as_leader(report));
  if (const auto reply = answer_as_delegate(report)) return digested(report, *reply);
  return digested(report, redirect());
}

ReportReply ControllerProcess::answer_copy(const WorkerReport& report) {
  election_->observe_term(env_.now(), term_of_token(report.token));
  return digested(report, may_answer() ? answer_as_leader(report) : redirect());
}

ReportReply ControllerProcess::digested(const WorkerReport& report, ReportReply reply) {
  const int redirect = reply.leader ? static_cast<int>(*reply.leader) : -1;
  env_.digest.add_worker_answer(env_.now(), controller_, report.machine,
                                static_cast<int>(reply.status), redirect, reply.token,
                                reply.commands);
  return reply;
}

ReportReply ControllerProcess::answer_as_leader(const WorkerReport& report) {
  const auto answer = scheduler_->report(report, election_->may_act(env_.now()), env_.now());
  ReportReply reply;
  reply.status = answer.fresh ? ReportStatus::Answered : ReportStatus::Late;
  reply.token = answer.token;
  reply.commands = answer.commands;
  return reply;
}

std::optional<ReportReply> ControllerProcess::answer_as_delegate(const WorkerReport& report) {
  const bool may_be_delegate = election_->state() == LeaderElection::State::Follower &&
                               report.zone == settings().zone &&
                               env_.now() - served_at_ > settings().delegation_after_s();
  if (!may_be_delegate) return std::nullopt;
  const auto stops = delegate_->answer(
      report, election_->highest_term(), records_.known_at(),
      [this](const std::string& job) { return records_.ended(job); }, env_.now());
  if (!stops) return std::nullopt;
  links_.workers.answered_by_delegate();
  ReportReply reply;
  reply.status = ReportStatus::Answered;
  reply.token = report.token;
  reply.commands = *stops;
  return reply;
}

ReportReply ControllerProcess::redirect() const {
  ReportReply reply;
  const auto& recorded = records_.leader().value;
  if (recorded.term > (known_leader_ ? known_leader_->term : 0))
    reply.leader = env_.controllers.index_of(recorded.node);
  else if (known_leader_ &&
           env_.now() - known_leader_->heard_at < kHeartbeatsTrusted * settings().renew_s())
    reply.leader = known_leader_->controller;
  return reply;
}

}  // namespace sumacquay::simulation
