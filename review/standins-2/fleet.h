#pragma once
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "deployment.h"
#include "net/asio_conversions.h"
#include "wire/messages.h"

/// Workers and a cloud for the review's cases, small and with troubles that the project's own
/// stand-ins for real processes lack. They keep to the protocol's page.
namespace review {

using sumacquay::Command;
using sumacquay::CommandType;
using sumacquay::ExitCause;
using sumacquay::HttpClient;
using sumacquay::HttpReply;
using sumacquay::HttpRequest;
using sumacquay::HttpResult;
using sumacquay::HttpServer;
using sumacquay::JobKind;
using sumacquay::MachineType;
using sumacquay::Respond;
using sumacquay::TaskAttemptId;
using sumacquay::TaskKey;
using sumacquay::TaskState;
using sumacquay::simulators::SubmittedJobs;
using sumacquay::simulators::WorkerState;
using sumacquay::simulators::WorkerTask;

constexpr Seconds kNever = 1e12;

struct FleetContext {
  asio::io_context& io;
  Record& record;
  std::vector<Endpoint> controllers;
  std::vector<std::string> names;
  Seconds report_s = 1, lease_s = 10, fetch_s = 0.3;
  SubmittedJobs& jobs;
  sumacquay::simulators::RuleChecker& checker;
  std::mt19937_64 random{1};
  size_t reports_answered = 0, leases_lost = 0;
};

/// One worker. Arrays and services only.
class Worker {
 public:
  Worker(FleetContext& context, WorkerState state, const std::string& host)
      : context_(context), state_(std::move(state)), timer_(context.io) {
    sumacquay::HttpLimits limits;
    server_ =
        std::make_unique<HttpServer>(context.io, Endpoint{host, 0}, limits,
                                     [this](const HttpRequest& request, const Respond& respond) {
                                       on_orders(request, respond);
                                     });
    state_.addr = host + ":" + std::to_string(server_->port());
    controller_ = context.random() % context.controllers.size();
    state_.agent_epoch_started_at = steady_now();
    next_report_ = steady_now() + 0.1;
    schedule();
  }
  ~Worker() { *alive_ = false; }

  /// While sick, each task that it starts fails as soon as it has its image.
  void set_sick(bool sick) { sick_ = sick; }
  const WorkerState& state() const { return state_; }
  size_t running() const {
    size_t count = 0;
    for (const auto& [id, task] : state_.tasks)
      if (task.state == TaskState::Running) ++count;
    return count;
  }

 private:
  std::string name(const TaskAttemptId& id) const {
    return id.task.job + "/" + std::to_string(id.task.task) + " on " + state_.id;
  }

  void schedule() {
    Seconds next = in_flight_ ? kNever : next_report_;
    for (const auto& [id, task] : state_.tasks)
      if (task.active()) next = std::min(next, task.next_transition_at);
    next =
        std::min(next, state_.last_answered_heartbeat_at.value_or(state_.agent_epoch_started_at) +
                           context_.lease_s);
    timer_.expires_after(sumacquay::to_microseconds(std::max(next - steady_now(), 0.001)));
    timer_.async_wait([this](auto error) {
      if (error) return;
      const Seconds now = steady_now();
      end_session_if_expired(now);
      advance(now);
      if (!in_flight_ && now >= next_report_) report(now);
      schedule();
    });
  }

  void end_session_if_expired(Seconds now) {
    if (!state_.lease_expired(context_.lease_s, now)) return;
    ++context_.leases_lost;
    context_.record.line(state_.id + ": the lease is over, all tasks are killed");
    for (const auto& [id, task] : state_.tasks)
      if (task.active()) context_.checker.on_task_removed(state_, id.task);
    state_.restart_agent_epoch_if_expired(context_.lease_s, now);
    soon(now);
  }

  void advance(Seconds now) {
    for (auto& [id, task] : state_.tasks) {
      if (!task.active() || now < task.next_transition_at) continue;
      if (task.state == TaskState::Running) {
        exit(id, task, ExitCause::Done);
      } else if (sick_) {
        exit(id, task, ExitCause::Error);
      } else {
        auto& job = context_.jobs.at(id.task.job);
        task.state = TaskState::Running;
        task.next_transition_at = job.spec.kind == JobKind::Service ? kNever : now + job.run_s;
        if (!job.first_started_at) job.first_started_at = now;
        context_.record.line(name(id) + " runs");
        soon(now);
      }
    }
  }

  void exit(const TaskAttemptId& id, WorkerTask& task, ExitCause cause) {
    task.state = TaskState::Exited;
    task.cause = cause;
    if (cause == ExitCause::Done) context_.jobs.at(id.task.job).done.insert(id.task.task);
    context_.checker.on_task_removed(state_, id.task);
    context_.record.line(name(id) + (cause == ExitCause::Done    ? " is done"
                                     : cause == ExitCause::Error ? " fails"
                                                                 : " is stopped"));
    soon(steady_now());
  }

