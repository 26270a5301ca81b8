#include "node/action_executor.h"

#include "logging/log_event.h"
#include "node/steady_time.h"
#include "wire/messages.h"

namespace sumacquay {
namespace {

/// Timeout of commands, in heartbeat periods; at most the given fraction of the worker lease.
constexpr double kCommandTimeoutHeartbeatPeriods = 1.5;
constexpr double kCommandTimeoutLeaseFraction = 0.2;
/// Timeout of a probe, as a fraction of the worker lease.
constexpr double kProbeTimeoutLeaseFraction = 0.05;
/// Timeout of a request to the cloud, as a fraction of the worker lease.
constexpr double kCloudTimeoutLeaseFraction = 0.5;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnavailable = 503;

/// Logs that a worker has answered, but not with the heartbeat that it owes to commands and probes.
void log_refusal(const std::string& machine, const HttpResult& result, bool has_heartbeat) {
  if (!result.answered || has_heartbeat) return;
  log_warning("commands_refused", log_field("machine", machine),
              log_field("status", result.status));
}

}  // namespace

ActionExecutor::ActionExecutor(asio::io_context& io, const Settings& settings,
                               size_t max_worker_connections, HttpClient& cloud,
                               LeaderElection& election, ActiveScheduler& scheduler)
    : io_(io),
      settings_(settings),
      cloud_(cloud),
      election_(election),
      scheduler_(scheduler),
      workers_(io, max_worker_connections) {}

void ActionExecutor::stop() {
  queued_.clear();
  workers_.clear();
}

Seconds ActionExecutor::command_timeout() const {
  return std::min(settings_.heartbeat_period_s * kCommandTimeoutHeartbeatPeriods,
                  settings_.lease_s * kCommandTimeoutLeaseFraction);
}

void ActionExecutor::perform(const Action& action) {
  std::visit([this](const auto& concrete_action) { perform(concrete_action); }, action);
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
  queued_.push_back({batch, steady_now() + command_timeout()});
  send_queued();
}

/// Reports an unknown outcome: the scheduler assumes that the commands may still be executed, which
/// is safe but delays the work.
void ActionExecutor::report_unknown_outcome(const SendCommands& batch) {
  asio::post(io_, [this, machine = batch.machine, generation = scheduler_.generation()] {
    if (Scheduler* scheduler = scheduler_.get(generation))
      scheduler->on_commands_answered(machine, std::nullopt, false, steady_now());
  });
}

void ActionExecutor::send(const SendCommands& batch, const std::shared_ptr<HttpClient>& client) {
  client->request(
      "POST", wire::path::kWorkerCommands,
      wire::worker_commands_body(batch.fencing_token, batch.agent_epoch, batch.commands),
      command_timeout(),
      [this, client, machine = batch.machine,
       generation = scheduler_.generation()](const HttpResult& result) {
        if (!scheduler_.get(generation)) return;
        const auto heartbeat = receive_heartbeat(result);
        log_refusal(machine, result, heartbeat.has_value());
        // The scheduler that issued the commands gets the outcome even if the heartbeat's term
        // has just made this node step down: a posted handler releases the scheduler later.
        if (scheduler_)
          scheduler_->on_commands_answered(machine, heartbeat, result.ok() && heartbeat,
                                           steady_now());
        send_queued();
      });
}

/// Sends queued commands, the oldest first, until all connections are busy. Commands whose
/// deadline has passed, or that are still queued when this node may no longer act as leader, are
/// not sent.
void ActionExecutor::send_queued() {
  while (!queued_.empty()) {
    const Seconds now = steady_now();
    const bool sendable = election_.may_act(now) && now < queued_.front().deadline;
    const auto client = sendable ? workers_.find_or_create(queued_.front().batch.addr) : nullptr;
    if (sendable && !client && workers_.all_busy()) return;
    const SendCommands batch = std::move(queued_.front().batch);
    queued_.pop_front();
    if (client)
      send(batch, client);
    else
      report_unknown_outcome(batch);
  }
}

void ActionExecutor::perform(const Probe& probe) {
  const auto client = workers_.find_or_create(probe.addr);
  if (!client) return scheduler_->on_probe_not_sent(probe.machine);
  client->request("POST", wire::path::kWorkerCommands,
                  wire::worker_commands_body(probe.fencing_token, probe.agent_epoch, {}),
                  settings_.lease_s * kProbeTimeoutLeaseFraction,
                  [this, client, machine = probe.machine,
                   generation = scheduler_.generation()](const HttpResult& result) {
                    if (!scheduler_.get(generation)) return;
                    const auto heartbeat = receive_heartbeat(result);
                    log_refusal(machine, result, heartbeat.has_value());
                    if (scheduler_) scheduler_->on_probe_answered(machine, heartbeat, steady_now());
                    send_queued();
                  });
}

void ActionExecutor::perform(const ScaleOut& scale_out) {
  cloud_.request("POST", wire::path::kMachines,
                 wire::scale_out_body(scale_out.request_name, scale_out.type, scale_out.zone,
                                      scale_out.spot, scale_out.count),
                 settings_.lease_s * kCloudTimeoutLeaseFraction,
                 [this, scale_out, generation = scheduler_.generation()](const HttpResult& result) {
                   Scheduler* scheduler = scheduler_.get(generation);
                   if (!scheduler) return;
                   const ScaleOutResult scale_out_answer = read_scale_out_answer(result);
                   scheduler->on_scale_out_answered(scale_out, scale_out_answer.outcome,
                                                    scale_out_answer.machines, steady_now());
                 });
}

void ActionExecutor::perform(const ScaleIn& scale_in) {
  cloud_.request("POST", wire::path::kRelease, wire::release_body(scale_in.machines),
                 settings_.lease_s * kCloudTimeoutLeaseFraction,
                 [this, scale_in, generation = scheduler_.generation()](const HttpResult& result) {
                   if (Scheduler* scheduler = scheduler_.get(generation))
                     scheduler->on_scale_in_answered(scale_in, result.ok(), steady_now());
                 });
}

ScaleOutResult read_scale_out_answer(const HttpResult& result) {
  ScaleOutResult scale_out_answer;
  if (result.ok()) {
    if (auto machines = wire::parse_scale_out_response(result.body)) {
      scale_out_answer.outcome = Scheduler::ScaleOutOutcome::Granted;
      scale_out_answer.machines = std::move(*machines);
    }
    return scale_out_answer;
  }
  const bool refused = result.status == kStatusUnavailable || result.status == kStatusBadRequest;
  if (result.answered && refused) scale_out_answer.outcome = Scheduler::ScaleOutOutcome::Refused;
  return scale_out_answer;
}

}  // namespace sumacquay
