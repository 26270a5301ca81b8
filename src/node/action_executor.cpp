#include "node/action_executor.h"

#include "node/steady_time.h"
#include "wire/messages.h"

namespace sumacquay {
namespace {

/// Timeout of commands, in heartbeat periods; at most the given fraction of the worker lease.
constexpr double kCommandDeadlineHeartbeats = 1.5;
constexpr double kCommandDeadlineLeaseShare = 0.2;
/// Timeout of a probe, as a fraction of the worker lease.
constexpr double kProbeDeadlineLeaseShare = 0.05;
/// Timeout of a request to the cloud, as a fraction of the worker lease.
constexpr double kCloudDeadlineLeaseShare = 0.5;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnavailable = 503;

}  // namespace

ActionExecutor::ActionExecutor(asio::io_context& io, const Settings& settings, size_t most_workers,
                               HttpClient& cloud, LeaderElection& election,
                               ActiveScheduler& scheduler)
    : io_(io),
      settings_(settings),
      cloud_(cloud),
      election_(election),
      scheduler_(scheduler),
      workers_(io, most_workers) {}

void ActionExecutor::stop() {
  waiting_.clear();
  workers_.clear();
}

Seconds ActionExecutor::command_deadline() const {
  return std::min(settings_.heartbeat_period_s * kCommandDeadlineHeartbeats,
                  settings_.lease_s * kCommandDeadlineLeaseShare);
}

void ActionExecutor::perform(const Action& action) {
  std::visit([this](const auto& a) { perform(a); }, action);
}

/// Parses the heartbeat with which a worker answers commands, whether or not it executes them.
std::optional<WorkerHeartbeat> ActionExecutor::receive_heartbeat(const HttpResult& result) {
  if (!result.ok() && !(result.answered && result.status == kStatusConflict)) return std::nullopt;
  auto heartbeat = wire::parse_worker_heartbeat(result.body);
  if (heartbeat)
    election_.observe_term(steady_now(), term_of_fencing_token(heartbeat->fencing_token));
  return heartbeat;
}

void ActionExecutor::perform(const SendCommands& batch) {
  waiting_.push_back({batch, steady_now() + command_deadline()});
  send_waiting();
}

/// Reports an unknown outcome: the scheduler assumes that the commands may still be executed, which
/// is safe but delays the work.
void ActionExecutor::give_up(const SendCommands& batch) {
  asio::post(io_, [this, machine = batch.machine, generation = scheduler_.generation()] {
    if (Scheduler* scheduler = scheduler_.get(generation))
      scheduler->on_commands_answered(machine, std::nullopt, false, steady_now());
  });
}

void ActionExecutor::send(const SendCommands& batch, const std::shared_ptr<HttpClient>& client) {
  client->request(
      "POST", wire::path::kWorkerCommands,
      wire::worker_commands_body(batch.fencing_token, batch.agent_epoch, batch.commands),
      command_deadline(),
      [this, client, machine = batch.machine,
       generation = scheduler_.generation()](const HttpResult& result) {
        if (!scheduler_.get(generation)) return;
        const auto heartbeat = receive_heartbeat(result);
        // The scheduler that issued the commands gets the outcome even if the heartbeat's term
        // has just made this node step down: a posted handler releases the scheduler later.
        if (scheduler_)
          scheduler_->on_commands_answered(machine, heartbeat, result.ok() && heartbeat,
                                           steady_now());
        send_waiting();
      });
}

/// Sends queued commands, the oldest first, until all connections are busy. Commands whose deadline
/// has passed, or that are still queued when this node may no longer act as leader, are not sent.
void ActionExecutor::send_waiting() {
  while (!waiting_.empty()) {
    const Seconds now = steady_now();
    const bool in_time = election_.may_act(now) && now < waiting_.front().until;
    const auto client = in_time ? workers_.find_or_open(waiting_.front().batch.addr) : nullptr;
    if (in_time && !client && workers_.all_busy()) return;
    const SendCommands batch = std::move(waiting_.front().batch);
    waiting_.pop_front();
    if (client)
      send(batch, client);
    else
      give_up(batch);
  }
}

void ActionExecutor::perform(const Probe& probe) {
  const auto client = workers_.find_or_open(probe.addr);
  if (!client) return scheduler_->on_probe_not_sent(probe.machine);
  client->request("POST", wire::path::kWorkerCommands,
                  wire::worker_commands_body(probe.fencing_token, probe.agent_epoch, {}),
                  settings_.lease_s * kProbeDeadlineLeaseShare,
                  [this, client, machine = probe.machine,
                   generation = scheduler_.generation()](const HttpResult& result) {
                    if (!scheduler_.get(generation)) return;
                    const auto heartbeat = receive_heartbeat(result);
                    if (scheduler_) scheduler_->on_probe_answered(machine, heartbeat, steady_now());
                    send_waiting();
                  });
}

void ActionExecutor::perform(const ScaleOut& rent) {
  cloud_.request("POST", wire::path::kMachines,
                 wire::rent_body(rent.request, rent.type, rent.zone, rent.spot, rent.count),
                 settings_.lease_s * kCloudDeadlineLeaseShare,
                 [this, rent, generation = scheduler_.generation()](const HttpResult& result) {
                   Scheduler* scheduler = scheduler_.get(generation);
                   if (!scheduler) return;
                   const RentResult rented = read_scale_out_answer(result);
                   scheduler->on_scale_out_answered(rent, rented.outcome, rented.machines,
                                                    steady_now());
                 });
}

void ActionExecutor::perform(const ScaleIn& release) {
  cloud_.request("POST", wire::path::kRelease, wire::release_body(release.machines),
                 settings_.lease_s * kCloudDeadlineLeaseShare,
                 [this, release, generation = scheduler_.generation()](const HttpResult& result) {
                   if (Scheduler* scheduler = scheduler_.get(generation))
                     scheduler->on_scale_in_answered(release, result.ok(), steady_now());
                 });
}

RentResult read_scale_out_answer(const HttpResult& result) {
  RentResult rented;
  if (result.ok()) {
    if (auto machines = wire::parse_rented(result.body)) {
      rented.outcome = Scheduler::ScaleOutOutcome::Granted;
      rented.machines = std::move(*machines);
    }
    return rented;
  }
  const bool refused = result.status == kStatusUnavailable || result.status == kStatusBadRequest;
  if (result.answered && refused) rented.outcome = Scheduler::ScaleOutOutcome::Refused;
  return rented;
}

}  // namespace sumacquay