  void execute(const std::vector<Command>& commands, Seconds now) {
    for (const auto& command : commands) {
      const TaskAttemptId id{command.key, command.attempt};
      if (command.type == CommandType::Start) {
        if (!state_.accepts_start(command)) continue;
        WorkerTask task;
        task.next_transition_at = now + context_.fetch_s;
        state_.tasks[id] = task;
        context_.checker.on_task_started(state_, command.key, now);
        soon(now);
        continue;
      }
      WorkerTask* task = state_.find(command);
      if (!task) continue;
      if (command.type == CommandType::Discard && !task->active()) state_.tasks.erase(id);
      if (command.type == CommandType::Stop && task->active()) exit(id, *task, ExitCause::Stopped);
    }
  }

  /// A report because something changed, at most every half second.
  void soon(Seconds now) {
    next_report_ = std::min(next_report_, std::max(now, last_report_ + 0.5));
  }

  void report(Seconds now) {
    last_report_ = now;
    next_report_ = now + context_.report_s *
                             std::uniform_real_distribution<Seconds>(0.75, 1.25)(context_.random);
    if (!client_)
      client_ = std::make_unique<HttpClient>(context_.io, context_.controllers[controller_], 1, 2);
    in_flight_ = true;
    client_->request(
        "POST", "/hello", sumacquay::simulators::worker_heartbeat_body(state_.heartbeat()), 4,
        [this, alive = alive_, now, session = state_.agent_epoch](const HttpResult& result) {
          if (*alive) on_answer(result, now, session);
        });
  }

  void on_answer(const HttpResult& result, Seconds sent_at, uint64_t session) {
    in_flight_ = false;
    const Seconds now = steady_now();
    if (result.answered && result.status == 421) {
      const std::string leader = sumacquay::simulators::parse_redirect(result.body);
      const auto found = std::find(context_.names.begin(), context_.names.end(), leader);
      const auto index = static_cast<size_t>(found - context_.names.begin());
      if (found == context_.names.end() || index == controller_) {
        next_controller(now);
      } else {
        controller_ = index;
        client_.reset();
        next_report_ = now + 0.1;
      }
    } else if (!result.ok()) {
      next_controller(now);
    } else if (session == state_.agent_epoch) {
      const auto answer = sumacquay::simulators::parse_worker_commands(result.body);
      if (answer && answer->fencing_token >= state_.fencing_token) {
        ++context_.reports_answered;
        if (state_.advance_fencing_token(answer->fencing_token, context_.lease_s, now)) soon(now);
        state_.last_answered_heartbeat_at = sent_at;
        execute(answer->commands, now);
      }
    }
    schedule();
  }

  void next_controller(Seconds now) {
    controller_ = (controller_ + 1) % context_.controllers.size();
    client_.reset();
    next_report_ = now + 1;
  }

  void on_orders(const HttpRequest& request, const Respond& respond) {
    const auto orders = sumacquay::simulators::parse_worker_commands(request.body);
    if (!orders) return respond({400, {}, 0});
    const Seconds now = steady_now();
    end_session_if_expired(now);
    const bool accepted =
        orders->fencing_token >= state_.fencing_token && orders->agent_epoch == state_.agent_epoch;
    if (accepted) {
      if (state_.advance_fencing_token(orders->fencing_token, context_.lease_s, now)) soon(now);
      execute(orders->commands, now);
    }
    respond({accepted ? 200 : 409, sumacquay::simulators::worker_heartbeat_body(state_.heartbeat()),
             0});
    schedule();
  }

  FleetContext& context_;
  WorkerState state_;
  asio::steady_timer timer_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpClient> client_;
  size_t controller_ = 0;
  bool sick_ = false;
  bool in_flight_ = false;
  Seconds next_report_ = 0, last_report_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// The cloud: machines that run from the start, and no more to give. A machine that is returned is
/// replaced by a new one after the boot time if the controllers ask for it.
class Cloud {
 public:
  Cloud(FleetContext& context, const Endpoint& listen, std::vector<MachineType> types,
        size_t capacity)
      : context_(context),
        types_(std::move(types)),
        capacity_(capacity),
        server_(context.io, listen, {}, [this](const HttpRequest& request, const Respond& respond) {
          respond(answer(request));
        }) {}

  std::string add(const std::string& type, const std::string& zone) {
    const std::string id = next_id();
    machines_[id] = {type, zone, steady_now(), steady_now(), {}};
    start(id);
    return id;
  }
  Worker* worker(const std::string& id) {
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : found->second.get();
  }
  const std::map<std::string, std::unique_ptr<Worker>>& workers() const { return workers_; }

