#include "simulation/controller_process.h"

#include <algorithm>
#include <utility>

#include "simulation/cloud.h"
#include "simulation/command_channel.h"
#include "simulation/workers.h"

namespace sumacquay::simulation {

namespace {
/// Delay before a failed read of the records is retried, as a fraction of the worker lease.
constexpr double kReadRetryShare = 0.005;
/// How long a leader that resigned for lack of worker heartbeats stays out of elections, in leader
/// leases.
constexpr double kRestAfterResigning = 2;
}  // namespace

void ControllerProcess::start(Environment& environment, const ControllerLinks& links,
                              size_t controller, uint64_t nonce) {
  environment.controllers[controller].process =
      std::make_shared<ControllerProcess>(environment, links, controller, nonce);
}

ControllerProcess::ControllerProcess(Environment& environment, const ControllerLinks& links,
                                     size_t controller, uint64_t nonce)
    : env_(environment),
      links_(links),
      controller_(controller),
      nonce_(nonce),
      served_at_(environment.now()) {
  delegated_responder_ = std::make_unique<DelegatedResponder>(
      nonce, settings().delegation_after_s(), settings().answers_s());
  LeaderElection::Config config;
  config.lease = settings().leader_lease_s();
  config.renew = settings().renew_s();
  config.grace = settings().answers_s();
  election_ = std::make_unique<LeaderElection>(config, election_effects());
}

void ControllerProcess::schedule(Seconds delay, ControllerHosts::Event event) {
  env_.controllers.schedule_in(controller_, weak_from_this(), delay, std::move(event));
}

bool ControllerProcess::leads() const {
  return scheduler_ && election_->may_act(env_.now());
}

bool ControllerProcess::may_answer() const {
  return scheduler_ && election_->may_answer(env_.now());
}

void ControllerProcess::step() {
  if (!reading_ && env_.now() >= next_read_) {
    reading_ = true;
    read_records([](ControllerProcess& me, bool) {
      me.reading_ = false;
      me.next_read_ = me.env_.now() + me.env_.random.between(0.05, 0.2);
    });
  }
  election_->records_known(records_.known_at());
  election_->tick(env_.now(), records_.loaded(), records_.leader().version != 0,
                  env_.random.between(0, 1));
  resign_if_isolated_from_workers();
  if (leads()) {
    for (const auto& action : scheduler_->tick(env_.now())) perform(action);
    write_records();
  }
  if (env_.now() >= next_peer_heartbeat_) {
    next_peer_heartbeat_ = env_.now() + settings().renew_s();
    send_peer_heartbeats();
  }
}

void ControllerProcess::perform(const Action& action) {
  env_.digest.add(env_.now(), controller_, action);
  std::visit([this](const auto& what) { carry_out(what); }, action);
}
void ControllerProcess::carry_out(const SendCommands& worker_commands) {
  links_.worker_commands.send(*this, worker_commands);
}
void ControllerProcess::carry_out(const Probe& probe) {
  links_.worker_commands.send(*this, probe);
}
void ControllerProcess::carry_out(const ScaleOut& rent) {
  links_.cloud.rent(*this, rent);
}
void ControllerProcess::carry_out(const ScaleIn& release) {
  links_.cloud.release(*this, release);
}

// ---------------------------------------------------------------- leadership

LeaderElection::Effects ControllerProcess::election_effects() {
  LeaderElection::Effects effects;
  effects.grant = [this](LeaderElection::Campaign campaign, Seconds lease) {
    grant(campaign, lease);
  };
  effects.elect = [this](LeaderElection::Campaign campaign, uint64_t lease) {
    elect(campaign, lease);
  };
  effects.renew = [this](uint64_t lease) { renew(lease); };
  effects.changed = [this](LeaderElection::State from, LeaderElection::State to) {
    election_state_changed(from, to);
  };
  return effects;
}

void ControllerProcess::grant(LeaderElection::Campaign campaign, Seconds lease) {
  links_.state.request(
      controller_, StateChannel::RequestKind::Other, links_.state.grant(lease),
      [campaign, asked_at = env_.now()](ControllerProcess& me, const StateReply& reply) {
        std::optional<uint64_t> granted;
        if (reply.ok()) granted = reply.lease;
        me.election_->granted(me.env_.now(), campaign, granted, asked_at);
      });
}

void ControllerProcess::renew(uint64_t lease) {
  links_.state.request(
      controller_, StateChannel::RequestKind::Other, links_.state.renew(lease),
      [lease, sent_at = env_.now()](ControllerProcess& me, const StateReply& reply) {
        me.election_->renewed(me.env_.now(), lease, sent_at, reply.ok(),
                              reply.outcome == StateOutcome::Failed);
      },
      settings().renew_s());
}

void ControllerProcess::revoke(uint64_t lease) {
  links_.state.request(controller_, StateChannel::RequestKind::Other, links_.state.revoke(lease),
                       [](ControllerProcess&, const StateReply&) {});
}

void ControllerProcess::elect(LeaderElection::Campaign campaign, uint64_t lease) {
  const auto& last_term = records_.term();
  const uint64_t term = std::max(last_term.value.term, election_->highest_term()) + 1;
  const wire::LeaderRecord record{node_name(controller_), nonce_, term, lease};
  const Seconds end = env_.now() + settings().leader_lease_s();
  links_.state.request(
      controller_, StateChannel::RequestKind::Transaction,
      links_.state.transaction(
          {{keys::kLeader, 0}, {keys::kTerm, last_term.version}},
          {StateService::put(keys::kLeader, record, lease), StateService::put(keys::kTerm, record)},
          WriterTerm{term, nonce_}),
      [campaign, record, lease, end](ControllerProcess& me, const StateReply& reply) {
        if (reply.ok()) {
          me.records_.won_election(record, reply.revision);
          return me.read_earlier_writes(campaign, record.term, end);
        }
        me.revoke(lease);
        me.read_records([campaign](ControllerProcess& it, bool) {
          it.election_->elected(it.env_.now(), campaign, false, 0);
        });
      });
}

/// Reads all writes of earlier leaders before this process acts on the records.
void ControllerProcess::read_earlier_writes(LeaderElection::Campaign campaign, uint64_t term,
                                            Seconds end) {
  read_records([campaign, term, end](ControllerProcess& me, bool fresh) {
    const Seconds now = me.env_.now();
    if (fresh) return me.election_->elected(now, campaign, true, term);
    if (now > end) return me.election_->elected(now, campaign, false, 0);
    me.schedule(me.env_.options.lease_s * kReadRetryShare,
                [campaign, term, end](ControllerProcess& it) {
                  it.read_earlier_writes(campaign, term, end);
                });
  });
}

void ControllerProcess::election_state_changed(LeaderElection::State from,
                                               LeaderElection::State to) {
  if (to == LeaderElection::State::Follower) return stop_leading();
  if (to == LeaderElection::State::Leading && from != LeaderElection::State::LeaseExpired)
    start_leading();
}

void ControllerProcess::stop_leading() {
  // Deferred: this may run inside a call of the scheduler, which must not be destroyed before it
  // returns.
  schedule(0, [generation = generation_](ControllerProcess& me) {
    if (generation + 1 == me.generation_ &&
        me.election_->state() == LeaderElection::State::Follower)
      me.scheduler_.reset();
  });
  ++generation_;
}

void ControllerProcess::start_leading() {
  ++generation_;
  writing_ = false;
  peer_terms_.clear();
  const Seconds now = env_.now();
  scheduler_ =
      std::make_unique<Scheduler>(settings(), election_->term(), now, now + settings().answers_s());
  scheduler_->set_machine_types({machine_type(env_.options)});
  for (const auto& [id, machine] : records_.hosts())
    scheduler_->restore_machine(machine.value, now);
  for (const auto& [id, job] : records_.live())
    scheduler_->on_job_record(job.value, job.version, now);
  report_finished_dependencies();
  send_peer_heartbeats();
  links_.workers.send_kept_copies();
}

void ControllerProcess::resign_if_isolated_from_workers() {
  if (!leads() || !scheduler_->isolated_from_workers(env_.now())) return;
  const uint64_t lease = election_->lease();
  election_->resign(env_.now(), kRestAfterResigning * settings().leader_lease_s());
  revoke(lease);
}

// ---------------------------------------------------------------- answers to the leader

void ControllerProcess::on_commands_answered(uint64_t generation, const std::string& machine,
                                             const std::optional<WorkerHeartbeat>& heartbeat,
                                             bool executed) {
  if (!current(generation)) return;
  if (heartbeat)
    election_->observe_term(env_.now(), term_of_fencing_token(heartbeat->fencing_token));
  if (scheduler_) scheduler_->on_commands_answered(machine, heartbeat, executed, env_.now());
}

void ControllerProcess::on_probe_answered(uint64_t generation, const std::string& machine,
                                          const std::optional<WorkerHeartbeat>& heartbeat) {
  if (!current(generation)) return;
  if (heartbeat)
    election_->observe_term(env_.now(), term_of_fencing_token(heartbeat->fencing_token));
  if (scheduler_) scheduler_->on_probe_answered(machine, heartbeat, env_.now());
}

void ControllerProcess::on_scale_out_answered(uint64_t generation, const ScaleOut& rent,
                                              const std::vector<std::string>& machines) {
  if (!current(generation)) return;
  const auto outcome =
      machines.empty() ? Scheduler::ScaleOutOutcome::Refused : Scheduler::ScaleOutOutcome::Granted;
  scheduler_->on_scale_out_answered(rent, outcome, machines, env_.now());
}

void ControllerProcess::on_scale_in_answered(uint64_t generation, const ScaleIn& release, bool ok) {
  if (current(generation)) scheduler_->on_scale_in_answered(release, ok, env_.now());
}

}  // namespace sumacquay::simulation
