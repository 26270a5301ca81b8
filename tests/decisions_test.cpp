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

using testing::holds;

CandidateMachine candidate(const std::string& id, const std::string& zone, Resources capacity) {
  CandidateMachine s;
  s.machine = id;
  s.type = "g";
  s.zone = zone;
  s.capacity = s.available = capacity;
  return s;
}

TEST(Placement, KeepsEveryLimitAndPlacesGangsWholeOrNotAtAll) {
  EXPECT_TRUE(holds(
      "bin_pack() respects all constraints",
      [] {
        JobSpec spec;
        spec.kind = *rc::gen::element(JobKind::Array, JobKind::Gang, JobKind::Service);
        spec.tasks = static_cast<uint32_t>(*rc::gen::inRange(1, 8));
        spec.request = {*rc::gen::inRange(1, 5) * 1.0, *rc::gen::inRange(0, 3) * 1.0, 1};
        spec.one_zone = *rc::gen::arbitrary<bool>();
        spec.spread = !spec.one_zone && *rc::gen::arbitrary<bool>();
        std::vector<CandidateMachine> candidates;
        const int n = *rc::gen::inRange(0, 6);
        for (int i = 0; i < n; ++i) {
          candidates.push_back(
              candidate("m" + std::to_string(i), *rc::gen::element<std::string>("e", "w"),
                        {*rc::gen::inRange(0, 12) * 1.0, *rc::gen::inRange(0, 5) * 1.0, 8}));
          candidates.back().schedulable = *rc::gen::inRange(0, 5) > 0;
          candidates.back().spot = *rc::gen::inRange(0, 5) == 0;
        }
        const auto before = candidates;
        PlacementRequest d;
        d.spec = &spec;
        for (uint32_t t = 0; t < spec.tasks; ++t) d.tasks.push_back(t);
        const auto assignments = bin_pack(d, candidates);
        if (spec.kind == JobKind::Gang)
          RC_ASSERT(assignments.empty() || assignments.size() == spec.tasks);
        std::map<std::string, uint32_t> zones;
        std::vector<Resources> taken(candidates.size());
        for (const auto& p : assignments) {
          RC_ASSERT(before[p.candidate].schedulable && !before[p.candidate].spot);
          taken[p.candidate] += spec.request;
          ++zones[before[p.candidate].zone];
        }
        for (size_t i = 0; i < candidates.size(); ++i) {
          RC_ASSERT(taken[i].fits_in(before[i].available));
          Resources left = before[i].available;
          left -= taken[i];
          RC_ASSERT(left == candidates[i].available);
        }
        if (spec.one_zone) RC_ASSERT(zones.size() <= 1u);
        if (spec.spread)
          for (const auto& [zone, count] : zones) RC_ASSERT(count <= (spec.tasks + 1) / 2);
      },
      1000));
}

TEST(Placement, PacksOntoTheFullestMachineGpusFirst) {
  JobSpec spec;
  spec.request = {1, 1, 1};
  PlacementRequest d;
  d.spec = &spec;
  d.tasks = {0};
  std::vector<CandidateMachine> candidates{candidate("empty", "e", {8, 8, 64}),
                                           candidate("fuller", "e", {8, 8, 64})};
  candidates[1].available.gpus = 2;
  EXPECT_EQ(bin_pack(d, candidates).at(0).candidate, 1u);
  std::vector<CandidateMachine> tie{candidate("a", "e", {8, 8, 64}),
                                    candidate("b", "e", {8, 8, 64})};
  d.has_image = [](const CandidateMachine& s) { return s.machine == "b"; };
  EXPECT_EQ(bin_pack(d, tie).at(0).candidate, 1u)
      << "of equally full machines the one with the cached image is chosen";
}

TEST(Placement, LeavesLargeMachinesToThoseThatNeedThem) {
  JobSpec spec;
  spec.request = {1, 1, 1};
  PlacementRequest d;
  d.spec = &spec;
  d.tasks = {0};
  std::vector<CandidateMachine> candidates{candidate("large", "e", {8, 8, 64}),
                                           candidate("small", "e", {4, 4, 32})};
  candidates[0].available.gpus = 1;
  EXPECT_EQ(bin_pack(d, candidates).at(0).candidate, 1u)
      << "the small machine is chosen although the large one is fuller";
  std::vector<CandidateMachine> again{candidate("large", "e", {8, 8, 64}),
                                      candidate("small", "e", {4, 4, 32})};
  d.image_first = true;
  d.has_image = [](const CandidateMachine& s) { return s.machine == "large"; };
  EXPECT_EQ(bin_pack(d, again).at(0).candidate, 0u)
      << "with image_first the cached image takes precedence over the machine's size";
}

