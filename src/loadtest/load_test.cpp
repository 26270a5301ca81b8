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

constexpr Seconds kStep = 0.02;
constexpr Seconds kStartTimeout = 60;
/// Delay before a killed controller is restarted.
constexpr Seconds kRestartAfter = 8;
/// Duration of a zone partition as a fraction of the workers' lease: no lease expires meanwhile.
constexpr double kSilenceLeaseShare = 0.4;
/// Timeout for the start of the urgent jobs that were submitted during the measurement.
constexpr Seconds kUrgentPatience = 10;

simulators::WorkerTimes times_of(const LoadSettings& settings) {
  simulators::WorkerTimes times;
  times.heartbeat_period_s = settings.heartbeat_period_s;
  times.lease_s = settings.lease_s;
  times.fetch_s = settings.fetch_s;
  return times;
}

simulators::WorkerContext context_of(asio::io_context& io, const LoadSettings& settings,
                                     const Addresses& addresses, simulators::JobBook& jobs,
                                     simulators::RuleChecker& checker) {
  std::vector<std::string> names;
  for (size_t i = 0; i < addresses.controllers.size(); ++i) names.push_back(controller_name(i));
  return {io,
          names,
          addresses.controllers,
          times_of(settings),
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
constexpr const char* kTuning = "idle = 100\n";

double share(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

}  // namespace

LoadTest::LoadTest(const LoadSettings& settings, LoadTestOptions options)
    : settings_(settings),
      options_(std::move(options)),
      addresses_(addresses_of(settings)),
      checker_(teams_of(settings), settings.cancel_s, jobs_),
      context_(context_of(io_, settings, addresses_, jobs_, checker_)),
      fleet_(context_, addresses_.workers_port),
      workload_(settings_),
      urgent_timer_(io_) {
  context_.task_running = [this](const std::string& job) { on_task_running(job); };
  simulators::StateServerOptions state;
  state.requests_per_s = settings.state_rps;
  state.writes_per_s = settings.state_write_rps;
  state_ = std::make_unique<simulators::StateServer>(io_, addresses_.state, state);
  simulators::CloudOptions cloud;
  cloud.types = {machine_type_of(settings)};
  cloud.requests_per_s = settings.cloud_rps;
  cloud.most_machines = static_cast<size_t>(settings.machines);
  cloud_ =
      std::make_unique<simulators::CloudServer>(io_, addresses_.cloud, std::move(cloud), fleet_);
  users_ = std::make_unique<simulators::Users>(io_, addresses_.controllers, jobs_, checker_);
  const auto zones = static_cast<size_t>(settings.zones);
  for (size_t i = 0; i < static_cast<size_t>(settings.machines); ++i)
    cloud_->add_running({machine_type_of(settings).name, zone_name(i % zones), false});
}

LoadTest::~LoadTest() {
  controllers_.clear();
}

// ---------------------------------------------------------------- event loop

void LoadTest::run_for(Seconds span) {
  const Seconds end = steady_now() + span;
  while (steady_now() < end)
    io_.run_for(to_milliseconds(std::min(kStep, std::max(end - steady_now(), 0.001))));
  require_running();
}

bool LoadTest::run_until(const std::function<bool()>& reached, Seconds most) {
  const Seconds end = steady_now() + most;
  while (steady_now() < end && !reached()) io_.run_for(to_milliseconds(kStep));
  return reached();
}

void LoadTest::require_running() {
  for (auto& controller : controllers_)
    if (controller.ended_by_itself())
      throw std::runtime_error(controller.name() + " has ended by itself; see its log in " +
                               options_.directory);
}

// ---------------------------------------------------------------- setup

void LoadTest::start_controllers() {
  const std::string tuning = options_.directory + "/tuning.conf";
  std::ofstream(tuning) << kTuning << options_.tuning;
  for (size_t i = 0; i < addresses_.controllers.size(); ++i) {
    const std::string base = options_.directory + "/" + controller_name(i);
    std::ofstream(base + ".toml") << controller_toml(settings_, i);
    controllers_.emplace_back(
        controller_name(i),
        ControllerProcess::Files{options_.program, base + ".toml", tuning, base + ".log"});
    controllers_.back().start();
  }
  if (!run_until([this] { return leader().has_value(); }, kStartTimeout))
    throw std::runtime_error("no controller leads; see their logs in " + options_.directory);
}

std::optional<size_t> LoadTest::leader() const {
  const auto value = state_->value(keys::kLeader);
  const auto document = value ? wire::Document::parse(*value) : nullptr;
  const auto record = document ? wire::decode_leader(document->root()) : std::nullopt;
  if (!record) return std::nullopt;
  for (size_t i = 0; i < controllers_.size(); ++i)
    if (controllers_[i].name() == record->node && controllers_[i].running()) return i;
  return std::nullopt;
}

void LoadTest::fill(Measurement& measurement) {
  const auto jobs = workload_.filling();
  const Seconds began = steady_now();
  const size_t index = leader().value_or(0);
  const double cpu_before = controllers_[index].usage().cpu_s;
  for (const auto& job : jobs)
    users_->submit(job, [this](Seconds took) { accept_times_.observe(took); });
  run_until([this] { return checker_.present() >= settings_.tasks(); }, settings_.fill_s);
  measurement.fill_s = steady_now() - began;
  measurement.filled =
      share(static_cast<double>(checker_.present()), static_cast<double>(settings_.tasks()));
  measurement.fill_leader_cpu_s = controllers_[index].usage().cpu_s - cpu_before;
  spdlog::info("{} of {} tasks run after {:.1f} s", checker_.present(), settings_.tasks(),
               measurement.fill_s);
}

void LoadTest::submit_waiting() {
  const auto count = static_cast<size_t>(settings_.waiting_jobs);
  const uint64_t before = users_->counts().accepted;
  for (size_t i = 0; i < count; ++i) users_->submit(workload_.waiting());
  run_until([&] { return users_->counts().accepted >= before + count; }, settings_.fill_s);
}

// ---------------------------------------------------------------- urgent jobs

void LoadTest::begin_urgent(bool on) {
  urgent_on_ = on && settings_.urgent_per_s > 0;
  if (urgent_on_) submit_urgent();
}

void LoadTest::submit_urgent() {
  urgent_timer_.expires_after(to_microseconds(1 / settings_.urgent_per_s));
  urgent_timer_.async_wait([this](auto error) {
    if (error || !urgent_on_) return;
    ++urgent_submitted_;
    users_->submit(workload_.urgent(), [this](Seconds took) { accept_times_.observe(took); });
    submit_urgent();
  });
}

void LoadTest::on_task_running(const std::string& id) {
  simulators::SubmittedJob& job = jobs_.at(id);
  if (job.began_at) return;
  job.began_at = steady_now();
  const bool urgent = job.spec.priority == Priority::High && job.spec.kind == JobKind::Array;
  if (urgent && urgent_of_phase_) urgent_of_phase_->observe(*job.began_at - *job.submitted_at);
}

void LoadTest::add_urgent(Measurement& measurement) {
  constexpr double kMedian = 0.5;
  constexpr double kNinth = 0.9;
  constexpr double kNinetyNinth = 0.99;
  begin_urgent(false);
  run_until([this] { return urgent_of_phase_->count() >= urgent_submitted_; }, kUrgentPatience);
  const Quantiles& waits = *urgent_of_phase_;
  measurement.urgent_started =
      share(static_cast<double>(waits.count()), static_cast<double>(urgent_submitted_));
  if (waits.count() == 0) return;
  measurement.urgent_p50_s = waits.quantile(kMedian);
  measurement.urgent_p90_s = waits.quantile(kNinth);
  measurement.urgent_p99_s = waits.quantile(kNinetyNinth);
  measurement.urgent_worst_s = waits.largest();
}

// ---------------------------------------------------------------- measurement

LoadTest::Snapshot LoadTest::snapshot() const {
  Snapshot out;
  out.at = steady_now();
  for (const auto& controller : controllers_) out.controllers.push_back(controller.usage());
  out.own = usage_of(getpid());
  out.workers = context_.counts;
  out.state = state_->counts();
  out.cloud = cloud_->counts();
  out.starts = checker_.starts();
  return out;
}

void LoadTest::add_rates(Measurement& m, const Snapshot& before, const Snapshot& after) const {
  const double span = after.at - before.at;
  const auto rate = [span](uint64_t from, uint64_t to) {
    return static_cast<double>(to - from) / span;
  };
  const size_t index = leader().value_or(0);
  const auto followers = static_cast<double>(controllers_.size() - 1);
  for (size_t i = 0; i < controllers_.size(); ++i) {
    const double cores =
        std::max(0.0, after.controllers[i].cpu_s - before.controllers[i].cpu_s) / span;
    const auto& usage = after.controllers[i];
    if (i == index) {
      m.leader_cores = cores;
      m.leader_mb = usage.memory_mb;
      m.leader_sockets = static_cast<double>(usage.sockets);
    } else {
      m.follower_cores += cores / followers;
      m.follower_mb += usage.memory_mb / followers;
      m.follower_sockets += static_cast<double>(usage.sockets) / followers;
    }
  }
  m.standin_cores = (after.own.cpu_s - before.own.cpu_s) / span;
  m.reports_per_s = rate(before.workers.heartbeats, after.workers.heartbeats);
  m.orders_per_s = rate(before.workers.worker_commands, after.workers.worker_commands);
  m.worker_bytes_per_s = rate(before.workers.bytes_in + before.workers.bytes_out,
                              after.workers.bytes_in + after.workers.bytes_out) /
                         settings_.machines;
  m.state_requests_per_s = rate(before.state.requests, after.state.requests);
  m.state_writes_per_s = rate(before.state.writes, after.state.writes);
  m.state_bytes_per_s = rate(before.state.bytes_in + before.state.bytes_out,
                             after.state.bytes_in + after.state.bytes_out);
  m.cloud_requests_per_s = rate(before.cloud.requests, after.cloud.requests);
  m.starts_per_s = rate(before.starts, after.starts);
}

Measurement LoadTest::measure(const std::string& phase, Seconds span) {
  Measurement m;
  m.quantity = phase;
  m.machines = settings_.machines;
  m.tasks = static_cast<double>(settings_.tasks());
  m.waiting_jobs = settings_.waiting_jobs;
  m.teams = settings_.teams;
  urgent_of_phase_ = std::make_unique<Quantiles>();
  urgent_submitted_ = 0;
  begin_urgent(true);
  const Snapshot before = snapshot();
  run_for(span);
  const Snapshot after = snapshot();
  add_rates(m, before, after);
  add_urgent(m);
  constexpr double kNinetyNinth = 0.99;
  if (accept_times_.count() > 0) m.accept_p99_s = accept_times_.quantile(kNinetyNinth);
  m.state_keys = static_cast<double>(state_->keys());
  m.leases_lost = static_cast<double>(context_.counts.leases_lost);
  checker_.check_cancelled(steady_now());
  m.violations = static_cast<double>(checker_.violations().size());
  spdlog::info(
      "{}: leader {:.3f} cores, {:.0f} MB; urgent work p50 {:.2f} s, p99 {:.2f} s; {} "
      "rules broken",
      phase, m.leader_cores, m.leader_mb, m.urgent_p50_s, m.urgent_p99_s, m.violations);
  return m;
}

Measurement LoadTest::measure_load() {
  Measurement filling;
  start_controllers();
  run_for(2 * settings_.heartbeat_period_s);  // time for every worker to find the leader
  fill(filling);
  submit_waiting();
  users_->poll(settings_.polls_per_s);
  run_for(settings_.settle_s);
  Measurement m = measure("load", settings_.measure_s);
  m.fill_s = filling.fill_s;
  m.filled = filling.filled;
  m.fill_leader_cpu_s = filling.fill_leader_cpu_s;
  return m;
}

// ---------------------------------------------------------------- faults

std::vector<Measurement> LoadTest::measure_faults() {
  std::vector<Measurement> out;
  out.push_back(leader_killed());
  out.push_back(follower_killed());
  out.push_back(zone_silent());
  return out;
}

Measurement LoadTest::leader_killed() {
  const size_t killed = leader().value_or(0);
  controllers_[killed].kill();
  const Seconds killed_at = steady_now();
  const size_t starts_before = checker_.starts();
  asio::steady_timer restart(io_, to_microseconds(kRestartAfter));
  restart.async_wait([&](auto error) {
    if (!error) controllers_[killed].start();
  });
  std::optional<Seconds> first_start;
  asio::steady_timer look(io_);
  const std::function<void()> look_again = [&] {
    if (checker_.starts() > starts_before) {
      first_start = steady_now();
      return;
    }
    look.expires_after(to_microseconds(kStep));
    look.async_wait([&](auto error) {
      if (!error) look_again();
    });
  };
  look_again();
  Measurement m = measure("leader_killed", 2 * settings_.lease_s);
  m.takeover_s = first_start.value_or(steady_now()) - killed_at;
  return m;
}

Measurement LoadTest::follower_killed() {
  const size_t killed = (leader().value_or(0) + 1) % controllers_.size();
  controllers_[killed].kill();
  asio::steady_timer restart(io_, to_microseconds(kRestartAfter));
  restart.async_wait([&](auto error) {
    if (!error) controllers_[killed].start();
  });
  return measure("follower_killed", settings_.lease_s);
}

Measurement LoadTest::zone_silent() {
  const std::string zone = zone_name(static_cast<size_t>(settings_.zones) - 1);
  fleet_.set_zone_silent(zone, true);
  asio::steady_timer back(io_, to_microseconds(kSilenceLeaseShare * settings_.lease_s));
  back.async_wait([&](auto error) {
    if (!error) fleet_.set_zone_silent(zone, false);
  });
  return measure("zone_silent", 1.5 * settings_.lease_s);
}

}  // namespace sumacquay::loadtest
