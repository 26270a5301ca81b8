#include "platform.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

#include "wire/messages.h"

namespace review {

namespace sim = sumacquay::simulators;
namespace wire = sumacquay::wire;

namespace {

const auto kStart = std::chrono::steady_clock::now();
constexpr double kTick = 0.02;
constexpr double kReportTimeout = 4;

/// A port that is free now, below the range from which the system takes ports for clients.
unsigned short free_port() {
  static std::mt19937 random{std::random_device{}()};
  static std::set<unsigned short> taken;
  for (;;) {
    const auto port = static_cast<unsigned short>(12000 + random() % 20000);
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io);
    acceptor.open(asio::ip::tcp::v4());
    asio::error_code error;
    acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, error);
    if (!error && taken.insert(port).second) return port;
  }
}

Endpoint free_endpoint() {
  return {"127.0.0.1", free_port()};
}

std::string format(const char* pattern, double value) {
  char text[64];
  std::snprintf(text, sizeof text, pattern, value);
  return text;
}

const char* name_of(ExitCause cause) {
  switch (cause) {
    case ExitCause::Done:
      return "done";
    case ExitCause::Stopped:
      return "stopped";
    case ExitCause::GangMemberGone:
      return "mates_gone";
    case ExitCause::GangIncomplete:
      return "alone";
    case ExitCause::Error:
      return "error";
    case ExitCause::InsufficientResources:
      return "no_room";
    case ExitCause::Busy:
      return "in_use";
    case ExitCause::Unknown:
      return "unknown";
    case ExitCause::None:
      break;
  }
  return "none";
}

std::string text_of(const TaskKey& key, uint64_t attempt) {
  return key.job + "/" + std::to_string(key.task) + " try " + std::to_string(attempt);
}

uint64_t number(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStart).count();
}

bool trouble() {
  const char* text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

JobSpec array_job(const std::string& id, const std::string& team, uint32_t tasks, Resources each) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = "class";
  spec.team = team;
  spec.image = "image-0";
  spec.tasks = tasks;
  spec.request = each;
  spec.estimate_s = 1;
  return spec;
}

// ---------------------------------------------------------------- workers

Worker::Worker(Platform& platform, std::string id_, MachineType type_, std::string zone_,
               bool spot_)
    : id(std::move(id_)),
      zone(std::move(zone_)),
      type(std::move(type_)),
      spot(spot_),
      addr(free_endpoint()),
      platform_(platform),
      session_began_(now()),
      next_report_(now()) {
  controller_ = platform.random() % platform.controllers.size();
  sumacquay::HttpLimits limits;
  limits.max_connections = 16;
  server_ = std::make_unique<HttpServer>(
      platform.io, addr, limits,
      [this](const HttpRequest& request, const Respond& respond) { on_request(request, respond); });
}

Worker::~Worker() {
  *alive_ = false;
}

std::string Worker::report() {
  sumacquay::WorkerHeartbeat heartbeat;
  heartbeat.machine = id;
  heartbeat.addr = addr.to_string();
  heartbeat.type = type.name;
  heartbeat.zone = zone;
  heartbeat.spot = spot;
  heartbeat.agent_epoch = shift_;
  heartbeat.sequence_number = ++tally_;
  heartbeat.fencing_token = token_;
  for (const auto& [key, attempt] : attempts)
    heartbeat.tasks.push_back({key.first, key.second, attempt.state, attempt.cause});
  return sim::worker_heartbeat_body(heartbeat);
}

/// A change is reported at once, but not more often than every half second.
void Worker::changed() {
  next_report_ = std::min(next_report_, std::max(now(), last_report_ + 0.5));
}

void Worker::tick() {
  const double t = now();
  if (t < hangs_until) return;
  const double counted_from = last_answered_sent_ >= 0 ? last_answered_sent_ : session_began_;
  if (t > counted_from + platform_.options.lease_s) {
    platform_.record("worker " + id + ": lease expired, session " + std::to_string(shift_ + 1));
    std::vector<std::pair<std::string, uint64_t>> gangs;
    for (const auto& [key, attempt] : attempts)
      if (attempt.active()) gangs.emplace_back(key.first.job, key.second);
    attempts.clear();
    fetches_.clear();
    ++shift_;
    session_began_ = t;
    last_answered_sent_ = -1;
    for (const auto& [job, attempt] : gangs) platform_.gang_changed(job, attempt);
    changed();
  }
  for (const auto& [request, respond] : std::exchange(held_, {})) handle_request(request, respond);
  fetch_images();
  std::vector<AttemptKey> due;
  for (const auto& [key, attempt] : attempts)
    if ((attempt.state == TaskState::Running || attempt.state == TaskState::Waiting) &&
        attempt.due_at > 0 && t >= attempt.due_at)
      due.push_back(key);
  for (const auto& key : due) {
    const auto found = attempts.find(key);
    if (found == attempts.end()) continue;
    if (found->second.state == TaskState::Waiting)
      set_exited(key, found->second, ExitCause::GangIncomplete);
    else if (found->second.state == TaskState::Running)
      set_exited(key, found->second, ExitCause::Done);
  }
  if (!in_flight_ && t >= next_report_) send_report();
}

