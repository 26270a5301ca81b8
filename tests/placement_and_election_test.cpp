// Tests of placement, preemption, scale-out planning and leader election.
#include <gtest/gtest.h>

#include <limits>
#include <map>
#include <random>

#include "autoscaling/scale_out_planner.h"
#include "generators.h"
#include "leadership/leader_election.h"
#include "placement/placement.h"

namespace sumacquay {
namespace {

using testing::check_property;

CandidateMachine candidate(const std::string& id, const std::string& zone, Resources capacity) {
  CandidateMachine result;
  result.machine = id;
  result.type = "g";
  result.zone = zone;
  result.capacity = result.available = capacity;
  return result;
}

TEST(BinPacking, RespectsConstraintsAndPlacesGangsAtomically) {
  EXPECT_TRUE(check_property(
      "bin_pack() respects all constraints",
      [] {
        JobSpec spec;
        spec.kind = *rc::gen::element(JobKind::Array, JobKind::Gang, JobKind::Service);
        spec.tasks = static_cast<uint32_t>(*rc::gen::inRange(1, 8));
        spec.request = {*rc::gen::inRange(1, 5) * 1.0, *rc::gen::inRange(0, 3) * 1.0, 1};
        spec.one_zone = *rc::gen::arbitrary<bool>();
        spec.spread = !spec.one_zone && *rc::gen::arbitrary<bool>();
        std::vector<CandidateMachine> candidates;
        const int machine_count = *rc::gen::inRange(0, 6);
        for (int i = 0; i < machine_count; ++i) {
          candidates.push_back(
              candidate("m" + std::to_string(i), *rc::gen::element<std::string>("e", "w"),
                        {*rc::gen::inRange(0, 12) * 1.0, *rc::gen::inRange(0, 5) * 1.0, 8}));
          candidates.back().schedulable = *rc::gen::inRange(0, 5) > 0;
          candidates.back().spot = *rc::gen::inRange(0, 5) == 0;
        }
        const auto before = candidates;
        PlacementRequest request;
        request.spec = &spec;
        for (uint32_t t = 0; t < spec.tasks; ++t) request.tasks.push_back(t);
        const auto assignments = bin_pack(request, candidates);
        if (spec.kind == JobKind::Gang)
          RC_ASSERT(assignments.empty() || assignments.size() == spec.tasks);
        std::map<std::string, uint32_t> zones;
        std::vector<Resources> used(candidates.size());
        for (const auto& assignment : assignments) {
          RC_ASSERT(before[assignment.candidate].schedulable && !before[assignment.candidate].spot);
          used[assignment.candidate] += spec.request;
          ++zones[before[assignment.candidate].zone];
        }
        for (size_t i = 0; i < candidates.size(); ++i) {
          RC_ASSERT(used[i].fits_in(before[i].available));
          Resources remaining = before[i].available;
          remaining -= used[i];
          RC_ASSERT(remaining == candidates[i].available);
        }
        if (spec.one_zone) RC_ASSERT(zones.size() <= 1u);
        if (spec.spread)
          for (const auto& [zone, count] : zones) RC_ASSERT(count <= (spec.tasks + 1) / 2);
      },
      1000));
}

TEST(BinPacking, PrefersMachineWithFewestFreeGpusThenCachedImage) {
  JobSpec spec;
  spec.request = {1, 1, 1};
  PlacementRequest request;
  request.spec = &spec;
  request.tasks = {0};
  std::vector<CandidateMachine> candidates{candidate("empty", "e", {8, 8, 64}),
                                           candidate("fuller", "e", {8, 8, 64})};
  candidates[1].available.gpus = 2;
  EXPECT_EQ(bin_pack(request, candidates).at(0).candidate, 1u);
  std::vector<CandidateMachine> equal_candidates{candidate("a", "e", {8, 8, 64}),
                                                 candidate("b", "e", {8, 8, 64})};
  request.has_image = [](const CandidateMachine& c) { return c.machine == "b"; };
  EXPECT_EQ(bin_pack(request, equal_candidates).at(0).candidate, 1u)
      << "of equally full machines the one with the cached image is chosen";
}

TEST(BinPacking, PrefersSmallMachineUnlessImageComesFirst) {
  JobSpec spec;
  spec.request = {1, 1, 1};
  PlacementRequest request;
  request.spec = &spec;
  request.tasks = {0};
  std::vector<CandidateMachine> candidates{candidate("large", "e", {8, 8, 64}),
                                           candidate("small", "e", {4, 4, 32})};
  candidates[0].available.gpus = 1;
  EXPECT_EQ(bin_pack(request, candidates).at(0).candidate, 1u)
      << "the small machine is chosen although the large one is fuller";
  std::vector<CandidateMachine> other_candidates{candidate("large", "e", {8, 8, 64}),
                                                 candidate("small", "e", {4, 4, 32})};
  request.prefer_cached_image = true;
  request.has_image = [](const CandidateMachine& c) { return c.machine == "large"; };
  EXPECT_EQ(bin_pack(request, other_candidates).at(0).candidate, 0u)
      << "with prefer_cached_image the cached image takes precedence over the machine's size";
}

TEST(VictimSelection, PicksCheapestVictimOfLowerPriority) {
  JobSpec spec;
  spec.priority = Priority::High;
  spec.request = {4, 4, 1};
  PlacementRequest request;
  request.spec = &spec;
  request.tasks = {0};
  std::vector<CandidateMachine> candidates{candidate("a", "e", {8, 8, 64}),
                                           candidate("b", "e", {8, 8, 64})};
  candidates[0].available = candidates[1].available = {};
  const Resources four_gpus{4, 4, 1};
  std::vector<Victim> victims{{"prod", 0, 0, four_gpus, Priority::Production, 0},
                              {"peer", 0, 0, four_gpus, Priority::High, 0},
                              {"dear", 0, 1, four_gpus, Priority::Low, 50},
                              {"cheap", 0, 1, four_gpus, Priority::Low, 5}};
  auto preemption = preempt(request, candidates, victims);
  ASSERT_TRUE(preemption.has_value());
  EXPECT_EQ(preemption->victims, std::vector<size_t>{3});
  victims.resize(2);
  EXPECT_FALSE(preempt(request, candidates, victims).has_value());
  candidates[1].releasing = four_gpus;
  EXPECT_TRUE(preempt(request, candidates, victims)->already_releasing)
      << "resources that are being released suffice: no further victims";
}

/// Reference implementation of preempt() without its shortcuts: sorts and evaluates the victims of
/// every candidate machine.
std::optional<Preemption> exhaustive_preempt(const PlacementRequest& request,
                                             const std::vector<CandidateMachine>& candidates,
                                             const std::vector<Victim>& victims) {
  std::optional<Preemption> best;
  double best_loss = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].schedulable) continue;
    Resources capacity = candidates[i].available;
    capacity += candidates[i].releasing;
    if (request.spec->request.fits_in(capacity)) return Preemption{i, {}, true};
    std::vector<size_t> sorted_victims;
    for (size_t v = 0; v < victims.size(); ++v)
      if (victims[v].candidate == i && !victims[v].being_stopped &&
          victims[v].priority < request.spec->priority)
        sorted_victims.push_back(v);
    std::stable_sort(sorted_victims.begin(), sorted_victims.end(), [&](size_t a, size_t b) {
      return std::tie(victims[a].priority, victims[a].loss_s) <
             std::tie(victims[b].priority, victims[b].loss_s);
    });
    Preemption preemption{i, {}, false};
    double loss = 0;
    for (size_t v : sorted_victims) {
      if (request.spec->request.fits_in(capacity)) break;
      capacity += victims[v].request;
      loss += 1 + victims[v].loss_s + 1000.0 * static_cast<int>(victims[v].priority);
      preemption.victims.push_back(v);
    }
    if (request.spec->request.fits_in(capacity) && (!best || loss < best_loss))
      best = preemption, best_loss = loss;
  }
  return best;
}

