#include "simulators/simulated_worker.h"

#include <algorithm>
#include <utility>

#include "node/steady_time.h"
#include "simulators/messages.h"
#include "wire/messages.h"

namespace sumacquay::simulators {
namespace {

/// Timeout of a heartbeat request.
constexpr Seconds kHeartbeatTimeout = 4;
/// Delay of the heartbeat to the next controller after a failure or an unusable redirect.
constexpr Seconds kNextControllerDelay = 1;
/// Shortest interval between two heartbeats.
constexpr Seconds kMinHeartbeatInterval = 0.5;
constexpr double kMinPeriodFactor = 0.75;
constexpr double kMaxPeriodFactor = 1.25;
constexpr size_t kMaxCommandConnections = 8;
constexpr size_t kHeartbeatConnections = 1;
constexpr size_t kMaxQueuedHeartbeats = 2;
/// Estimated size of the HTTP headers of a message, for the byte counters.
constexpr uint64_t kHttpHeaderBytes = 110;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kMisdirectedRequest = 421;

/// Later than any event of a trial.
constexpr Seconds kNever = 1e12;

HttpLimits command_limits() {
  HttpLimits limits;
  limits.max_connections = kMaxCommandConnections;
  return limits;
}

}  // namespace

SimulatedWorker::SimulatedWorker(WorkerContext& context, WorkerState state, const Endpoint& listen)
    : context_(context), state_(std::move(state)), timer_(context.io) {
  server_ =
      std::make_unique<HttpServer>(context.io, listen, command_limits(),
                                   [this](const HttpRequest& request, const Respond& respond) {
                                     on_commands(request, respond);
                                   });
  state_.addr = listen.host + ":" + std::to_string(server_->port());
  controller_index_ = context.random() % context.controllers.size();
}

SimulatedWorker::~SimulatedWorker() {
  *alive_ = false;
  for (const auto& [id, task] : state_.tasks)
    if (task.active()) context_.checker.on_task_removed(state_, id.task);
}

Seconds SimulatedWorker::random_between(Seconds low, Seconds high) {
  return std::uniform_real_distribution<Seconds>(low, high)(context_.random);
}

void SimulatedWorker::start() {
  const Seconds now = steady_now();
  state_.agent_epoch_started_at = now;
  next_heartbeat_ = now + random_between(0, context_.timing.heartbeat_period_s);
  schedule_wake_up();
}

void SimulatedWorker::set_partitioned(bool partitioned) {
  partitioned_ = partitioned;
  if (partitioned) server_->close_all();
}

// ---------------------------------------------------------------- timer

void SimulatedWorker::schedule_wake_up() {
  Seconds next = heartbeat_in_flight_ ? kNever : next_heartbeat_;
  for (const auto& [id, task] : state_.tasks)
    if (task.active()) next = std::min(next, task.next_transition_at);
  const Seconds lease_end =
      state_.last_answered_heartbeat_at.value_or(state_.agent_epoch_started_at) +
      context_.timing.lease_s;
  next = std::min(next, lease_end);
  constexpr Seconds kMinTimerDelay = 0.001;
  timer_.expires_after(to_microseconds(std::max(next - steady_now(), kMinTimerDelay)));
  timer_.async_wait([this](auto error) {
    if (!error) on_wake_up();
  });
}

void SimulatedWorker::on_wake_up() {
  const Seconds now = steady_now();
  end_agent_epoch_if_expired(now);
  advance_tasks(now);
  if (!heartbeat_in_flight_ && now >= next_heartbeat_) send_heartbeat(now);
  schedule_wake_up();
}

void SimulatedWorker::end_agent_epoch_if_expired(Seconds now) {
  if (!state_.lease_expired(context_.timing.lease_s, now)) return;
  ++context_.counts.leases_lost;
  std::vector<TaskAttemptId> ended_attempts;
  for (const auto& [id, task] : state_.tasks)
    if (task.active()) ended_attempts.push_back(id);
  for (const auto& id : ended_attempts) context_.checker.on_task_removed(state_, id.task);
  state_.restart_agent_epoch_if_expired(context_.timing.lease_s, now);
  for (const auto& id : ended_attempts) context_.gang_task_lost(id.task, id.attempt);
  expedite_heartbeat(now);
}

// ---------------------------------------------------------------- tasks

void SimulatedWorker::advance_tasks(Seconds now) {
  std::vector<TaskAttemptId> due;
  for (const auto& [id, task] : state_.tasks)
    if (task.active() && now >= task.next_transition_at) due.push_back(id);
  for (const auto& id : due) {
    const auto task = state_.tasks.find(id);
    if (task != state_.tasks.end()) advance_task(id, task->second, now);
  }
}

void SimulatedWorker::advance_task(const TaskAttemptId& id, WorkerTask& task, Seconds now) {
  const SubmittedJob& job = context_.jobs.at(id.task.job);
  switch (task.state) {
    case TaskState::Fetching:
      if (job.spec.kind != JobKind::Gang) return set_running(id, task, job.run_s, now);
      task.state = TaskState::Waiting;
      task.next_transition_at = now + context_.timing.gang_wait_s;
      expedite_heartbeat(now);
      return context_.gang_task_ready(state_.id, id.task, id.attempt);
    case TaskState::Waiting:
      return set_exited(id, task, ExitCause::GangIncomplete);
    case TaskState::Running:
      return set_exited(id, task, ExitCause::Done);
    case TaskState::Checkpointing:
    case TaskState::Exited:
      return;
  }
}

void SimulatedWorker::set_running(const TaskAttemptId& id, WorkerTask& task, Seconds run_s,
                                  Seconds now) {
  const bool service = context_.jobs.at(id.task.job).spec.kind == JobKind::Service;
  task.state = TaskState::Running;
  task.next_transition_at = service ? kNever : now + run_s;
  context_.task_running(id.task.job);
  expedite_heartbeat(now);
}

void SimulatedWorker::set_exited(const TaskAttemptId& id, WorkerTask& task, ExitCause cause) {
  task.state = TaskState::Exited;
  task.cause = cause;
  if (cause == ExitCause::Done) context_.jobs.at(id.task.job).done.insert(id.task.task);
  context_.checker.on_task_removed(state_, id.task);
  expedite_heartbeat(steady_now());
  if (cause != ExitCause::Done) context_.gang_task_lost(id.task, id.attempt);
}

void SimulatedWorker::start_gang_task(const TaskKey& key, uint64_t attempt, Seconds run_s) {
  const TaskAttemptId id{key, attempt};
  const auto task = state_.tasks.find(id);
  if (task == state_.tasks.end() || task->second.state != TaskState::Waiting) return;
  set_running(id, task->second, run_s, steady_now());
  schedule_wake_up();
}

void SimulatedWorker::end_gang_task(const TaskKey& key, uint64_t attempt, ExitCause cause) {
  const TaskAttemptId id{key, attempt};
  const auto task = state_.tasks.find(id);
  if (task == state_.tasks.end() || !task->second.active()) return;
  set_exited(id, task->second, cause);
  schedule_wake_up();
}

void SimulatedWorker::execute(const std::vector<Command>& commands, Seconds now) {
  for (const auto& command : commands) {
    if (command.type == CommandType::Start) {
      start_task(command, now);
      continue;
    }
    const TaskAttemptId id{command.key, command.attempt};
    WorkerTask* task = state_.find(command);
    if (!task) continue;
    if (command.type == CommandType::Discard && !task->active()) state_.tasks.erase(id);
    if (command.type == CommandType::Stop && task->active())
      set_exited(id, *task, ExitCause::Stopped);
  }
}

void SimulatedWorker::start_task(const Command& command, Seconds now) {
  if (!state_.accepts_start(command)) return;
  const auto job = context_.jobs.find(command.key.job);
  WorkerTask task;
  if (job == context_.jobs.end()) {
    task.state = TaskState::Exited;
    task.cause = ExitCause::Unknown;
  } else {
    task.next_transition_at = now + random_between(0.5, 1.5) * context_.timing.fetch_s;
    context_.checker.on_task_started(state_, command.key, now);
  }
  state_.tasks[{command.key, command.attempt}] = task;
  expedite_heartbeat(now);
}

// ---------------------------------------------------------------- heartbeats

void SimulatedWorker::expedite_heartbeat(Seconds now) {
  next_heartbeat_ =
      std::min(next_heartbeat_, std::max(now, last_heartbeat_ + kMinHeartbeatInterval));
}

void SimulatedWorker::advance_fencing_token(uint64_t seen, Seconds now) {
  if (state_.advance_fencing_token(seen, context_.timing.lease_s, now)) expedite_heartbeat(now);
}

void SimulatedWorker::send_heartbeat(Seconds now) {
  last_heartbeat_ = now;
  next_heartbeat_ =
      now + context_.timing.heartbeat_period_s * random_between(kMinPeriodFactor, kMaxPeriodFactor);
  if (partitioned_) return switch_to_next_controller(now);
  if (!client_)
    client_ = std::make_unique<HttpClient>(context_.io, context_.controllers[controller_index_],
                                           kHeartbeatConnections, kMaxQueuedHeartbeats);
  const std::string body = worker_heartbeat_body(state_.heartbeat());
  ++context_.counts.heartbeats;
  context_.counts.bytes_out += body.size() + kHttpHeaderBytes;
  heartbeat_in_flight_ = true;
  client_->request(
      "POST", wire::path::kWorkerHeartbeat, body, kHeartbeatTimeout,
      [this, alive = alive_, now, agent_epoch = state_.agent_epoch](const HttpResult& result) {
        if (*alive) on_heartbeat_response(result, now, agent_epoch);
      });
}

void SimulatedWorker::on_heartbeat_response(const HttpResult& result, Seconds sent_at,
                                            uint64_t agent_epoch) {
  const Seconds now = steady_now();
  heartbeat_in_flight_ = false;
  context_.counts.bytes_in += result.body.size() + (result.answered ? kHttpHeaderBytes : 0);
  const bool reachable = !partitioned_ && result.answered;
  if (reachable && result.status == kMisdirectedRequest) {
    ++context_.counts.redirects;
    switch_controller(parse_redirect(result.body), now);
  } else if (!reachable || !result.ok()) {
    switch_to_next_controller(now);
  } else if (agent_epoch == state_.agent_epoch) {
    on_leader_response(result.body, sent_at, now);
  }
  schedule_wake_up();
}

/// A 200 response renews the lease unless its fencing token is older than the newest one seen.
void SimulatedWorker::on_leader_response(const std::string& body, Seconds sent_at, Seconds now) {
  const auto worker_commands = parse_worker_commands(body);
  if (!worker_commands || worker_commands->fencing_token < state_.fencing_token) return;
  ++context_.counts.heartbeats_answered;
  advance_fencing_token(worker_commands->fencing_token, now);
  state_.last_answered_heartbeat_at = sent_at;
  execute(worker_commands->commands, now);
}

void SimulatedWorker::switch_controller(const std::string& controller, Seconds now) {
  const auto& names = context_.controller_names;
  const auto found = std::find(names.begin(), names.end(), controller);
  const auto index = static_cast<size_t>(found - names.begin());
  if (found == names.end() || index == controller_index_) return switch_to_next_controller(now);
  controller_index_ = index;
  client_.reset();
  next_heartbeat_ = now + random_between(0, kMinHeartbeatInterval);
}

void SimulatedWorker::switch_to_next_controller(Seconds now) {
  controller_index_ = (controller_index_ + 1) % context_.controllers.size();
  client_.reset();
  next_heartbeat_ = now + kNextControllerDelay;
}

// ---------------------------------------------------------------- commands

void SimulatedWorker::on_commands(const HttpRequest& request, const Respond& respond) {
  if (partitioned_) return;  // the controller's request times out
  ++context_.counts.worker_commands;
  context_.counts.bytes_in += request.body.size() + kHttpHeaderBytes;
  const auto worker_commands = parse_worker_commands(request.body);
  if (!worker_commands) return respond({kBadRequest, {}, 0});
  const Seconds now = steady_now();
  end_agent_epoch_if_expired(now);
  const bool accepted = worker_commands->fencing_token >= state_.fencing_token &&
                        worker_commands->agent_epoch == state_.agent_epoch;
  if (accepted) {
    advance_fencing_token(worker_commands->fencing_token, now);
    execute(worker_commands->commands, now);
  }
  const std::string body = worker_heartbeat_body(state_.heartbeat());
  context_.counts.bytes_out += body.size() + kHttpHeaderBytes;
  respond({accepted ? kOk : kConflict, body, 0});
  schedule_wake_up();
}

}  // namespace sumacquay::simulators