/// One fetch serves all tasks that need the image; it is given up when no task waits for it.
void Worker::fetch_images() {
  const double t = now();
  std::set<std::string> wanted;
  for (auto& [key, attempt] : attempts) {
    if (attempt.state != TaskState::Fetching) continue;
    const Job& job = *platform_.find_job(key.first.job);
    if (job.spec.image.empty() || images.contains(job.spec.image)) continue;
    wanted.insert(job.spec.image);
    if (!fetches_.contains(job.spec.image))
      fetches_[job.spec.image] = t + job.spec.image_gb / type.fetch_gb_per_s;
  }
  std::erase_if(fetches_, [&](const auto& fetch) { return !wanted.contains(fetch.first); });
  for (const auto& [image, at] : std::map<std::string, double>(fetches_))
    if (t >= at) {
      images[image] = t;
      fetches_.erase(image);
    }
  std::vector<AttemptKey> ready;
  for (auto& [key, attempt] : attempts) {
    if (attempt.state != TaskState::Fetching) continue;
    const Job& job = *platform_.find_job(key.first.job);
    if (job.spec.image.empty() || images.contains(job.spec.image)) ready.push_back(key);
  }
  for (const auto& key : ready) {
    const auto found = attempts.find(key);
    if (found == attempts.end() || found->second.state != TaskState::Fetching) continue;
    Job& job = *platform_.find_job(key.first.job);
    platform_.check_start(*this, key.first);
    if (job.done.contains(key.first.task)) {
      set_exited(key, found->second, ExitCause::Done);
    } else if (sick) {
      set_exited(key, found->second, ExitCause::Error);
    } else if (job.spec.kind == JobKind::Gang && job.spec.tasks > 1) {
      found->second.state = TaskState::Waiting;
      found->second.due_at = t + platform_.options.gang_wait_s;
      platform_.record("worker " + id + ": " + text_of(key.first, key.second) + " waiting");
      changed();
      platform_.gang_changed(key.first.job, key.second);
    } else {
      set_running(key, found->second);
    }
  }
}

void Worker::set_running(const AttemptKey& key, Attempt& attempt) {
  Job& job = *platform_.find_job(key.first.job);
  attempt.state = TaskState::Running;
  attempt.due_at = job.spec.kind == JobKind::Service ? 0 : now() + job.run_s;
  if (job.first_running_at < 0) job.first_running_at = now();
  job.last_running_at = now();
  platform_.record("worker " + id + ": " + text_of(key.first, key.second) + " running");
  changed();
}

void Worker::set_exited(const AttemptKey& key, Attempt& attempt, ExitCause cause) {
  if (!attempt.active()) return;
  attempt.state = TaskState::Exited;
  attempt.cause = cause;
  Job* job = platform_.find_job(key.first.job);
  if (job && cause == ExitCause::Done) {
    job->done.insert(key.first.task);
    if (job->spec.kind == JobKind::Gang)
      for (uint32_t task = 0; task < job->spec.tasks; ++task) job->done.insert(task);
  }
  platform_.record("worker " + id + ": " + text_of(key.first, key.second) + " exited " +
                   name_of(cause));
  changed();
  platform_.gang_changed(key.first.job, key.second);
}

void Worker::send_report() {
  const double t = now();
  last_report_ = t;
  next_report_ = t + platform_.options.report_s * platform_.random_between(0.75, 1.25);
  const std::string body = report();
  if (mute) return next_controller();
  if (late_reports > 0 && platform_.random_between(0, 1) < late_reports)
    platform_.repeat_later(controller_, body);
  if (!client_)
    client_ = std::make_unique<HttpClient>(platform_.io, platform_.controllers[controller_], 1, 2);
  in_flight_ = true;
  client_->request("POST", "/hello", body, kReportTimeout,
                   [this, alive = alive_, t, shift = shift_](const HttpResult& result) {
                     if (*alive) on_answer(result, t, shift);
                   });
}

void Worker::next_controller() {
  controller_ = (controller_ + 1) % platform_.controllers.size();
  next_report_ = now() + 1;
  asio::post(platform_.io,
             [alive = alive_, client = std::shared_ptr<HttpClient>(std::move(client_))] {});
}