 private:
  struct Rented {
    std::string type, zone;
    Seconds since = 0, up_at = 0;
    std::optional<Seconds> gone_at;
  };

  std::string next_id() {
    char name[16];
    std::snprintf(name, sizeof name, "i-%06d", next_++);
    return name;
  }
  void start(const std::string& id) {
    WorkerState state;
    state.id = id;
    state.type = machines_.at(id).type;
    state.zone = machines_.at(id).zone;
    workers_[id] = std::make_unique<Worker>(context_, std::move(state), "127.0.0.1");
  }
  size_t active() const {
    size_t count = 0;
    for (const auto& [id, machine] : machines_)
      if (!machine.gone_at) ++count;
    return count;
  }

  HttpReply answer(const HttpRequest& request) {
    if (request.path == "/machine_types")
      return {200, sumacquay::simulators::machine_types_body(types_), 0};
    if (request.path == "/hosts/release") return release(request);
    if (request.path == "/hosts") return request.method == "POST" ? rent(request) : list();
    return {404, {}, 0};
  }
  HttpReply rent(const HttpRequest& request) {
    const auto wanted = sumacquay::simulators::parse_scale_out_request(request.body);
    if (!wanted) return {400, {}, 0};
    const auto known = answers_.find(wanted->request_name);
    if (known != answers_.end())
      return {200, sumacquay::simulators::scale_out_response_body(known->second), 0};
    const size_t used = active();
    if (used >= capacity_ || wanted->spot)
      return {503, sumacquay::wire::error_body("no capacity"), 0};
    std::vector<std::string> ids;
    for (size_t i = 0; i < std::min<size_t>(capacity_ - used, wanted->count); ++i) {
      const std::string id = next_id();
      Seconds boot_s = 30;
      for (const auto& type : types_)
        if (type.name == wanted->type) boot_s = type.boot_s;
      machines_[id] = {wanted->type, wanted->zone, steady_now(), steady_now() + boot_s, {}};
      ids.push_back(id);
      context_.record.line("cloud: " + id + " rented");
      auto timer =
          std::make_shared<asio::steady_timer>(context_.io, sumacquay::to_microseconds(boot_s));
      timer->async_wait([this, timer, id](auto error) {
        if (!error && !machines_.at(id).gone_at) start(id);
      });
    }
    answers_[wanted->request_name] = ids;
    return {200, sumacquay::simulators::scale_out_response_body(ids), 0};
  }
  HttpReply release(const HttpRequest& request) {
    const auto ids = sumacquay::simulators::parse_release(request.body);
    if (!ids) return {400, {}, 0};
    for (const auto& id : *ids) {
      const auto machine = machines_.find(id);
      if (machine == machines_.end() || machine->second.gone_at) continue;
      machine->second.gone_at = steady_now();
      context_.record.line("cloud: " + id + " returned");
      const auto worker = workers_.find(id);
      if (worker == workers_.end()) continue;
      for (const auto& [attempt, task] : worker->second->state().tasks)
        if (task.active()) context_.checker.on_task_removed(worker->second->state(), attempt.task);
      workers_.erase(worker);
    }
    return {200, sumacquay::simulators::scale_out_response_body({}), 0};
  }
  HttpReply list() const {
    const Seconds as_of = steady_now() - 8;
    std::vector<sumacquay::ListedMachine> listed;
    for (const auto& [id, machine] : machines_) {
      if (machine.since > as_of || (machine.gone_at && *machine.gone_at <= as_of)) continue;
      sumacquay::ListedMachine entry;
      entry.id = id;
      entry.type = machine.type;
      entry.zone = machine.zone;
      entry.state = machine.up_at > as_of ? sumacquay::ListedMachine::State::Booting
                                          : sumacquay::ListedMachine::State::Running;
      entry.age_s = as_of - machine.since;
      const auto worker = workers_.find(id);
      if (worker != workers_.end()) entry.addr = worker->second->state().addr;
      listed.push_back(entry);
    }
    return {200, sumacquay::simulators::machines_body(listed, false), 0};
  }

  FleetContext& context_;
  std::vector<MachineType> types_;
  size_t capacity_;
  int next_ = 1;
  std::map<std::string, Rented> machines_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<std::string, std::vector<std::string>> answers_;
  HttpServer server_;
};

inline MachineType carding_96() {
  MachineType type;
  type.name = "carding-96";
  type.capacity = {96, 8, 384};
  type.cache_gb = 600;
  type.fetch_gb_per_s = 4.6;
  type.price = 30.14;
  type.spot_price = 8.44;
  type.boot_s = 30;
  type.zones = {"biyagama-shed", "kalutara-yard", "ratmalana-hall"};
  return type;
}

}  // namespace review