TEST(Placement, StopsOnlyLowerPriorityAndTheLeast) {
  JobSpec spec;
  spec.priority = Priority::High;
  spec.request = {4, 4, 1};
  PlacementRequest d;
  d.spec = &spec;
  d.tasks = {0};
  std::vector<CandidateMachine> candidates{candidate("a", "e", {8, 8, 64}),
                                           candidate("b", "e", {8, 8, 64})};
  candidates[0].available = candidates[1].available = {};
  const Resources four{4, 4, 1};
  std::vector<Victim> victims{{"prod", 0, 0, four, Priority::Production, 0},
                              {"peer", 0, 0, four, Priority::High, 0},
                              {"dear", 0, 1, four, Priority::Low, 50},
                              {"cheap", 0, 1, four, Priority::Low, 5}};
  auto p = preempt(d, candidates, victims);
  ASSERT_TRUE(p.has_value());
  EXPECT_EQ(p->victims, std::vector<size_t>{3});
  victims.resize(2);
  EXPECT_FALSE(preempt(d, candidates, victims).has_value());
  candidates[1].releasing = four;
  EXPECT_TRUE(preempt(d, candidates, victims)->already_releasing)
      << "resources that are being released suffice: no further victims";
}

/// Reference implementation of preempt() without its shortcuts: sorts and evaluates the victims of
/// every candidate machine.
std::optional<Preemption> plain_preempt(const PlacementRequest& d,
                                        const std::vector<CandidateMachine>& candidates,
                                        const std::vector<Victim>& victims) {
  std::optional<Preemption> best;
  double best_loss = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].schedulable) continue;
    Resources capacity = candidates[i].available;
    capacity += candidates[i].releasing;
    if (d.spec->request.fits_in(capacity)) return Preemption{i, {}, true};
    std::vector<size_t> order;
    for (size_t v = 0; v < victims.size(); ++v)
      if (victims[v].candidate == i && !victims[v].stopped &&
          victims[v].priority < d.spec->priority)
        order.push_back(v);
    std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
      return std::tie(victims[a].priority, victims[a].loss_s) <
             std::tie(victims[b].priority, victims[b].loss_s);
    });
    Preemption p{i, {}, false};
    double loss = 0;
    for (size_t v : order) {
      if (d.spec->request.fits_in(capacity)) break;
      capacity += victims[v].request;
      loss += 1 + victims[v].loss_s + 1000.0 * static_cast<int>(victims[v].priority);
      p.victims.push_back(v);
    }
    if (d.spec->request.fits_in(capacity) && (!best || loss < best_loss))
      best = p, best_loss = loss;
  }
  return best;
}

TEST(Placement, FindsTheSameVictimsAsThePlainSearch) {
  EXPECT_TRUE(testing::holds("preempt() agrees with the exhaustive search", [] {
    const auto amounts = [](int most) {
      return Resources{*rc::gen::inRange(0, most) * 0.25, *rc::gen::inRange(0, 3) * 1.0,
                       *rc::gen::inRange(0, most) * 0.5};
    };
    const auto priority =
        rc::gen::element(Priority::Low, Priority::Normal, Priority::High, Priority::Production);
    JobSpec spec;
    spec.priority = *priority;
    spec.request = amounts(16);
    PlacementRequest d;
    d.spec = &spec;
    d.tasks = {0};
    std::vector<CandidateMachine> candidates;
    for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
      candidates.push_back(candidate("m" + std::to_string(i), "e", {8, 8, 64}));
      candidates.back().available = amounts(8);
      if (*rc::gen::arbitrary<bool>()) candidates.back().releasing = amounts(8);
      candidates.back().schedulable = *rc::gen::inRange(0, 4) > 0;
    }
    std::vector<Victim> victims;
    for (int i = *rc::gen::inRange(0, 14); i > 0; --i) {
      Victim v{"job",       0,         *rc::gen::inRange<size_t>(0, candidates.size()),
               amounts(10), *priority, i * 0.5};  // all losses differ: ties have no defined order
      v.stopped = *rc::gen::inRange(0, 5) == 0;
      victims.push_back(v);
    }
    const auto is = preempt(d, candidates, victims);
    const auto should = plain_preempt(d, candidates, victims);
    RC_ASSERT(is.has_value() == should.has_value());
    if (!is) return;
    RC_ASSERT(is->candidate == should->candidate);
    RC_ASSERT(is->victims == should->victims);
    RC_ASSERT(is->already_releasing == should->already_releasing);
  }));
}

