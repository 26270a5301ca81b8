#include "simulation/controller_process.h"

#include <algorithm>
#include <utility>

#include "simulation/cloud.h"
#include "simulation/command_channel.h"
#include "simulation/workers.h"

namespace sumacquay::simulation {

namespace {
/// Delay before a failed read of the records is retried, as a fraction of the worker lease.
constexpr double kReadRetryDelayFraction = 0.005;
/// How long a leader that resigned for lack of worker heartbeats stays out of elections, in leader
/// leases.
constexpr double kElectionPauseLeaderLeases = 2;
}  // namespace

void ControllerProcess::start(Environment& environment, const ControllerConnections& connections,
                              size_t controller, uint64_t nonce) {
  environment.controllers[controller].process =
      std::make_shared<ControllerProcess>(environment, connections, controller, nonce);
}

ControllerProcess::ControllerProcess(Environment& environment,
                                     const ControllerConnections& connections, size_t controller,
                                     uint64_t nonce)
    : env_(environment),
      connections_(connections),
      controller_(controller),
      nonce_(nonce),
      last_store_success_at_(environment.now()) {
  delegated_responder_ = std::make_unique<DelegatedResponder>(
      nonce, settings().delegate_takeover_s(), settings().answer_grace_s());
  LeaderElection::Config config;
  config.lease = settings().leader_lease_s();
  config.renew = settings().leader_renewal_interval_s();
  config.grace = settings().answer_grace_s();
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
  if (!read_in_flight_ && env_.now() >= next_read_) {
    read_in_flight_ = true;
    read_records([](ControllerProcess& self, bool) {
      self.read_in_flight_ = false;
      self.next_read_ = self.env_.now() + self.env_.random.between(0.05, 0.2);
    });
  }
  election_->set_records_current_at(records_.fresh_as_of());
  election_->tick(env_.now(), records_.loaded(), records_.leader().version != 0,
                  env_.random.between(0, 1));
  resign_if_isolated_from_workers();
  if (leads()) {
    for (const auto& action : scheduler_->tick(env_.now())) perform(action);
    write_records();
  }
  if (env_.now() >= next_peer_heartbeat_) {
    next_peer_heartbeat_ = env_.now() + settings().leader_renewal_interval_s();
    send_peer_heartbeats();
  }
}

void ControllerProcess::perform(const Action& action) {
  env_.digest.add(env_.now(), controller_, action);
  std::visit([this](const auto& alternative) { execute(alternative); }, action);
}
void ControllerProcess::execute(const SendCommands& worker_commands) {
  connections_.commands.send(*this, worker_commands);
}
void ControllerProcess::execute(const Probe& probe) {
  connections_.commands.send(*this, probe);
}
void ControllerProcess::execute(const ScaleOut& scale_out) {
  connections_.cloud.scale_out(*this, scale_out);
}
void ControllerProcess::execute(const ScaleIn& scale_in) {
  connections_.cloud.scale_in(*this, scale_in);
}

// ---------------------------------------------------------------- leadership

LeaderElection::Effects ControllerProcess::election_effects() {
  LeaderElection::Effects effects;
  effects.grant = [this](LeaderElection::Campaign campaign, Seconds lease) {
    grant_lease(campaign, lease);
  };
  effects.elect = [this](LeaderElection::Campaign campaign, uint64_t lease) {
    run_for_election(campaign, lease);
  };
  effects.renew = [this](uint64_t lease) { renew_lease(lease); };
  effects.state_changed = [this](LeaderElection::State from, LeaderElection::State to) {
    on_election_state_changed(from, to);
  };
  return effects;
}

void ControllerProcess::grant_lease(LeaderElection::Campaign campaign, Seconds lease) {
  connections_.store.request(
      controller_, StoreChannel::RequestKind::Other, connections_.store.grant_lease(lease),
      [campaign, sent_at = env_.now()](ControllerProcess& self, const StoreReply& reply) {
        std::optional<uint64_t> granted;
        if (reply.ok()) granted = reply.lease;
        self.election_->granted(self.env_.now(), campaign, granted, sent_at);
      });
}

void ControllerProcess::renew_lease(uint64_t lease) {
  connections_.store.request(
      controller_, StoreChannel::RequestKind::Other, connections_.store.renew_lease(lease),
      [lease, sent_at = env_.now()](ControllerProcess& self, const StoreReply& reply) {
        self.election_->renewed(self.env_.now(), lease, sent_at, reply.ok(),
                                reply.outcome == StoreOutcome::Failed);
      },
      settings().leader_renewal_interval_s());
}

void ControllerProcess::revoke_lease(uint64_t lease) {
  connections_.store.request(controller_, StoreChannel::RequestKind::Other,
                             connections_.store.revoke_lease(lease),
                             [](ControllerProcess&, const StoreReply&) {});
}

void ControllerProcess::run_for_election(LeaderElection::Campaign campaign, uint64_t lease) {
  const auto& last_term = records_.term();
  const uint64_t term = std::max(last_term.value.term, election_->highest_term()) + 1;
  const wire::LeaderRecord record{node_name(controller_), nonce_, term, lease};
  const Seconds end = env_.now() + settings().leader_lease_s();
  connections_.store.request(
      controller_, StoreChannel::RequestKind::Transaction,
      connections_.store.transaction({{keys::kLeader, 0}, {keys::kTerm, last_term.version}},
                                     {SimulatedStore::put(keys::kLeader, record, lease),
                                      SimulatedStore::put(keys::kTerm, record)},
                                     WriterTerm{term, nonce_}),
      [campaign, record, lease, end](ControllerProcess& self, const StoreReply& reply) {
        if (reply.ok()) {
          self.records_.on_election_won(record, reply.revision);
          return self.read_earlier_writes(campaign, record.term, end);
        }
        self.revoke_lease(lease);
        self.read_records([campaign](ControllerProcess& process, bool) {
          process.election_->elected(process.env_.now(), campaign, false, 0);
        });
      });
}

/// Reads all writes of earlier leaders before this process acts on the records.
void ControllerProcess::read_earlier_writes(LeaderElection::Campaign campaign, uint64_t term,
                                            Seconds end) {
  read_records([campaign, term, end](ControllerProcess& self, bool fresh) {
    const Seconds now = self.env_.now();
    if (fresh) return self.election_->elected(now, campaign, true, term);
    if (now > end) return self.election_->elected(now, campaign, false, 0);
    self.schedule(self.env_.options.lease_s * kReadRetryDelayFraction,
                  [campaign, term, end](ControllerProcess& process) {
                    process.read_earlier_writes(campaign, term, end);
                  });
  });
}

void ControllerProcess::on_election_state_changed(LeaderElection::State from,
                                                  LeaderElection::State to) {
  if (to == LeaderElection::State::Follower) return stop_leading();
  if (to == LeaderElection::State::Leading && from != LeaderElection::State::LeaseExpired)
    start_leading();
}

void ControllerProcess::stop_leading() {
  // Deferred: this may run inside a call of the scheduler, which must not be destroyed before it
  // returns.
  schedule(0, [generation = generation_](ControllerProcess& self) {
    if (generation + 1 == self.generation_ &&
        self.election_->state() == LeaderElection::State::Follower)
      self.scheduler_.reset();
  });
  ++generation_;
}

void ControllerProcess::start_leading() {
  ++generation_;
  write_in_flight_ = false;
  peer_terms_.clear();
  const Seconds now = env_.now();
  scheduler_ = std::make_unique<Scheduler>(settings(), election_->term(), now,
                                           now + settings().answer_grace_s());
  scheduler_->set_machine_types({machine_type(env_.options)});
  for (const auto& [id, machine] : records_.hosts())
    scheduler_->restore_machine(machine.value, now);
  for (const auto& [id, job] : records_.live_jobs())
    scheduler_->on_job_record(job.value, job.version, now);
  report_finished_dependencies();
  send_peer_heartbeats();
  connections_.workers.send_kept_duplicates();
}

void ControllerProcess::resign_if_isolated_from_workers() {
  if (!leads() || !scheduler_->isolated_from_workers(env_.now())) return;
  const uint64_t lease = election_->lease();
  election_->resign(env_.now(), kElectionPauseLeaderLeases * settings().leader_lease_s());
  revoke_lease(lease);
}

// ---------------------------------------------------------------- answers to the leader

void ControllerProcess::on_commands_answered(uint64_t generation, const std::string& machine,
                                             const std::optional<WorkerHeartbeat>& heartbeat,
                                             bool executed) {
  if (!is_current(generation)) return;
  if (heartbeat)
    election_->observe_term(env_.now(), term_of_fencing_token(heartbeat->fencing_token));
  if (scheduler_) scheduler_->on_commands_answered(machine, heartbeat, executed, env_.now());
}

void ControllerProcess::on_probe_answered(uint64_t generation, const std::string& machine,
                                          const std::optional<WorkerHeartbeat>& heartbeat) {
  if (!is_current(generation)) return;
  if (heartbeat)
    election_->observe_term(env_.now(), term_of_fencing_token(heartbeat->fencing_token));
  if (scheduler_) scheduler_->on_probe_answered(machine, heartbeat, env_.now());
}

void ControllerProcess::on_scale_out_answered(uint64_t generation, const ScaleOut& scale_out,
                                              const std::vector<std::string>& machines) {
  if (!is_current(generation)) return;
  const auto outcome =
      machines.empty() ? Scheduler::ScaleOutOutcome::Refused : Scheduler::ScaleOutOutcome::Granted;
  scheduler_->on_scale_out_answered(scale_out, outcome, machines, env_.now());
}

void ControllerProcess::on_scale_in_answered(uint64_t generation, const ScaleIn& scale_in,
                                             bool ok) {
  if (is_current(generation)) scheduler_->on_scale_in_answered(scale_in, ok, env_.now());
}

}  // namespace sumacquay::simulation