void Worker::on_answer(const HttpResult& result, double sent_at, uint64_t shift) {
  in_flight_ = false;
  if (now() < hangs_until) return next_controller();
  if (deaf || !result.answered) return next_controller();
  if (result.status == 421) {
    const std::string name = sim::parse_redirect(result.body);
    const auto found = std::find(platform_.names.begin(), platform_.names.end(), name);
    const auto index = static_cast<size_t>(found - platform_.names.begin());
    if (found == platform_.names.end() || index == controller_) return next_controller();
    next_controller();
    controller_ = index;
    next_report_ = now() + platform_.random_between(0, 0.5);
    return;
  }
  if (!result.ok()) return next_controller();
  if (shift != shift_) return;
  const auto answer = sim::parse_worker_commands(result.body);
  if (!answer || answer->fencing_token < token_) return;
  // Its last report carried this token, if it had it already, and has been answered.
  if (answer->fencing_token == token_) token_reported_ = true;
  if (answer->fencing_token > token_) changed();
  token_ = answer->fencing_token;
  last_answered_sent_ = sent_at;
  execute(answer->commands);
}

void Worker::on_request(const HttpRequest& request, const Respond& respond) {
  if (deaf) return;
  if (now() < hangs_until) return held_.emplace_back(request, respond), void();
  if (late_commands > 0 && request.path == "/orders" &&
      platform_.random_between(0, 1) < late_commands) {
    auto timer = std::make_shared<asio::steady_timer>(
        platform_.io,
        std::chrono::milliseconds(static_cast<int>(platform_.random_between(2000, 16000))));
    timer->async_wait([this, timer, alive = alive_, request](auto) {
      if (*alive) on_request(request, [](const HttpReply&) {});
    });
    return;
  }
  handle_request(request, respond);
}

void Worker::handle_request(const HttpRequest& request, const Respond& respond) {
  if (request.path == "/inspect") return respond({200, report(), 0});
  const auto batch = sim::parse_worker_commands(request.body);
  if (!batch) return respond({400, {}, 0});
  const bool accepted = batch->fencing_token >= token_ && batch->agent_epoch == shift_;
  if (accepted) {
    if (batch->fencing_token > token_) changed();
    token_ = batch->fencing_token;
    carried_out.push_back({now(), request, batch->commands});
    execute(batch->commands);
  }
  respond({accepted ? 200 : 409, report(), 0});
}

void Worker::execute(const std::vector<Command>& commands) {
  for (const auto& command : commands) {
    if (command.type == sumacquay::CommandType::Start) {
      start(command);
      continue;
    }
    const auto found = attempts.find({command.key, command.attempt});
    if (found == attempts.end()) continue;
    if (command.type == sumacquay::CommandType::Discard) {
      if (!found->second.active()) attempts.erase(found);
    } else {
      set_exited(found->first, found->second, ExitCause::Stopped);
    }
  }
}

void Worker::start(const Command& command) {
  const AttemptKey key{command.key, command.attempt};
  if (attempts.contains(key)) return;
  Job* job = platform_.find_job(command.key.job);
  Attempt attempt;
  ExitCause refused = ExitCause::None;
  if (!job || command.key.task >= job->spec.tasks) refused = ExitCause::Unknown;
  for (const auto& [other, state] : attempts)
    if (other.first == command.key && state.active()) refused = ExitCause::Busy;
  if (job && refused == ExitCause::None) {
    Resources free = type.capacity;
    free -= platform_.used(*this);
    if (!job->spec.request.fits_in(free)) refused = ExitCause::InsufficientResources;
  }
  platform_.record(
      "worker " + id + ": " + text_of(command.key, command.attempt) + " start" +
      (refused == ExitCause::None ? "" : std::string(" refused, ") + name_of(refused)));
  auto& added = attempts[key] = attempt;
  if (job) ++job->starts;
  if (refused != ExitCause::None) {
    added.state = TaskState::Exited;
    added.cause = refused;
  }
  changed();
  fetch_images();
}

// ---------------------------------------------------------------- platform

Platform::Platform(Options options_in, const std::string& record_path)
    : options(std::move(options_in)), record_(record_path), timer_(io) {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
  for (int i = 0; i < options.controllers; ++i) {
    controllers.push_back(free_endpoint());
    peers.push_back(free_endpoint());
    names.push_back("controller-" + std::to_string(i));
    const Endpoint endpoint = free_endpoint();
    store_ports_.push_back(endpoint.port);
    sumacquay::HttpLimits limits;
    limits.max_connections = 200;
    limits.max_body_bytes = size_t{256} * 1024;
    store_servers_.push_back(std::make_unique<HttpServer>(
        io, endpoint, limits, [this, i](const HttpRequest& request, const Respond& respond) {
          on_store(static_cast<size_t>(i), request, respond);
        }));
  }
  store_mode.assign(names.size(), StoreMode::Serve);
  pids_.assign(names.size(), 0);
  const Endpoint cloud = free_endpoint();
  sumacquay::HttpLimits limits;
  limits.max_connections = 100;
  cloud_server_ = std::make_unique<HttpServer>(
      io, cloud, limits,
      [this](const HttpRequest& request, const Respond& respond) { on_cloud(request, respond); });
  store_ports_.push_back(cloud.port);
  work_ = std::make_unique<asio::executor_work_guard<asio::io_context::executor_type>>(
      io.get_executor());
  tick();
  thread_ = std::thread([this] { io.run(); });
}