TEST(VictimSelection, MatchesExhaustiveSearch) {
  EXPECT_TRUE(testing::check_property("preempt() agrees with the exhaustive search", [] {
    const auto random_resources = [](int limit) {
      return Resources{*rc::gen::inRange(0, limit) * 0.25, *rc::gen::inRange(0, 3) * 1.0,
                       *rc::gen::inRange(0, limit) * 0.5};
    };
    const auto priority =
        rc::gen::element(Priority::Low, Priority::Normal, Priority::High, Priority::Production);
    JobSpec spec;
    spec.priority = *priority;
    spec.request = random_resources(16);
    PlacementRequest request;
    request.spec = &spec;
    request.tasks = {0};
    std::vector<CandidateMachine> candidates;
    for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
      candidates.push_back(candidate("m" + std::to_string(i), "e", {8, 8, 64}));
      candidates.back().available = random_resources(8);
      if (*rc::gen::arbitrary<bool>()) candidates.back().releasing = random_resources(8);
      candidates.back().schedulable = *rc::gen::inRange(0, 4) > 0;
    }
    std::vector<Victim> victims;
    for (int i = *rc::gen::inRange(0, 14); i > 0; --i) {
      Victim victim{
          "job",     0,      *rc::gen::inRange<size_t>(0, candidates.size()), random_resources(10),
          *priority, i * 0.5};  // all losses differ: ties have no defined order
      victim.being_stopped = *rc::gen::inRange(0, 5) == 0;
      victims.push_back(victim);
    }
    const auto actual = preempt(request, candidates, victims);
    const auto expected = exhaustive_preempt(request, candidates, victims);
    RC_ASSERT(actual.has_value() == expected.has_value());
    if (!actual) return;
    RC_ASSERT(actual->candidate == expected->candidate);
    RC_ASSERT(actual->victims == expected->victims);
    RC_ASSERT(actual->already_releasing == expected->already_releasing);
  }));
}