// Guards against replicas of a few CPUs that preempt gangs on whole machines, four of them at once.
TEST(Placement, AGangGivesWayOnlyToATaskThatTakesAGoodPartOfItsMachine) {
  JobSpec spec;
  spec.priority = Priority::Production;
  spec.request = {2, 0, 6};
  PlacementRequest d;
  d.spec = &spec;
  d.tasks = {0};
  std::vector<CandidateMachine> candidates{candidate("a", "e", {96, 8, 384})};
  candidates[0].available = {};
  std::vector<Victim> victims{{"gang", 0, 0, {86, 8, 310}, Priority::High, 0, true}};
  EXPECT_FALSE(preempt(d, candidates, victims).has_value());
  spec.request = {33, 4, 100};
  EXPECT_TRUE(preempt(d, candidates, victims).has_value());
}

TEST(Placement, TasksWithoutGpusLeaveTheCpusBesideFreeGpusToThoseThatWaitForThem) {
  std::vector<CandidateMachine> candidates(2);
  for (auto& s : candidates) s.type = "g", s.zone = "e", s.capacity = {96, 8, 384};
  candidates[0].available = {10, 6, 300};
  candidates[1].available = {14, 2, 300};
  JobSpec waits;
  JobSpec small;
  waits.request = {16, 2, 50};
  small.request = {1, 0, 1};
  PlacementRequest gpus;
  PlacementRequest none;
  gpus.spec = &waits;
  gpus.tasks = {0};
  ASSERT_TRUE(bin_pack(gpus, candidates).empty());
  reserve_beside_gpus(gpus, candidates);
  none.spec = &small;
  for (uint32_t t = 0; t < 100; ++t) none.tasks.push_back(t);
  const auto assignments = bin_pack(none, candidates);
  EXPECT_EQ(assignments.size(), 10u)
      << "the second machine, which lacks the fewest CPUs, is reserved";
  for (const auto& p : assignments) EXPECT_EQ(p.candidate, 0u);
  candidates[1].available.cpus = 16;
  EXPECT_EQ(bin_pack(gpus, candidates).size(), 1u)
      << "the GPU task is placed once enough CPUs are free";
}

TEST(Provision, CountsBootingMachinesAndAvoidsWhatWasRefused) {
  MachineType g;
  g.name = "g";
  g.capacity = {8, 8, 64};
  g.zones = {"e", "w"};
  JobSpec spec;
  spec.request = {4, 4, 4};
  spec.tasks = 4;
  spec.kind = JobKind::Service;
  PlacementRequest d;
  d.spec = &spec;
  d.tasks = {0, 1, 2, 3};
  std::vector<CandidateMachine> booting{candidate("b", "e", g.capacity)};
  std::vector<InstanceOffering> offerings{
      {&g, "e", false, 10, true}, {&g, "w", false, 10, false}, {&g, "w", true, 1, false}};
  const auto r = plan_scale_out({d}, booting, offerings, 10);
  ASSERT_EQ(r.size(), 1u);
  EXPECT_EQ(r[0].zone, "w");
  EXPECT_FALSE(r[0].spot) << "the job may not use spot machines";
  EXPECT_EQ(r[0].count, 1) << "two of the four tasks fit on the booting machine";
}

/// Nodes and a key-value store that holds the leader's key. The test generates time, message
/// delays, stalls and lost renewals.
struct Nodes {
  struct Node {
    std::unique_ptr<LeaderElection> l;
    double skew = 1;  ///< rate of its steady clock
  };
  double now = 0, lease_end = -1;
  uint64_t term = 0, holder_lease = 0, next_lease = 1;
  std::multimap<double, std::function<void()>> mail;
  std::vector<Node> nodes;
  std::map<uint64_t, double> leases;

  void later(double delay, std::function<void()> f) { mail.emplace(now + delay, std::move(f)); }
  void expire_leases() {
    for (auto it = leases.begin(); it != leases.end();)
      it = it->second <= now ? leases.erase(it) : std::next(it);
    if (holder_lease && !leases.contains(holder_lease)) holder_lease = 0;
  }
};