Platform::~Platform() {
  for (size_t i = 0; i < pids_.size(); ++i) kill_controller(i);
  io.stop();
  thread_.join();
  workers.clear();
  store_servers_.clear();
  cloud_server_.reset();
  if (std::getenv("REVIEW_KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
}

void Platform::record(const std::string& line) {
  const std::lock_guard<std::mutex> lock(record_mutex_);
  record_ << format("%8.3f ", now()) << line << std::endl;
}

void Platform::sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

bool Platform::wait_for(double timeout_s, const std::function<bool()>& condition) {
  const double end = now() + timeout_s;
  while (now() < end) {
    if (on_platform(condition)) return true;
    sleep(0.05);
  }
  return on_platform(condition);
}

void Platform::respond_later(double delay_s, const Respond& respond, HttpReply reply) {
  auto timer = std::make_shared<asio::steady_timer>(
      io, std::chrono::microseconds(static_cast<long long>(delay_s * 1e6)));
  timer->async_wait([timer, respond, reply = std::move(reply)](auto) { respond(reply); });
}

void Platform::tick() {
  store.expire_leases(now());
  answer_watches();
  const double t = now();
  for (const auto& machine : std::vector<Booting>(booting_))
    if (t >= machine.up_at) {
      std::erase_if(booting_, [&](const Booting& other) { return other.id == machine.id; });
      add_worker(machine.id, machine.type, machine.zone, machine.spot);
    }
  for (const auto& [id, worker] : workers) worker->tick();
  if (!cancelled_at.empty()) check_cancelled();
  timer_.expires_after(std::chrono::microseconds(static_cast<long long>(kTick * 1e6)));
  timer_.async_wait([this](auto error) {
    if (!error) tick();
  });
}

Job* Platform::find_job(const std::string& id) {
  const auto found = jobs.find(id);
  return found == jobs.end() ? nullptr : &found->second;
}

Worker* Platform::find_worker(const std::string& id) {
  const auto found = workers.find(id);
  return found == workers.end() ? nullptr : found->second.get();
}

Resources Platform::used(const Worker& worker) {
  Resources sum;
  for (const auto& [key, attempt] : worker.attempts)
    if (attempt.active()) sum += find_job(key.first.job)->spec.request;
  return sum;
}

bool Platform::running_everywhere(const std::string& id) {
  const Job& job = jobs.at(id);
  std::set<uint32_t> running;
  for (const auto& [name, worker] : workers)
    for (const auto& [key, attempt] : worker->attempts)
      if (key.first.job == id && attempt.state == TaskState::Running)
        running.insert(key.first.task);
  return running.size() == job.spec.tasks;
}

/// A copy of a report arrives again, from 2 s to well over a lease later.
void Platform::repeat_later(size_t controller, const std::string& body) {
  auto timer = std::make_shared<asio::steady_timer>(
      io,
      std::chrono::milliseconds(static_cast<int>(1000 * random_between(2, 2.5 * options.lease_s))));
  timer->async_wait([this, timer, controller, body](auto) {
    auto client = std::make_shared<HttpClient>(io, controllers[controller], 1, 1);
    client->request("POST", "/hello", body, 4,
                    [this, client](const HttpResult&) { asio::post(io, [client] {}); });
  });
}

void Platform::violation(const std::string& text) {
  violations.push_back(text);
  record("RULE BROKEN: " + text);
}

void Platform::check_start(const Worker& worker, const TaskKey& key) {
  const Job& job = jobs.at(key.job);
  Resources used;
  std::map<std::string, size_t> zones;
  ++zones[worker.zone];
  for (const auto& [id, other] : workers)
    for (const auto& [other_key, attempt] : other->attempts) {
      const bool there = attempt.state == TaskState::Waiting || attempt.state == TaskState::Running;
      if (!there) continue;
      const Job& other_job = jobs.at(other_key.first.job);
      if (other_job.spec.team == job.spec.team) used += other_job.spec.request;
      if (other_key.first.job == key.job) ++zones[other->zone];
      if (other_key.first == key)
        violation("ran_twice " + key.job + "/" + std::to_string(key.task) + " on " + id + " and " +
                  worker.id);
    }
  used += job.spec.request;
  for (const auto& team : options.teams)
    if (team.name == job.spec.team && ((team.gpus_max > 0 && used.gpus > team.gpus_max + 1e-6) ||
                                       (team.cpus_max > 0 && used.cpus > team.cpus_max + 1e-6)))
      violation("quota " + team.name);
  if ((job.spec.one_zone && zones.size() > 1) ||
      (job.spec.spread && zones[worker.zone] > job.spec.zone_limit()) ||
      (job.spec.zone && *job.spec.zone != worker.zone) || !job.spec.allows_type(worker.type.name) ||
      (worker.spot && !job.spec.spot))
    violation("wrong_place " + key.job + " on " + worker.id);
  for (const auto& need : job.spec.dependencies)
    if (jobs.at(need).done.size() < jobs.at(need).spec.tasks) violation("too_early " + key.job);
}

void Platform::check_cancelled() {
  for (const auto& [id, worker] : workers)
    for (const auto& [key, attempt] : worker->attempts) {
      const auto at = cancelled_at.find(key.first.job);
      if (at != cancelled_at.end() && attempt.active() && attempt.state != TaskState::Fetching &&
          now() > at->second + options.cancel_s)
        violation("ran_cancelled " + key.first.job + " on " + id);
    }
}

/// Starts a gang whose tasks all wait, and ends one that lost a task while it ran.
void Platform::gang_changed(const std::string& id, uint64_t attempt) {
  Job* job = find_job(id);
  if (!job || job->spec.kind != JobKind::Gang || job->spec.tasks < 2) return;
  std::map<uint32_t, std::pair<Worker*, AttemptKey>> present;
  size_t waiting = 0, running = 0;
  for (const auto& [name, worker] : workers)
    for (const auto& [key, state] : worker->attempts) {
      if (key.first.job != id || key.second != attempt || !state.active()) continue;
      present[key.first.task] = {worker.get(), key};
      waiting += state.state == TaskState::Waiting;
      running += state.state == TaskState::Running;
    }
  if (waiting == job->spec.tasks) {
    for (const auto& [task, place] : present)
      place.first->set_running(place.second, place.first->attempts.at(place.second));
  } else if (running > 0 && present.size() < job->spec.tasks) {
    const bool done = job->done.size() == job->spec.tasks;
    for (const auto& [task, place] : present) {
      const auto found = place.first->attempts.find(place.second);
      if (found != place.first->attempts.end() && found->second.active())
        place.first->set_exited(place.second, found->second,
                                done ? ExitCause::Done : ExitCause::GangMemberGone);
    }
  }
}

// ---------------------------------------------------------------- key-value store

void Platform::on_store(size_t controller, const HttpRequest& request, const Respond& respond) {
  if (request.path == "/multi" && store_mode[controller] == StoreMode::Serve) {
    if (lost_answers > 0 && random_between(0, 1) < lost_answers) {
      store_reply(request);
      return answer_watches();
    }
    if (late_writes > 0 && random_between(0, 1) < late_writes) {
      auto timer = std::make_shared<asio::steady_timer>(
          io, std::chrono::milliseconds(static_cast<int>(random_between(2000, 12000))));
      timer->async_wait([this, timer, request](auto) {
        store_reply(request);
        answer_watches();
      });
      return;
    }
  }
  switch (store_mode[controller]) {
    case StoreMode::Silent:
      return;
    case StoreMode::Refuse:
      return respond_later(options.state_latency_s, respond, {503, {}, 0});
    case StoreMode::Serve:
      break;
  }
  if (request.path == "/changes") {
    Watch watch{controller, sim::query_parameter(request.query, "under"),
                number(sim::query_parameter(request.query, "after")),
                now() + std::min(60.0, static_cast<double>(number(
                                           sim::query_parameter(request.query, "block_ms"))) /
                                           1000),
                respond};
    watches_.push_back(std::move(watch));
    return answer_watches();
  }
  respond_later(options.state_latency_s, respond, store_reply(request));
  answer_watches();
}

HttpReply Platform::changes_reply(const Watch& watch) {
  if (!store.log_covers(watch.after)) return {410, {}, 0};
  std::vector<sim::StoredChange> out;
  for (const auto& change : store.changes_after(watch.after))
    if (change.key.starts_with(watch.under))
      out.push_back({change.key, change.deletes() ? std::string() : *change.value, change.lease,
                     change.version});
  return {200, sim::changes_body(out, store.revision()), 0};
}

void Platform::answer_watches() {
  const double t = now();
  watches_.remove_if([&](const Watch& watch) {
    if (store_mode[watch.controller] != StoreMode::Serve) return false;
    bool due = t >= watch.ends_at || !store.log_covers(watch.after);
    if (!due && store.revision() > watch.after)
      for (const auto& change : store.changes_after(watch.after))
        due = due || change.key.starts_with(watch.under);
    if (due) respond_later(options.state_latency_s, watch.respond, changes_reply(watch));
    return due;
  });
}

HttpReply Platform::store_reply(const HttpRequest& request) {
  if (request.path == "/multi") {
    const auto transaction = sim::parse_transaction(request.body);
    if (!transaction) return {400, {}, 0};
    std::vector<Store::Change> changes;
    for (const auto& change : transaction->mutations)
      changes.push_back(change.value.empty() ? Store::remove(change.key)
                                             : Store::put(change.key, change.value, change.lease));
    if (!store.leases_alive(changes)) return {400, wire::error_body("no such lease"), 0};
    const auto revision = store.compare_and_swap(transaction->preconditions, std::move(changes));
    if (!revision)
      return {409,
              sim::conflict_body(store.failed_preconditions(transaction->preconditions),
                                 store.revision()),
              0};
    store.trim_log(10000);
    return {200, sim::revision_body(*revision), 0};
  }
  if (request.path == "/store") {
    const std::string under = sim::query_parameter(request.query, "under");
    const std::string after = sim::query_parameter(request.query, "after");
    const uint64_t most =
        std::clamp<uint64_t>(number(sim::query_parameter(request.query, "most")), 1, 1000);
    std::vector<sim::StoredChange> items;
    bool more = false;
    auto item = after < under ? store.items().lower_bound(under) : store.items().upper_bound(after);
    for (; item != store.items().end() && item->first.starts_with(under); ++item) {
      if (items.size() == most) {
        more = true;
        break;
      }
      items.push_back({item->first, *item->second.value, item->second.lease, item->second.version});
    }
    return {200, sim::items_body(items, more, store.revision()), 0};
  }
  if (request.path.starts_with("/store/")) {
    const auto* item = store.find(request.path.substr(7));
    if (!item) return {404, sim::revision_body(store.revision()), 0};
    return {200, sim::item_body({item->key, *item->value, item->lease, item->version}), 0};
  }
  if (request.path == "/grants") {
    const auto life = sim::parse_lease_duration_s(request.body);
    if (!life || *life < 0.1 || *life > 600) return {400, {}, 0};
    return {200, sim::lease_body(store.grant_lease(now(), *life)), 0};
  }
  if (request.path.starts_with("/grants/")) {
    const uint64_t lease = number(request.path.substr(8));
    if (request.method == "DELETE") {
      store.revoke_lease(lease);
      return {200, sim::lease_body(lease), 0};
    }
    return {store.renew_lease(lease, now()) ? 200 : 404, sim::lease_body(lease), 0};
  }
  return {400, {}, 0};
}

// ---------------------------------------------------------------- cloud

void Platform::on_cloud(const HttpRequest& request, const Respond& respond) {
  respond_later(options.cloud_latency_s, respond, cloud_reply(request));
}

HttpReply Platform::cloud_reply(const HttpRequest& request) {
  if (request.path == "/machine_types") return {200, sim::machine_types_body(options.types), 0};
  if (request.path == "/hosts" && request.method == "GET") {
    const std::string after = sim::query_parameter(request.query, "after");
    std::vector<sumacquay::ListedMachine> list;
    const double t = now();
    for (const auto& [id, created] : created_at_) {
      if (id <= after || t - created < options.list_lag_s) continue;
      sumacquay::ListedMachine machine;
      machine.id = id;
      machine.age_s = t - created;
      if (const Worker* worker = find_worker(id)) {
        machine.addr = worker->addr.to_string();
        machine.type = worker->type.name;
        machine.zone = worker->zone;
        machine.spot = worker->spot;
        machine.state = sumacquay::ListedMachine::State::Running;
      } else {
        const auto found = std::find_if(booting_.begin(), booting_.end(),
                                        [&](const Booting& other) { return other.id == id; });
        if (found == booting_.end()) continue;
        machine.addr = "";
        machine.type = found->type;
        machine.zone = found->zone;
        machine.spot = found->spot;
      }
      list.push_back(machine);
    }
    return {200, sim::machines_body(list, false), 0};
  }
  if (request.path == "/hosts") {
    const auto wanted = sim::parse_scale_out_request(request.body);
    if (!wanted) return {400, {}, 0};
    const auto known = hires_.find(wanted->request_name);
    if (known != hires_.end()) return {200, known->second, 0};
    int& left = capacity[{wanted->type, wanted->zone}];
    std::vector<std::string> ids;
    for (; left > 0 && ids.size() < wanted->count; --left) {
      const auto type = std::find_if(options.types.begin(), options.types.end(),
                                     [&](const MachineType& t) { return t.name == wanted->type; });
      if (type == options.types.end()) return {400, {}, 0};
      char id[32];
      std::snprintf(id, sizeof id, "i-%06d", next_machine_++);
      ids.emplace_back(id);
      created_at_[id] = now();
      booting_.push_back(
          {id, wanted->type, wanted->zone, wanted->spot, now(), now() + type->boot_s});
    }
    if (ids.empty()) return {503, wire::error_body("no capacity"), 0};
    std::string text = "cloud: rents " + wanted->type + " in " + wanted->zone + ":";
    for (const auto& id : ids) text += " " + id;
    record(text);
    const std::string body = sim::scale_out_response_body(ids);
    hires_[wanted->request_name] = body;
    return {200, body, 0};
  }
  if (request.path == "/hosts/release") {
    const auto ids = sim::parse_release(request.body);
    if (!ids) return {400, {}, 0};
    for (const auto& id : *ids) {
      record("cloud: " + id + " returned");
      std::vector<std::pair<std::string, uint64_t>> gangs;
      if (const Worker* worker = find_worker(id)) {
        ++capacity[{worker->type.name, worker->zone}];
        for (const auto& [key, attempt] : worker->attempts)
          if (attempt.active()) gangs.emplace_back(key.first.job, key.second);
      }
      for (const auto& machine : booting_)
        if (machine.id == id) ++capacity[{machine.type, machine.zone}];
      std::erase_if(booting_, [&](const Booting& other) { return other.id == id; });
      workers.erase(id);
      created_at_.erase(id);
      for (const auto& [job, attempt] : gangs) gang_changed(job, attempt);
    }
    return {200, {}, 0};
  }
  return {400, {}, 0};
}

std::string Platform::add_worker(const std::string& id, const std::string& type,
                                 const std::string& zone, bool spot) {
  const auto found = std::find_if(options.types.begin(), options.types.end(),
                                  [&](const MachineType& t) { return t.name == type; });
  workers[id] = std::make_unique<Worker>(*this, id, *found, zone, spot);
  record("machine " + id + " is up (" + type + ", zone " + zone + ")");
  return id;
}

std::string Platform::add_machine(const std::string& type, const std::string& zone, bool spot) {
  return on_platform([&] {
    char id[32];
    std::snprintf(id, sizeof id, "i-%06d", next_machine_++);
    created_at_[id] = now() - 1000;
    return add_worker(id, type, zone, spot);
  });
}

void Platform::repeat_request(const std::string& machine, const HttpRequest& request) {
  const Endpoint addr = on_platform([&] { return find_worker(machine)->addr; });
  auto done = std::make_shared<std::promise<HttpResult>>();
  auto result = done->get_future();
  asio::post(io, [=, this] {
    auto client = std::make_shared<HttpClient>(io, addr, 1, 1);
    client->request(request.method, request.path, request.body, 4,
                    [client, done, this](const HttpResult& r) {
                      done->set_value(r);
                      asio::post(io, [client] {});
                    });
  });
  const HttpResult answer = result.get();
  record("the request arrives at " + machine +
         " again: " + (answer.answered ? std::to_string(answer.status) : std::string("no answer")));
}

void Platform::take_machine(const std::string& id) {
  on_platform([&] {
    std::vector<std::pair<std::string, uint64_t>> gangs;
    if (const Worker* worker = find_worker(id))
      for (const auto& [key, attempt] : worker->attempts)
        if (attempt.active()) gangs.emplace_back(key.first.job, key.second);
    workers.erase(id);
    created_at_.erase(id);
    record("cloud: machine " + id + " is gone");
    for (const auto& [job, attempt] : gangs) gang_changed(job, attempt);
    return 0;
  });
}

// ---------------------------------------------------------------- controllers

std::string Platform::settings_of(size_t i) const {
  std::ostringstream out;
  out << "label = \"" << names[i] << "\"\narea = \"" << options.zones[i % options.zones.size()]
      << "\"\nlisten = \"" << controllers[i].to_string() << "\"\nback = \"" << peers[i].to_string()
      << "\"\n";
  for (size_t j = 0; j < names.size(); ++j)
    if (j != i)
      out << "[[known]]\nlabel = \"" << names[j] << "\"\narea = \""
          << options.zones[j % options.zones.size()] << "\"\npeer_addr = \"" << peers[j].to_string()
          << "\"\n";
  out << "[services]\ncloud = \"127.0.0.1:" << store_ports_.back()
      << "\"\nstate = \"127.0.0.1:" << store_ports_[i] << "\"\n[params]\ncount = " << names.size()
      << "\nzones = [";
  for (size_t z = 0; z < options.zones.size(); ++z)
    out << (z ? ", " : "") << '"' << options.zones[z] << '"';
  out << "]\nclock_off_ms = 5.0\n";
  for (const auto& team : options.teams)
    out << "[[params.teams]]\nname = \"" << team.name << "\"\ncpus = " << team.cpus
        << "\ncpus_max = " << team.cpus_max << "\ngpus = " << team.gpus
        << "\ngpus_max = " << team.gpus_max << "\n";
  out << "[params.workers]\nreport_s = " << options.report_s << "\nlease_s = " << options.lease_s
      << "\ngang_wait_s = " << options.gang_wait_s << "\ngang_peer_s = " << options.gang_peer_s
      << "\ncancel_s = " << options.cancel_s << "\n[params.state]\nrps = " << options.state_rps
      << "\nwrite_rps = " << options.state_write_rps << "\nvalue_kb = " << options.value_kb
      << "\ntxn_ops = " << options.txn_ops << "\n[params.cloud]\nrps = " << options.cloud_rps
      << "\nlist_lag_s = " << options.list_lag_s
      << "\n[params.quota]\ncore_share = 0.08\nmemory_mb = 40.0\nfd_limit = " << options.fd_limit
      << "\n";
  return out.str();
}

void Platform::start_controller(size_t i) {
  const std::string path = directory_ + "/" + names[i] + ".toml";
  const std::string log = directory_ + "/" + names[i] + ".log";
  std::ofstream(path) << settings_of(i);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(3);
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(file, 2);
    for (int fd = 3; fd < 4096; ++fd) close(fd);
    execl("target/sumacquay", "target/sumacquay", "--config", path.c_str(), nullptr);
    _exit(3);
  }
  pids_[i] = pid;
  record("controller " + names[i] + " started");
}

void Platform::signal_controller(size_t i, int signal) {
  if (pids_[i] > 0) kill(pids_[i], signal);
  record("controller " + names[i] + ": signal " + std::to_string(signal));
}

void Platform::kill_controller(size_t i) {
  if (pids_[i] <= 0) return;
  kill(pids_[i], SIGKILL);
  waitpid(pids_[i], nullptr, 0);
  pids_[i] = 0;
  record("controller " + names[i] + " killed");
}

bool Platform::controller_ended(size_t i) {
  if (pids_[i] <= 0) return false;
  int status = 0;
  if (waitpid(pids_[i], &status, WNOHANG) != pids_[i]) return false;
  pids_[i] = 0;
  record("controller " + names[i] + " ended by itself, status " + std::to_string(status));
  return true;
}

bool Platform::wait_ready(double timeout_s) {
  const double end = now() + timeout_s;
  for (size_t i = 0; i < names.size();) {
    if (now() > end) return false;
    if (call(i, "GET", "/ready", "", 1).ok())
      ++i;
    else
      sleep(0.1);
  }
  record("all controllers are ready");
  return true;
}

// ---------------------------------------------------------------- users

HttpResult Platform::call(size_t controller, const std::string& method, const std::string& path,
                          const std::string& body, double timeout_s) {
  auto done = std::make_shared<std::promise<HttpResult>>();
  auto result = done->get_future();
  asio::post(io, [=, this] {
    auto client = std::make_shared<HttpClient>(io, controllers[controller], 1, 4);
    client->request(method, path, body, timeout_s, [client, done, this](const HttpResult& r) {
      done->set_value(r);
      asio::post(io, [client] {});
    });
  });
  return result.get();
}

bool Platform::submit(const JobSpec& spec, double run_s, size_t controller) {
  on_platform([&] {
    jobs[spec.id].spec = spec;
    jobs[spec.id].run_s = run_s;
    return 0;
  });
  const std::string body = sim::submission_body(spec);
  for (const double end = now() + 30; now() < end; ++controller) {
    const size_t node = controller % names.size();
    const HttpResult result = call(node, "POST", "/work", body, 5);
    record("user: submits " + spec.id + " to " + names[node] + ": " +
           (result.answered ? std::to_string(result.status) : std::string("no answer")));
    if (result.answered && (result.status == 201 || result.status == 200)) return true;
    if (result.answered && (result.status == 400 || result.status == 422)) return false;
    sleep(1);
  }
  return false;
}

std::string Platform::stage(const std::string& id, size_t controller) {
  const HttpResult result = call(controller, "GET", "/work/" + id, "", 2);
  std::string text;
  if (!result.answered) {
    text = "no answer";
  } else if (result.status != 200) {
    text = "status " + std::to_string(result.status);
  } else {
    const auto document = wire::Document::parse(result.body);
    text = document ? document->root()["stage"].text_or("?") : "?";
  }
  record("user: asks " + names[controller] + " about " + id + ": " + text);
  return text;
}

std::string Platform::cancel(const std::string& id, size_t controller) {
  const HttpResult result = call(controller, "POST", "/work/" + id + "/cancel", "", 5);
  std::string text;
  if (!result.answered) {
    text = "no answer";
  } else if (result.status != 200) {
    text = "status " + std::to_string(result.status);
  } else {
    const auto document = wire::Document::parse(result.body);
    text = document ? document->root()["stage"].text_or("?") : "?";
  }
  record("user: cancels " + id + " at " + names[controller] + ": " + text);
  return text;
}

}  // namespace review