// Guards against replicas of a few CPUs that preempt gangs on whole machines, four of them at once.
TEST(VictimSelection, GangIsPreemptedOnlyForTaskThatNeedsLargeShareOfMachine) {
  JobSpec spec;
  spec.priority = Priority::Production;
  spec.request = {2, 0, 6};
  PlacementRequest request;
  request.spec = &spec;
  request.tasks = {0};
  std::vector<CandidateMachine> candidates{candidate("a", "e", {96, 8, 384})};
  candidates[0].available = {};
  std::vector<Victim> victims{{"gang", 0, 0, {86, 8, 310}, Priority::High, 0, true}};
  EXPECT_FALSE(preempt(request, candidates, victims).has_value());
  spec.request = {33, 4, 100};
  EXPECT_TRUE(preempt(request, candidates, victims).has_value());
}

TEST(GpuReservation, ReservesCpusBesideFreeGpusForWaitingGpuTask) {
  std::vector<CandidateMachine> candidates(2);
  for (auto& c : candidates) c.type = "g", c.zone = "e", c.capacity = {96, 8, 384};
  candidates[0].available = {10, 6, 300};
  candidates[1].available = {14, 2, 300};
  JobSpec gpu_job;
  JobSpec cpu_job;
  gpu_job.request = {16, 2, 50};
  cpu_job.request = {1, 0, 1};
  PlacementRequest gpu_request;
  PlacementRequest cpu_request;
  gpu_request.spec = &gpu_job;
  gpu_request.tasks = {0};
  ASSERT_TRUE(bin_pack(gpu_request, candidates).empty());
  reserve_for_gpu_tasks(gpu_request, candidates);
  cpu_request.spec = &cpu_job;
  for (uint32_t t = 0; t < 100; ++t) cpu_request.tasks.push_back(t);
  const auto assignments = bin_pack(cpu_request, candidates);
  EXPECT_EQ(assignments.size(), 10u)
      << "the second machine, which lacks the fewest CPUs, is reserved";
  for (const auto& assignment : assignments) EXPECT_EQ(assignment.candidate, 0u);
  candidates[1].available.cpus = 16;
  EXPECT_EQ(bin_pack(gpu_request, candidates).size(), 1u)
      << "the GPU task is placed once enough CPUs are free";
}