TEST(LeaderElectionStateMachine, NeverTwoThatMayActAndTermsRise) {
  EXPECT_TRUE(holds(
      "at most one node acts, and terms increase",
      [] {
        Nodes w;
        // rapidcheck generates only a seed per run: values that it generates one by one at small
        // sizes would make every node stall.
        std::mt19937_64 rng(*rc::gen::noShrink(rc::gen::arbitrary<uint64_t>()));
        auto draw = [&rng](int least, int past) {
          return std::uniform_int_distribution<int>(least, past - 1)(rng);
        };
        const double lease = 2;
        auto delay = [&] { return draw(0, 100) < 90 ? draw(1, 30) * 0.001 : draw(1, 300) * 0.01; };
        std::vector<uint64_t> terms;
        for (int i = 0; i < 3; ++i) {
          w.nodes.push_back({nullptr, 1 + 0.0005 * (i - 1)});
          LeaderElection::Effects e;
          auto self = [&w, i] { return w.nodes[i].l.get(); };
          auto clock = [&w, i] { return w.now * w.nodes[i].skew; };
          e.grant = [&, self, clock](uint64_t campaign, Seconds ttl) {
            const double asked = clock();
            w.later(delay(), [&, self, clock, asked, ttl, campaign] {
              const uint64_t id = w.next_lease++;
              w.leases[id] = w.now + ttl;
              w.later(delay(), [self, clock, id, asked, campaign] {
                self()->granted(clock(), campaign, id, asked);
              });
            });
          };
          e.elect = [&, self, clock](uint64_t campaign, uint64_t id) {
            w.later(delay(), [&, self, clock, id, campaign] {
              w.expire_leases();
              const bool won = w.holder_lease == 0 && w.leases.contains(id);
              if (won) {
                w.holder_lease = id;
                terms.push_back(++w.term);
              }
              w.later(delay(), [self, clock, won, campaign, t = w.term] {
                self()->elected(clock(), campaign, won, t);
              });
            });
          };
          e.renew = [&, self, clock](uint64_t id) {
            const double sent = clock();
            const bool lost = draw(0, 10) == 0;
            w.later(delay(), [&, self, clock, id, sent, lost] {
              w.expire_leases();
              const bool known = w.leases.contains(id);
              if (known && !lost) w.leases[id] = w.now + 2;
              w.later(delay(), [self, clock, id, sent, known, lost] {
                self()->renewed(clock(), id, sent, !lost && known, !lost && !known);
              });
            });
          };
          e.changed = [](LeaderElection::State, LeaderElection::State) {};
          w.nodes[i].l =
              std::make_unique<LeaderElection>(LeaderElection::Config{lease, 0.5, 10, 0.002}, e);
        }
        for (; w.now < 30; w.now += 0.01) {
          while (!w.mail.empty() && w.mail.begin()->first <= w.now) {
            auto f = std::move(w.mail.begin()->second);
            w.mail.erase(w.mail.begin());
            f();
          }
          w.expire_leases();
          int acting = 0;
          for (auto& n : w.nodes) {
            const bool stalls = draw(0, 20) == 0;
            if (!stalls) n.l->tick(w.now * n.skew, true, w.holder_lease != 0, 0.5);
            acting += n.l->may_act(w.now * n.skew);
          }
          RC_ASSERT(acting <= 1);
        }
        RC_ASSERT(!terms.empty());
        RC_ASSERT(std::is_sorted(terms.begin(), terms.end()));
      },
      100));
}

TEST(LeaderElectionStateMachine, LeavesTheLeadToOthersForAWhileOnceItResigns) {
  int campaigns = 0;
  LeaderElection l({2, 0.5, 10, 0.002}, {[&](LeaderElection::Campaign, Seconds) { ++campaigns; },
                                         [](LeaderElection::Campaign, uint64_t) {}, [](uint64_t) {},
                                         [](LeaderElection::State, LeaderElection::State) {}});
  l.tick(0, true, false, 0);
  l.tick(0.1, true, false, 0);
  l.granted(0.2, 1, 7, 0.1);
  l.elected(0.3, 1, true, 1);
  ASSERT_TRUE(l.may_act(0.4));
  l.resign(0.5, 4);
  EXPECT_FALSE(l.may_act(0.5) || l.may_answer(0.5));
  l.tick(1, true, false, 0);
  l.tick(4, true, false, 0);
  EXPECT_EQ(campaigns, 1);
  l.tick(4.6, true, false, 0);
  l.tick(4.8, true, false, 0);
  EXPECT_EQ(campaigns, 2) << "no other node was elected during the rest period";
}

