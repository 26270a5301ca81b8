#include "loadtest/load_test.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <utility>

#include "net/asio_conversions.h"
#include "node/steady_time.h"
#include "store/record_cache.h"
#include "wire/messages.h"

namespace sumacquay::loadtest {
namespace {

constexpr Seconds kPollInterval = 0.02;
constexpr Seconds kElectionTimeout = 60;
/// Delay before a killed controller is restarted.
constexpr Seconds kRestartDelay = 8;
/// Duration of a zone partition as a fraction of the workers' lease: no lease expires meanwhile.
constexpr double kPartitionLeaseFraction = 0.4;
/// Timeout for the start of the urgent jobs that were submitted during the measurement.
constexpr Seconds kUrgentStartTimeout = 10;

simulators::WorkerTiming worker_timing(const LoadSettings& settings) {
  simulators::WorkerTiming timing;
  timing.heartbeat_period_s = settings.heartbeat_period_s;
  timing.lease_s = settings.lease_s;
  timing.fetch_s = settings.fetch_s;
  return timing;
}

simulators::WorkerContext worker_context(asio::io_context& io, const LoadSettings& settings,
                                         const Addresses& addresses,
                                         simulators::SubmittedJobs& jobs,
                                         simulators::RuleChecker& checker) {
  std::vector<std::string> names;
  for (size_t i = 0; i < addresses.controllers.size(); ++i) names.push_back(controller_name(i));
  return {io,
          names,
          addresses.controllers,
          worker_timing(settings),
          jobs,
          checker,
          {},
          std::mt19937_64(1),
          nullptr,
          nullptr,
          nullptr};
}

/// Operators' settings that differ from the defaults: no machine is released as idle, since the
/// fleet must keep its size.
constexpr const char* kTuningOverrides = "idle = 100\n";

double ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

}  // namespace

LoadTest::LoadTest(const LoadSettings& settings, LoadTestOptions options)
    : settings_(settings),
      options_(std::move(options)),
      addresses_(deployment_addresses(settings)),
      checker_(team_settings(settings), settings.cancel_s, jobs_),
      context_(worker_context(io_, settings, addresses_, jobs_, checker_)),
      fleet_(context_, addresses_.workers_port),
      workload_(settings_),
      urgent_timer_(io_) {
  context_.task_running = [this](const std::string& job) { on_task_running(job); };
  simulators::KeyValueStoreServerOptions state;
  state.requests_per_s = settings.state_rps;
  state.writes_per_s = settings.state_write_rps;
  state_ = std::make_unique<simulators::KeyValueStoreServer>(io_, addresses_.state, state);
  simulators::CloudOptions cloud;
  cloud.types = {machine_type(settings)};
  cloud.requests_per_s = settings.cloud_rps;
  cloud.max_machines = static_cast<size_t>(settings.machines);
  cloud_ =
      std::make_unique<simulators::CloudServer>(io_, addresses_.cloud, std::move(cloud), fleet_);
  users_ = std::make_unique<simulators::Users>(io_, addresses_.controllers, jobs_, checker_);
  const auto zones = static_cast<size_t>(settings.zones);
  for (size_t i = 0; i < static_cast<size_t>(settings.machines); ++i)
    cloud_->add_running_machine({machine_type(settings).name, zone_name(i % zones), false});
}

LoadTest::~LoadTest() {
  controllers_.clear();
}

// ---------------------------------------------------------------- event loop

void LoadTest::run_for(Seconds duration) {
  const Seconds end = steady_now() + duration;
  while (steady_now() < end)
    io_.run_for(to_milliseconds(std::min(kPollInterval, std::max(end - steady_now(), 0.001))));
  check_controllers_running();
}

bool LoadTest::run_until(const std::function<bool()>& condition, Seconds timeout) {
  const Seconds end = steady_now() + timeout;
  while (steady_now() < end && !condition()) io_.run_for(to_milliseconds(kPollInterval));
  return condition();
}

void LoadTest::check_controllers_running() {
  for (auto& controller : controllers_)
    if (controller.exited_unexpectedly())
      throw std::runtime_error(controller.name() + " exited unexpectedly; see its log in " +
                               options_.directory);
}

// ---------------------------------------------------------------- setup

void LoadTest::start_controllers() {
  const std::string tuning = options_.directory + "/tuning.conf";
  std::ofstream(tuning) << kTuningOverrides << options_.tuning;
  for (size_t i = 0; i < addresses_.controllers.size(); ++i) {
    const std::string base = options_.directory + "/" + controller_name(i);
    std::ofstream(base + ".toml") << controller_toml(settings_, i);
    controllers_.emplace_back(
        controller_name(i),
        ControllerProcess::Files{options_.program, base + ".toml", tuning, base + ".log"});
    controllers_.back().start();
  }
  if (!run_until([this] { return find_leader().has_value(); }, kElectionTimeout))
    throw std::runtime_error("no controller became leader in time; see the logs in " +
                             options_.directory);
}

std::optional<size_t> LoadTest::find_leader() const {
  const auto value = state_->value(keys::kLeader);
  const auto document = value ? wire::Document::parse(*value) : nullptr;
  const auto record = document ? wire::decode_leader(document->root()) : std::nullopt;
  if (!record) return std::nullopt;
  for (size_t i = 0; i < controllers_.size(); ++i)
    if (controllers_[i].name() == record->node && controllers_[i].running()) return i;
  return std::nullopt;
}

void LoadTest::fill_fleet(Measurement& measurement) {
  const auto jobs = workload_.initial_jobs();
  const Seconds started_at = steady_now();
  const size_t leader = find_leader().value_or(0);
  const double cpu_before = controllers_[leader].usage().cpu_s;
  for (const auto& job : jobs)
    users_->submit(job, [this](Seconds elapsed) { accept_times_.observe(elapsed); });
  run_until([this] { return checker_.active_tasks() >= settings_.tasks(); }, settings_.fill_s);
  measurement.fill_s = steady_now() - started_at;
  measurement.filled =
      ratio(static_cast<double>(checker_.active_tasks()), static_cast<double>(settings_.tasks()));
  measurement.fill_leader_cpu_s = controllers_[leader].usage().cpu_s - cpu_before;
  spdlog::info("{} of {} tasks running after {:.1f} s", checker_.active_tasks(), settings_.tasks(),
               measurement.fill_s);
}

void LoadTest::submit_waiting_jobs() {
  const auto count = static_cast<size_t>(settings_.waiting_jobs);
  const uint64_t before = users_->counts().accepted;
  for (size_t i = 0; i < count; ++i) users_->submit(workload_.waiting_job());
  run_until([&] { return users_->counts().accepted >= before + count; }, settings_.fill_s);
}

// ---------------------------------------------------------------- urgent jobs

void LoadTest::set_urgent_load(bool enabled) {
  urgent_enabled_ = enabled && settings_.urgent_per_s > 0;
  if (urgent_enabled_) schedule_urgent_job();
}

void LoadTest::schedule_urgent_job() {
  urgent_timer_.expires_after(to_microseconds(1 / settings_.urgent_per_s));
  urgent_timer_.async_wait([this](auto error) {
    if (error || !urgent_enabled_) return;
    ++urgent_submitted_;
    users_->submit(workload_.urgent_job(),
                   [this](Seconds elapsed) { accept_times_.observe(elapsed); });
    schedule_urgent_job();
  });
}

void LoadTest::on_task_running(const std::string& id) {
  simulators::SubmittedJob& job = jobs_.at(id);
  if (job.first_started_at) return;
  job.first_started_at = steady_now();
  const bool urgent = job.spec.priority == Priority::High && job.spec.kind == JobKind::Array;
  if (urgent && urgent_start_times_)
    urgent_start_times_->observe(*job.first_started_at - *job.submitted_at);
}

void LoadTest::add_urgent_results(Measurement& measurement) {
  constexpr double kMedian = 0.5;
  constexpr double kNinetiethPercentile = 0.9;
  constexpr double kNinetyNinthPercentile = 0.99;
  set_urgent_load(false);
  run_until([this] { return urgent_start_times_->count() >= urgent_submitted_; },
            kUrgentStartTimeout);
  const Quantiles& start_times = *urgent_start_times_;
  measurement.urgent_started =
      ratio(static_cast<double>(start_times.count()), static_cast<double>(urgent_submitted_));
  if (start_times.count() == 0) return;
  measurement.urgent_p50_s = start_times.quantile(kMedian);
  measurement.urgent_p90_s = start_times.quantile(kNinetiethPercentile);
  measurement.urgent_p99_s = start_times.quantile(kNinetyNinthPercentile);
  measurement.urgent_worst_s = start_times.max();
}

// ---------------------------------------------------------------- measurement

LoadTest::Snapshot LoadTest::snapshot() const {
  Snapshot out;
  out.taken_at = steady_now();
  for (const auto& controller : controllers_) out.controllers.push_back(controller.usage());
  out.this_process = read_usage(getpid());
  out.workers = context_.counts;
  out.state = state_->counts();
  out.cloud = cloud_->counts();
  out.starts = checker_.starts();
  return out;
}

void LoadTest::add_rates(Measurement& measurement, const Snapshot& before,
                         const Snapshot& after) const {
  const double duration = after.taken_at - before.taken_at;
  const auto rate = [duration](uint64_t from, uint64_t to) {
    return static_cast<double>(to - from) / duration;
  };
  const size_t leader = find_leader().value_or(0);
  const auto followers = static_cast<double>(controllers_.size() - 1);
  for (size_t i = 0; i < controllers_.size(); ++i) {
    const double cores =
        std::max(0.0, after.controllers[i].cpu_s - before.controllers[i].cpu_s) / duration;
    const auto& usage = after.controllers[i];
    if (i == leader) {
      measurement.leader_cores = cores;
      measurement.leader_mb = usage.memory_mb;
      measurement.leader_sockets = static_cast<double>(usage.sockets);
    } else {
      measurement.follower_cores += cores / followers;
      measurement.follower_mb += usage.memory_mb / followers;
      measurement.follower_sockets += static_cast<double>(usage.sockets) / followers;
    }
  }
  measurement.simulator_cores = (after.this_process.cpu_s - before.this_process.cpu_s) / duration;
  measurement.heartbeats_per_s = rate(before.workers.heartbeats, after.workers.heartbeats);
  measurement.commands_per_s = rate(before.workers.worker_commands, after.workers.worker_commands);
  measurement.worker_bytes_per_s = rate(before.workers.bytes_in + before.workers.bytes_out,
                                        after.workers.bytes_in + after.workers.bytes_out) /
                                   settings_.machines;
  measurement.state_requests_per_s = rate(before.state.requests, after.state.requests);
  measurement.state_writes_per_s = rate(before.state.writes, after.state.writes);
  measurement.state_bytes_per_s = rate(before.state.bytes_in + before.state.bytes_out,
                                       after.state.bytes_in + after.state.bytes_out);
  measurement.cloud_requests_per_s = rate(before.cloud.requests, after.cloud.requests);
  measurement.starts_per_s = rate(before.starts, after.starts);
}

Measurement LoadTest::measure(const std::string& phase, Seconds duration) {
  Measurement measurement;
  measurement.quantity = phase;
  measurement.machines = settings_.machines;
  measurement.tasks = static_cast<double>(settings_.tasks());
  measurement.waiting_jobs = settings_.waiting_jobs;
  measurement.teams = settings_.teams;
  urgent_start_times_ = std::make_unique<Quantiles>();
  urgent_submitted_ = 0;
  set_urgent_load(true);
  const Snapshot before = snapshot();
  run_for(duration);
  const Snapshot after = snapshot();
  add_rates(measurement, before, after);
  add_urgent_results(measurement);
  constexpr double kNinetyNinthPercentile = 0.99;
  if (accept_times_.count() > 0)
    measurement.accept_p99_s = accept_times_.quantile(kNinetyNinthPercentile);
  measurement.state_keys = static_cast<double>(state_->keys());
  measurement.leases_lost = static_cast<double>(context_.counts.leases_lost);
  checker_.check_cancelled_jobs(steady_now());
  measurement.violations = static_cast<double>(checker_.violations().size());
  spdlog::info(
      "{}: leader {:.3f} cores, {:.0f} MB; urgent jobs start p50 {:.2f} s, p99 {:.2f} s; {} rule "
      "violations",
      phase, measurement.leader_cores, measurement.leader_mb, measurement.urgent_p50_s,
      measurement.urgent_p99_s, measurement.violations);
  return measurement;
}

Measurement LoadTest::measure_load() {
  Measurement fill_result;
  start_controllers();
  run_for(2 * settings_.heartbeat_period_s);  // time for every worker to find the leader
  fill_fleet(fill_result);
  submit_waiting_jobs();
  users_->start_polling(settings_.polls_per_s);
  run_for(settings_.settle_s);
  Measurement measurement = measure("load", settings_.measure_s);
  measurement.fill_s = fill_result.fill_s;
  measurement.filled = fill_result.filled;
  measurement.fill_leader_cpu_s = fill_result.fill_leader_cpu_s;
  return measurement;
}

// ---------------------------------------------------------------- faults

std::vector<Measurement> LoadTest::measure_faults() {
  std::vector<Measurement> out;
  out.push_back(measure_leader_killed());
  out.push_back(measure_follower_killed());
  out.push_back(measure_zone_silent());
  return out;
}

Measurement LoadTest::measure_leader_killed() {
  const size_t killed = find_leader().value_or(0);
  controllers_[killed].kill();
  const Seconds killed_at = steady_now();
  const size_t starts_before = checker_.starts();
  asio::steady_timer restart_timer(io_, to_microseconds(kRestartDelay));
  restart_timer.async_wait([&](auto error) {
    if (!error) controllers_[killed].start();
  });
  std::optional<Seconds> first_start;
  asio::steady_timer poll_timer(io_);
  const std::function<void()> poll_starts = [&] {
    if (checker_.starts() > starts_before) {
      first_start = steady_now();
      return;
    }
    poll_timer.expires_after(to_microseconds(kPollInterval));
    poll_timer.async_wait([&](auto error) {
      if (!error) poll_starts();
    });
  };
  poll_starts();
  Measurement measurement = measure("leader_killed", 2 * settings_.lease_s);
  measurement.takeover_s = first_start.value_or(steady_now()) - killed_at;
  return measurement;
}

Measurement LoadTest::measure_follower_killed() {
  const size_t killed = (find_leader().value_or(0) + 1) % controllers_.size();
  controllers_[killed].kill();
  asio::steady_timer restart_timer(io_, to_microseconds(kRestartDelay));
  restart_timer.async_wait([&](auto error) {
    if (!error) controllers_[killed].start();
  });
  return measure("follower_killed", settings_.lease_s);
}

Measurement LoadTest::measure_zone_silent() {
  const std::string zone = zone_name(static_cast<size_t>(settings_.zones) - 1);
  fleet_.set_zone_partitioned(zone, true);
  asio::steady_timer heal_timer(io_, to_microseconds(kPartitionLeaseFraction * settings_.lease_s));
  heal_timer.async_wait([&](auto error) {
    if (!error) fleet_.set_zone_partitioned(zone, false);
  });
  return measure("zone_silent", 1.5 * settings_.lease_s);
}

}  // namespace sumacquay::loadtest