TEST(ScaleOutPlanner, CountsBootingMachinesAndSkipsBlockedOfferings) {
  MachineType machine_type;
  machine_type.name = "g";
  machine_type.capacity = {8, 8, 64};
  machine_type.zones = {"e", "w"};
  JobSpec spec;
  spec.request = {4, 4, 4};
  spec.tasks = 4;
  spec.kind = JobKind::Service;
  PlacementRequest request;
  request.spec = &spec;
  request.tasks = {0, 1, 2, 3};
  std::vector<CandidateMachine> booting{candidate("b", "e", machine_type.capacity)};
  std::vector<InstanceOffering> offerings{{&machine_type, "e", false, 10, true},
                                          {&machine_type, "w", false, 10, false},
                                          {&machine_type, "w", true, 1, false}};
  const auto scale_out = plan_scale_out({request}, booting, offerings, 10);
  ASSERT_EQ(scale_out.size(), 1u);
  EXPECT_EQ(scale_out[0].zone, "w");
  EXPECT_FALSE(scale_out[0].spot) << "the job may not use spot machines";
  EXPECT_EQ(scale_out[0].count, 1) << "two of the four tasks fit on the booting machine";
}

/// Nodes and a key-value store that holds the leader's key. The test generates time, message
/// delays, stalls and lost renewals.
struct SimulatedElection {
  struct Node {
    std::unique_ptr<LeaderElection> election;
    double clock_rate = 1;  ///< rate of its steady clock
  };
  double now = 0, lease_end = -1;
  uint64_t term = 0, holder_lease = 0, next_lease = 1;
  std::multimap<double, std::function<void()>> events;
  std::vector<Node> nodes;
  std::map<uint64_t, double> leases;

  void schedule(double delay, std::function<void()> callback) {
    events.emplace(now + delay, std::move(callback));
  }
  void expire_leases() {
    for (auto it = leases.begin(); it != leases.end();)
      it = it->second <= now ? leases.erase(it) : std::next(it);
    if (holder_lease && !leases.contains(holder_lease)) holder_lease = 0;
  }
};