/// A leader election with a log of its requests and state changes.
struct TickedMachine {
  std::vector<std::string> log;
  LeaderElection::Campaign campaign = 0;
  LeaderElection machine{{2, 0.5, 3, 0.002}, effects()};

  LeaderElection::Effects effects() {
    LeaderElection::Effects e;
    e.grant = [this](LeaderElection::Campaign c, Seconds) {
      campaign = c, log.emplace_back("grant");
    };
    e.elect = [this](LeaderElection::Campaign, uint64_t) { log.emplace_back("elect"); };
    e.renew = [this](uint64_t) { log.emplace_back("renew"); };
    e.changed = [this](LeaderElection::State, LeaderElection::State to) {
      log.emplace_back(name(to));
    };
    return e;
  }
};

TEST(LeaderElectionStateMachine, AFollowerThatKnowsALeaderHasNothingDue) {
  TickedMachine follower;
  follower.machine.tick(1, true, true, 0.5);
  EXPECT_EQ(follower.machine.due_at(1), std::numeric_limits<Seconds>::max());
}

TEST(LeaderElectionStateMachine, DoesNothingBetweenEventsBeforeItIsDue) {
  EXPECT_TRUE(rc::check("ticks at events and due times have the effects of periodic ticks", [] {
    constexpr Seconds kStep = 0.01;
    TickedMachine steady;
    TickedMachine sleeping;
    bool leader_known = false;
    const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 40));
    Seconds now = 0;
    uint64_t term = 0;
    for (const int event : steps) {
      term += event == 4;
      for (auto* m : {&steady, &sleeping}) {
        if (event == 0) m->machine.granted(now, m->campaign, 7, now);
        if (event == 1) m->machine.elected(now, m->campaign, true, term + 1);
        if (event == 2) m->machine.renewed(now, 7, now, true, false);
        if (event == 3) m->machine.renewed(now, 7, now, false, false);
        if (event == 4) m->machine.observe_term(now, term);
        if (event == 5) m->machine.resign(now, 1);
        if (event == 7) m->machine.renewed(now, 7, now, false, true);
      }
      if (event == 6) leader_known = !leader_known;
      bool changed = true;
      for (int i = 0; i < 20; ++i, now += kStep) {
        steady.machine.tick(now, true, leader_known, 0.5);
        if (changed || now >= sleeping.machine.due_at(now - kStep)) {
          const auto before = sleeping.log.size();
          sleeping.machine.tick(now, true, leader_known, 0.5);
          changed = sleeping.log.size() != before;
        }
        RC_ASSERT(steady.log == sleeping.log);
      }
    }
  }));
}

TEST(LeaderElectionStateMachine, AnswersPastItsLeaseForTheGraceOnlyAndStepsDownForAHigherTerm) {
  std::vector<LeaderElection::State> seen;
  LeaderElection::Effects e;
  e.grant = [](uint64_t, Seconds) {};
  e.elect = [](uint64_t, uint64_t) {};
  e.renew = [](uint64_t) {};
  e.changed = [&](LeaderElection::State, LeaderElection::State to) { seen.push_back(to); };
  auto leading = [&] {
    LeaderElection l({2, 0.5, 10, 0}, e);
    l.tick(0, true, false, 0);
    l.tick(0, true, false, 0);
    l.granted(0, 1, 7, 0);
    l.elected(0, 1, true, 3);
    return l;
  };
  LeaderElection l = leading();
  l.records_known(5);
  EXPECT_TRUE(l.may_act(1.9));
  EXPECT_FALSE(l.may_act(2.1));
  l.tick(2.1, true, true, 0);
  EXPECT_EQ(l.state(), LeaderElection::State::LeaseExpired);
  EXPECT_TRUE(l.may_answer(11.9));
  EXPECT_FALSE(l.may_answer(12.1));
  l.tick(12.1, true, true, 0);
  EXPECT_EQ(l.state(), LeaderElection::State::Follower);
  LeaderElection other = leading();
  other.observe_term(1, 4);
  EXPECT_FALSE(other.may_answer(1)) << "another node leads with a higher term";
}

}  // namespace
}  // namespace sumacquay
