// What a fleet of 4,500 machines asks of the leader's decisions: no count in the code stands below
// that size, and a fleet that comes back all at once is taken in. docs/limits.md names each limit.
#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <set>

#include "dispatch/leader_core.h"
#include "generators.h"

namespace sumacquay {
namespace {

constexpr uint64_t kTerm = 7;
constexpr uint64_t kToken = kTerm << kTokenCounterBits;
constexpr double kNow = 1000;
constexpr int kMachines = 4500;

struct LargeFleet : ::testing::Test {
  Settings settings;
  MachineType type;
  std::unique_ptr<LeaderCore> core;
  uint64_t revision = 100;
  uint64_t reports = 0;

  LargeFleet() {
    settings.report_s = 6;
    settings.lease_s = 31;
    settings.cancel_s = 70;
    TeamSettings team;
    team.name = "t";
    settings.teams = {team};
    type.name = "g";
    type.room = {4, 4, 16};
    type.zones = {"e", "w"};
    type.boot_s = 50;
    core = std::make_unique<LeaderCore>(settings, kTerm, kNow, kNow);
    core->set_types({type});
  }

  static std::string machine(int i) { return "i-" + std::to_string(100000 + i); }
  static std::string job_id(int i) { return "job-" + std::to_string(100000 + i); }

  static JobRecord job(int i, uint32_t tasks, JobKind kind = JobKind::Array) {
    JobRecord record;
    record.spec.id = job_id(i);
    record.spec.team = "t";
    record.spec.kind = kind;
    record.spec.tasks = tasks;
    record.spec.need = {1, 1, 1};
    record.submitted_ms = 1;
    return record;
  }

  WorkerReport report(int i, uint64_t token, std::vector<TaskReport> tasks = {}) {
    WorkerReport r;
    r.machine = machine(i);
    r.addr = "10.0.0.2:9";
    r.type = "g";
    r.zone = i % 2 == 0 ? "e" : "w";
    r.session = 1;
    r.seq = ++reports;
    r.token = token;
    r.tasks = std::move(tasks);
    return r;
  }

  /// Machines that are up and have shown the leader's token.
  void add_machines(int count) {
    for (int i = 0; i < count; ++i) {
      core->report(report(i, 0), true, kNow);
      core->report(report(i, kToken), true, kNow);
    }
  }

  size_t placed(int job) const { return core->jobs().at(job_id(job)).placements.size(); }