TEST(LeaderElectionStateMachine, AtMostOneNodeMayActAndTermsIncrease) {
  EXPECT_TRUE(check_property(
      "at most one node acts, and terms increase",
      [] {
        SimulatedElection cluster;
        // rapidcheck generates only a seed per run: values that it generates one by one at small
        // sizes would make every node stall.
        std::mt19937_64 rng(*rc::gen::noShrink(rc::gen::arbitrary<uint64_t>()));
        auto draw = [&rng](int min, int end) {
          return std::uniform_int_distribution<int>(min, end - 1)(rng);
        };
        const double lease = 2;
        auto delay = [&] { return draw(0, 100) < 90 ? draw(1, 30) * 0.001 : draw(1, 300) * 0.01; };
        std::vector<uint64_t> terms;
        for (int i = 0; i < 3; ++i) {
          cluster.nodes.push_back({nullptr, 1 + 0.0005 * (i - 1)});
          LeaderElection::Effects effects;
          auto self = [&cluster, i] { return cluster.nodes[i].election.get(); };
          auto clock = [&cluster, i] { return cluster.now * cluster.nodes[i].clock_rate; };
          effects.grant = [&, self, clock](uint64_t campaign, Seconds ttl) {
            const double requested_at = clock();
            cluster.schedule(delay(), [&, self, clock, requested_at, ttl, campaign] {
              const uint64_t id = cluster.next_lease++;
              cluster.leases[id] = cluster.now + ttl;
              cluster.schedule(delay(), [self, clock, id, requested_at, campaign] {
                self()->granted(clock(), campaign, id, requested_at);
              });
            });
          };
          effects.elect = [&, self, clock](uint64_t campaign, uint64_t id) {
            cluster.schedule(delay(), [&, self, clock, id, campaign] {
              cluster.expire_leases();
              const bool won = cluster.holder_lease == 0 && cluster.leases.contains(id);
              if (won) {
                cluster.holder_lease = id;
                terms.push_back(++cluster.term);
              }
              cluster.schedule(delay(), [self, clock, won, campaign, t = cluster.term] {
                self()->elected(clock(), campaign, won, t);
              });
            });
          };
          effects.renew = [&, self, clock](uint64_t id) {
            const double sent_at = clock();
            const bool renewal_lost = draw(0, 10) == 0;
            cluster.schedule(delay(), [&, self, clock, id, sent_at, renewal_lost] {
              cluster.expire_leases();
              const bool lease_exists = cluster.leases.contains(id);
              if (lease_exists && !renewal_lost) cluster.leases[id] = cluster.now + 2;
              cluster.schedule(delay(), [self, clock, id, sent_at, lease_exists, renewal_lost] {
                self()->renewed(clock(), id, sent_at, !renewal_lost && lease_exists,
                                !renewal_lost && !lease_exists);
              });
            });
          };
          effects.state_changed = [](LeaderElection::State, LeaderElection::State) {};
          cluster.nodes[i].election = std::make_unique<LeaderElection>(
              LeaderElection::Config{lease, 0.5, 10, 0.002}, effects);
        }
        for (; cluster.now < 30; cluster.now += 0.01) {
          while (!cluster.events.empty() && cluster.events.begin()->first <= cluster.now) {
            auto callback = std::move(cluster.events.begin()->second);
            cluster.events.erase(cluster.events.begin());
            callback();
          }
          cluster.expire_leases();
          int acting_nodes = 0;
          for (auto& node : cluster.nodes) {
            const bool stalls = draw(0, 20) == 0;
            if (!stalls)
              node.election->tick(cluster.now * node.clock_rate, true, cluster.holder_lease != 0,
                                  0.5);
            acting_nodes += node.election->may_act(cluster.now * node.clock_rate);
          }
          RC_ASSERT(acting_nodes <= 1);
        }
        RC_ASSERT(!terms.empty());
        RC_ASSERT(std::is_sorted(terms.begin(), terms.end()));
      },
      100));
}

TEST(LeaderElectionStateMachine, DoesNotCampaignDuringRestAfterResigning) {
  int campaigns = 0;
  LeaderElection election({2, 0.5, 10, 0.002},
                          {[&](LeaderElection::Campaign, Seconds) { ++campaigns; },
                           [](LeaderElection::Campaign, uint64_t) {}, [](uint64_t) {},
                           [](LeaderElection::State, LeaderElection::State) {}});
  election.tick(0, true, false, 0);
  election.tick(0.1, true, false, 0);
  election.granted(0.2, 1, 7, 0.1);
  election.elected(0.3, 1, true, 1);
  ASSERT_TRUE(election.may_act(0.4));
  election.resign(0.5, 4);
  EXPECT_FALSE(election.may_act(0.5) || election.may_answer(0.5));
  election.tick(1, true, false, 0);
  election.tick(4, true, false, 0);
  EXPECT_EQ(campaigns, 1);
  election.tick(4.6, true, false, 0);
  election.tick(4.8, true, false, 0);
  EXPECT_EQ(campaigns, 2) << "no other node was elected during the rest period";
}

/// A leader election with a log of its requests and state changes.
struct RecordedElection {
  std::vector<std::string> log;
  LeaderElection::Campaign campaign = 0;
  LeaderElection election{{2, 0.5, 3, 0.002}, effects()};