  /// Machines of each request in the actions of a tick.
  template <class Kind, class Count>
  static std::vector<size_t> counts(const std::vector<Action>& actions, Count count) {
    std::vector<size_t> out;
    for (const auto& action : actions)
      if (const auto* one = std::get_if<Kind>(&action)) out.push_back(count(*one));
    return out;
  }
  static std::vector<size_t> rented(const std::vector<Action>& actions) {
    return counts<Rent>(actions, [](const Rent& rent) { return static_cast<size_t>(rent.count); });
  }
};

TEST_F(LargeFleet, AnArrayOfATaskForEachMachineIsPlacedInOneRound) {
  add_machines(kMachines);
  core->job_stored(job(1, kMachines), 5, kNow);
  core->tick(kNow);
  EXPECT_EQ(placed(1), size_t{kMachines});
}

TEST_F(LargeFleet, AnArrayThatNoFleetCouldStartFillsTheRoomThereIs) {
  add_machines(10);
  core->job_stored(job(1, 100000), 5, kNow);
  core->tick(kNow);
  EXPECT_EQ(placed(1), 40u) << "of a hundred thousand";
}

TEST_F(LargeFleet, AGangOfAMachineEachIsPlacedWhole) {
  add_machines(kMachines);
  auto gang = job(1, kMachines, JobKind::Gang);
  gang.spec.need = {4, 4, 4};
  core->job_stored(gang, 5, kNow);
  core->tick(kNow);
  EXPECT_EQ(placed(1), size_t{kMachines});
}

TEST_F(LargeFleet, RentsInProportionToTheFleetInRequestsThatTheCloudTakes) {
  add_machines(kMachines);
  core->job_stored(job(1, 4 * kMachines), 5, kNow);
  core->job_stored(job(2, 4 * kMachines), 6, kNow);
  const auto requests = rented(core->tick(kNow));
  size_t all = 0;
  for (const size_t request : requests) {
    EXPECT_LE(request, 50u) << "the protocol's limit";
    all += request;
  }
  EXPECT_EQ(all, static_cast<size_t>(settings.tuning.rent * kMachines));
}

TEST_F(LargeFleet, ManyMachinesAreReturnedInSeveralRequests) {
  constexpr int kIdle = 250;
  add_machines(kIdle);
  std::set<std::string> returned;
  double now = kNow;
  for (int step = 0; step < 40 && returned.size() < kIdle; ++step) {
    now += settings.report_s;
    for (int i = 0; i < kIdle; ++i)
      if (!returned.contains(machine(i))) core->report(report(i, kToken), true, now);
    for (const auto& action : core->tick(now)) {
      const auto* release = std::get_if<Release>(&action);
      if (!release) continue;
      EXPECT_LE(release->machines.size(), 100u) << "the protocol's limit";
      returned.insert(release->machines.begin(), release->machines.end());
      core->release_done(*release, true, now);
    }
  }
  EXPECT_EQ(returned.size(), size_t{kIdle});
}

// All workers report to a new leader at once: it takes in each of them, stops every task that was
// cancelled in the answer that renews the lease, and places what waited.
TEST_F(LargeFleet, ThatComesBackAllAtOnceIsTakenIn) {
  EXPECT_TRUE(testing::holds(
      "fleet that comes back",
      [this] {
        core = std::make_unique<LeaderCore>(settings, kTerm, kNow, kNow);
        core->set_types({type});
        const int cancelled = *rc::gen::inRange(0, kMachines);
        const int waiting = *rc::gen::inRange(1000, 3000);
        std::mt19937_64 random(static_cast<uint64_t>(*rc::gen::inRange(0, 1 << 30)));
        for (int i = 0; i < kMachines; ++i) {
          HostRecord host;
          host.id = machine(i);
          host.addr = "10.0.0.2:9";
          host.type = "g";
          host.zone = i % 2 == 0 ? "e" : "w";
          core->host_stored(host, kNow);
          auto record = job(i, 1);
          record.started = true;
          record.hosts = std::vector<std::string>{machine(i)};
          if (i < cancelled) record.state = JobState::Cancelled;
          core->job_stored(record, ++revision, kNow);
        }
        for (int i = 0; i < waiting; ++i) core->job_stored(job(kMachines + i, 1), ++revision, kNow);
        RC_ASSERT(!core->all_accounted());
        std::vector<int> order(kMachines);
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), random);
        constexpr uint64_t kOldToken = (kTerm - 1) << kTokenCounterBits;
        for (const int i : order) {
          const TaskReport task{{job_id(i), 0}, kOldToken | 1, TaskState::Running};
          const auto answer = core->report(report(i, kOldToken, {task}), true, kNow);
          RC_ASSERT(answer.fresh && answer.token >= kToken);
          const bool stops =
              std::any_of(answer.commands.begin(), answer.commands.end(),
                          [](const Command& command) { return command.verb == Verb::Stop; });
          RC_ASSERT(stops == (i < cancelled));
          core->report(report(i, kToken, {task}), true, kNow);
        }
        RC_ASSERT(core->all_accounted());
        core->tick(kNow);
        size_t started = 0;
        for (int i = 0; i < waiting; ++i) started += placed(kMachines + i);
        RC_ASSERT(started == static_cast<size_t>(waiting));
      },
      3));
}

TEST_F(LargeFleet, ATermWhoseTokensRunOutIsGivenUpInTime) {
  add_machines(1);
  constexpr uint64_t kFewLeft = kTokenCounterEnd * 95 / 100;
  for (uint64_t i = 0; i < kFewLeft; ++i) {
    ASSERT_TRUE(i >= kTokenCounterEnd / 2 || !core->term_nearly_used_up());
    core->orders_done(machine(0), std::nullopt, false, kNow);
  }
  EXPECT_TRUE(core->term_nearly_used_up());
  EXPECT_EQ(core->report(report(0, kToken), true, kNow).token >> kTokenCounterBits, kTerm);
}

// Beyond the last number an attempt would be one of the next leader's.
TEST(TermNumbers, EndBeforeTheNextTermsNumbersAndSayInTimeThatTheyDo) {
  TermNumbers numbers(kTerm);
  uint64_t last = 0;
  size_t handed_out = 0;
  size_t left_when_told = 0;
  while (numbers.attempts_left() > 0) {
    const uint64_t attempt = numbers.new_attempt();
    ASSERT_GT(attempt, last);
    ASSERT_EQ(term_of_token(attempt), kTerm);
    last = attempt;
    ++handed_out;
    if (numbers.nearly_used_up() && left_when_told == 0) left_when_told = numbers.attempts_left();
  }
  EXPECT_EQ(handed_out, kTokenCounterEnd - 1);
  EXPECT_GT(left_when_told, size_t{100000}) << "an array of the protocol's largest size";
}

}  // namespace
}  // namespace sumacquay