  LeaderElection::Effects effects() {
    LeaderElection::Effects effects;
    effects.grant = [this](LeaderElection::Campaign c, Seconds) {
      campaign = c, log.emplace_back("grant");
    };
    effects.elect = [this](LeaderElection::Campaign, uint64_t) { log.emplace_back("elect"); };
    effects.renew = [this](uint64_t) { log.emplace_back("renew"); };
    effects.state_changed = [this](LeaderElection::State, LeaderElection::State to) {
      log.emplace_back(name(to));
    };
    return effects;
  }
};

TEST(LeaderElectionStateMachine, FollowerOfKnownLeaderHasNothingDue) {
  RecordedElection follower;
  follower.election.tick(1, true, true, 0.5);
  EXPECT_EQ(follower.election.due_at(1), std::numeric_limits<Seconds>::max());
}

TEST(LeaderElectionStateMachine, TicksBeforeDueTimeHaveNoEffect) {
  EXPECT_TRUE(rc::check("ticks at events and due times have the effects of periodic ticks", [] {
    constexpr Seconds kStep = 0.01;
    RecordedElection periodic;
    RecordedElection due_only;
    bool leader_known = false;
    const auto events = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 40));
    Seconds now = 0;
    uint64_t term = 0;
    for (const int event : events) {
      term += event == 4;
      for (auto* m : {&periodic, &due_only}) {
        if (event == 0) m->election.granted(now, m->campaign, 7, now);
        if (event == 1) m->election.elected(now, m->campaign, true, term + 1);
        if (event == 2) m->election.renewed(now, 7, now, true, false);
        if (event == 3) m->election.renewed(now, 7, now, false, false);
        if (event == 4) m->election.observe_term(now, term);
        if (event == 5) m->election.resign(now, 1);
        if (event == 7) m->election.renewed(now, 7, now, false, true);
      }
      if (event == 6) leader_known = !leader_known;
      bool changed = true;
      for (int i = 0; i < 20; ++i, now += kStep) {
        periodic.election.tick(now, true, leader_known, 0.5);
        if (changed || now >= due_only.election.due_at(now - kStep)) {
          const auto before = due_only.log.size();
          due_only.election.tick(now, true, leader_known, 0.5);
          changed = due_only.log.size() != before;
        }
        RC_ASSERT(periodic.log == due_only.log);
      }
    }
  }));
}

TEST(LeaderElectionStateMachine, AnswersWithinGracePeriodOnlyAndStepsDownForHigherTerm) {
  std::vector<LeaderElection::State> states;
  LeaderElection::Effects effects;
  effects.grant = [](uint64_t, Seconds) {};
  effects.elect = [](uint64_t, uint64_t) {};
  effects.renew = [](uint64_t) {};
  effects.state_changed = [&](LeaderElection::State, LeaderElection::State to) {
    states.push_back(to);
  };
  auto new_leader = [&] {
    LeaderElection election({2, 0.5, 10, 0}, effects);
    election.tick(0, true, false, 0);
    election.tick(0, true, false, 0);
    election.granted(0, 1, 7, 0);
    election.elected(0, 1, true, 3);
    return election;
  };
  LeaderElection election = new_leader();
  election.set_records_current_at(5);
  EXPECT_TRUE(election.may_act(1.9));
  EXPECT_FALSE(election.may_act(2.1));
  election.tick(2.1, true, true, 0);
  EXPECT_EQ(election.state(), LeaderElection::State::LeaseExpired);
  EXPECT_TRUE(election.may_answer(11.9));
  EXPECT_FALSE(election.may_answer(12.1));
  election.tick(12.1, true, true, 0);
  EXPECT_EQ(election.state(), LeaderElection::State::Follower);
  LeaderElection second_leader = new_leader();
  second_leader.observe_term(1, 4);
  EXPECT_FALSE(second_leader.may_answer(1)) << "another node leads with a higher term";
}

}  // namespace
}  // namespace sumacquay
