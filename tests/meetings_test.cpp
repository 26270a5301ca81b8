// Troubles that meet: each scripted over fixed seeds, with proof that the meeting came about.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

#include "world/world.h"

namespace sumacquay {
namespace {

using simulation::chain;
using simulation::CopyDelivery;
using simulation::diamond;
using simulation::fan;
using simulation::PipelinePlan;
using simulation::StageCancellation;
using simulation::World;
using simulation::WorldOptions;

constexpr uint64_t kSeeds = 8;

/// A deployment at work: services and long tasks, so that cancellations have something to stop.
WorldOptions long_tasks(Seconds cancel_s = 22) {
  WorldOptions o;
  o.cancel_s = cancel_s;
  o.task_least = 60;
  o.task_most = 90;
  return o;
}
/// Half of a team's limit and all of another's work.
void submit_services(World& world, int count) {
  for (int i = 0; i < count; ++i) {
    JobSpec s = world.users().any_spec();
    s.kind = i % 3 == 2 ? JobKind::Array : JobKind::Service;
    s.tasks = 1 + static_cast<uint32_t>(i % 2);
    s.spread = s.one_zone = false;
    s.team = i % 2 ? "limited" : "open";
    world.users().submit(s);
  }
}
void settle(World& world, int jobs = 6, Seconds span = 40) {
  world.run_until([&] { return world.leader().has_value(); }, 20);
  submit_services(world, jobs);
  world.run_for(span);
}
std::vector<std::string> cancel_running(World& world, size_t most,
                                        std::optional<size_t> first = std::nullopt) {
  auto jobs = world.jobs_running();
  if (jobs.size() > most) jobs.resize(most);
  for (const auto& id : jobs) world.users().cancel(id, first);
  return jobs;
}
size_t confirmed(const World& world, const std::vector<std::string>& jobs) {
  size_t n = 0;
  for (const auto& id : jobs) n += world.cancelled_at(id).has_value();
  return n;
}
size_t confirmed_within(const World& world, const std::vector<std::string>& jobs, Seconds from,
                        Seconds to) {
  size_t n = 0;
  for (const auto& id : jobs) {
    const auto at = world.cancelled_at(id);
    n += at && *at >= from && *at <= to;
  }
  return n;
}

/// Runs a meeting's script over the seeds, then ends all troubles and judges. The script returns
/// how often the meeting came about.
void meet(const WorldOptions& options, const std::function<size_t(World&)>& script,
          size_t least_meetings = kSeeds) {
  size_t meetings = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    WorldOptions mine = options;
    // Silent machines are given back and gone within seconds, or kept for the length of a cut.
    mine.nominal_boot_s = seed % 2 ? 5 : 120;
    World world(seed, mine);
    if (seed % 4 < 2) world.faults().late_releases(1000);
    meetings += script(world);
    world.finish();
    EXPECT_EQ(world.checker().violations(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(world.unfinished(), 0u) << "seed " << seed;
    EXPECT_EQ(world.pipelines().stages_not_accepted(), 0u) << "seed " << seed;
    EXPECT_EQ(world.cancellations_not_recorded(), 0u) << "seed " << seed;
  }
  EXPECT_GE(meetings, least_meetings) << "the meeting hardly came about";
}
/// With a time for cancellations of hardly two leases, and of a lease and three leader leases.
void meet_in_both(const std::function<size_t(World&)>& script, size_t least_meetings = kSeeds) {
  {
    SCOPED_TRACE("cancel_s of hardly two leases");
    meet(long_tasks(22), script, least_meetings);
  }
  SCOPED_TRACE("cancel_s of a lease and three leader leases");
  meet(long_tasks(16), script, least_meetings);
}

/// Neither answers nor orders reach the machines of these jobs; some come late.
void time_since_heartbeat(World& world, const std::vector<std::string>& jobs, Seconds span) {
  for (const auto& id : jobs)
    for (const auto& m : world.machines_of(id)) {
      world.faults().deafen(m, span);
      world.faults().hold_commands(m, span + world.between(0, 30));
    }
}

// ---- the state service refuses the leader alone, then it is out for all

/// Cancellations in the gap: confirmed by another controller after the refused leader's last look.
size_t gap(World& world, Seconds refused_for) {
  settle(world);
  const auto old = world.leader();
  if (!old) return 0;
  const Seconds began = world.now();
  world.faults().refuse(*old, 200);
  world.run_for(0.3);
  const auto jobs = cancel_running(world, 3, world.follower());
  if (refused_for > 2) time_since_heartbeat(world, jobs, refused_for + 0.5);
  world.run_for(refused_for);
  world.faults().outage(40);
  const Seconds out = world.now();
  world.run_for(45);
  return confirmed_within(world, jobs, began, out);
}

TEST(Meetings, CancelledAsTheLeaderAloneIsRefusedThenOutageASecondLater) {
  meet_in_both([](World& world) { return gap(world, 1); });
}
TEST(Meetings, CancelledAsTheLeaderAloneIsRefusedThenOutageWithinALeaderLease) {
  meet_in_both([](World& world) { return gap(world, 1.8); });
}
TEST(Meetings, CancelledAsTheLeaderAloneIsRefusedThenOutageAfterAnotherTookOver) {
  meet_in_both([](World& world) { return gap(world, 4); });
}

/// The leader learns of the cancellation, its stops are lost; refusal and outage follow. Workers
/// are deaf for less than it takes them to turn to the next node twice: their leases go on.
size_t known_but_stop_lost(World& world, Seconds refused_after, Seconds out_after, Seconds deaf) {
  settle(world);
  const auto old = world.leader();
  if (!old) return 0;
  auto running = world.jobs_running();
  if (running.size() > 3) running.resize(3);
  time_since_heartbeat(world, running, deaf);
  for (const auto& id : running) world.users().cancel(id, world.follower());
  world.at(refused_after, [&world, old] { world.faults().refuse(*old, 200); });
  world.at(out_after, [&world] { world.faults().outage(40); });
  world.run_for(deaf - 0.1);
  size_t met = 0;
  for (const auto& id : running) met += world.cancelled_at(id) && !world.machines_of(id).empty();
  world.run_for(45);
  return met;
}

TEST(Meetings, CancelledWithTheStopsLostThenTheLeaderRefusedThenOutage) {
  meet_in_both([](World& world) { return known_but_stop_lost(world, 0.5, 1.5, 3); });
}
TEST(Meetings, CancelledWellBeforeTheRefusalWithTheStopsLostThenOutage) {
  meet_in_both([](World& world) { return known_but_stop_lost(world, 2.5, 3, 4.6); });
}
TEST(Meetings, CancelledLongBeforeTheRefusalWithTheStopsLostThenOutage) {
  meet_in_both([](World& world) { return known_but_stop_lost(world, 4, 4.5, 6); });
}

/// An outage from the first, with the stops lost as it begins.
TEST(Meetings, CancelledJustBeforeAnOutageWithTheStopsLost) {
  meet_in_both([](World& world) -> size_t {
    settle(world);
    auto running = world.jobs_running();
    if (running.size() > 3) running.resize(3);
    time_since_heartbeat(world, running, world.between(1, 8));
    for (const auto& id : running) world.users().cancel(id);
    world.run_for(world.between(0.2, 0.6));
    const size_t met = confirmed(world, running);
    world.faults().outage(40);
    world.run_for(45);
    return met;
  });
}

// ---- late heartbeats

TEST(Meetings, AReportIsHeldBackUntilANewLeaderHasActed) {
  meet_in_both(
      [](World& world) {
        settle(world);
        world.faults().late_heartbeats(0.7, 12);
        world.run_for(4);
        cancel_running(world, 2);
        world.faults().end_process(world.leader_or_first(), 3);
        world.run_for(30);
        return world.workers().copies_heard_by_new_leader();
      },
      30);
}

TEST(Meetings, OldReportsReachEveryControllerAsANewLeaderBegins) {
  meet_in_both(
      [](World& world) {
        settle(world);
        for (int i = 0; i < 3; ++i) {
          world.faults().late_heartbeats(1, 6, CopyDelivery::ToNextLeaderOnce);
          world.run_for(5);
          cancel_running(world, 1);
          submit_services(world, 2);
          world.faults().end_process(world.leader_or_first(), 1);
          world.run_for(18);
        }
        return world.workers().copies_heard_by_new_leader();
      },
      50);
}

TEST(Meetings, OldReportsArriveAfterNewerOnesAlsoFromEarlierSessions) {
  meet_in_both(
      [](World& world) {
        settle(world);
        world.faults().late_heartbeats(0.6, 40);
        for (int i = 0; i < 3; ++i) {
          for (const auto& m : world.machines())
            if (world.chance(0.5)) world.faults().cut(m, world.between(11, 16));
          world.run_for(12);
          cancel_running(world, 1);
          submit_services(world, 1);
        }
        world.run_for(20);
        return world.workers().copies_heard();
      },
      200);
}

TEST(Meetings, ReportsAreOvertakenByOrdersAndTheirAnswers) {
  WorldOptions o;
  o.task_least = 4;
  o.task_most = 10;
  meet(
      o,
      [](World& world) {
        settle(world, 4, 20);
        const size_t before = world.checker().starts();
        world.faults().slow_heartbeats(70);
        for (int i = 0; i < 20; ++i) {
          JobSpec s = world.users().any_spec();
          s.kind = JobKind::Array;
          s.spread = s.one_zone = false;
          world.users().submit(s);
          world.run_for(world.between(1, 4));
          if (i % 5 == 4) cancel_running(world, 1);
        }
        return world.checker().starts() - before;
      },
      20 * kSeeds);
}

// ---- cuts

TEST(Meetings, AZoneWithWorkersAndAControllerIsCutForLongerThanALease) {
  meet_in_both([](World& world) {
    settle(world);
    const std::string zone = world.chance(0.5) ? "east" : "west";
    const Seconds began = world.now();
    world.faults().cut_zone(zone, world.between(15, 45));
    world.run_for(world.between(0.5, 3));
    const auto jobs = cancel_running(world, 2);
    world.run_for(50);
    return confirmed_within(world, jobs, began, began + 15);
  });
}

/// A controller in the zone answers in the leader's place for longer than the leader itself did:
/// its workers keep what they run, and the leader must not start it again elsewhere meanwhile.
TEST(Meetings, AZoneIsCutWhoseControllersAnswerItsWorkersInTheLeadersPlace) {
  WorldOptions o = long_tasks();
  o.machines = 8;  // enough that a silent zone is taken for cut off, not its machines for dead
  o.most_machines = 16;
  size_t apart = 0;
  meet(
      o,
      [&apart](World& world) -> size_t {
        // Workers of the east find a node there in time only if the leader is the one in the west.
        for (int tries = 0; tries < 12 && world.leader() != 1; ++tries) {
          if (const auto leader = world.leader()) world.faults().end_process(*leader, 3);
          world.run_for(5);
        }
        if (world.leader() != 1) return 0;
        submit_services(world, 16);
        world.run_for(25);
        std::vector<std::string> there;
        for (const auto& id : world.jobs_running())
          for (const auto& m : world.machines_of(id))
            if (world.zone_of(m) == "east" && (there.empty() || there.back() != id))
              there.push_back(id);
        const size_t before = world.workers().delegated();
        world.faults().cut_zone("east", 45);
        world.run_for(10);
        cancel_running(world, 2);
        world.run_for(3);  // past the lease that the leader itself gave
        for (const auto& id : there)
          for (const auto& m : world.machines_of(id)) apart += world.zone_of(m) == "east";
        world.run_for(35);
        return world.workers().delegated() - before;
      },
      10 * kSeeds);
  EXPECT_GE(apart, 5 * kSeeds) << "tasks hardly outlived the leader's own answers";
}

TEST(Meetings, ALeaderIsCutFromStateAndPeersWhileWorkersAndUsersReachIt) {
  meet_in_both([](World& world) -> size_t {
    settle(world);
    const auto old = world.leader();
    if (!old) return 0;
    const uint64_t term = world.checker().highest_term();
    world.faults().cut_from_state(*old, 40);
    world.faults().cut_from_peers(*old, 40);
    world.run_for(world.between(0.1, 4));
    const auto jobs = cancel_running(world, 3, old);
    world.run_for(45);
    return world.checker().highest_term() > term ? confirmed(world, jobs) : 0;
  });
}

TEST(Meetings, ALeaderIsCutInEveryCombinationWhileJobsAreCancelled) {
  meet_in_both([](World& world) {
    settle(world);
    size_t met = 0;
    for (int which = 1; which < 8; ++which) {
      const auto old = world.leader();
      if (!old) {
        world.run_for(5);
        continue;
      }
      const Seconds span = world.between(4, 16);
      if (which & 1) world.faults().cut_from_state(*old, span);
      if (which & 2) world.faults().cut_from_peers(*old, span);
      if (which & 4) world.faults().cut_from_workers(*old, span);
      world.run_for(world.between(0.1, 3));
      const auto jobs = cancel_running(world, 1);
      submit_services(world, 1);
      world.run_for(18);
      met += confirmed(world, jobs);
    }
    return met;
  });
}

TEST(Meetings, WorkersReachNoControllerWhileDirectCommandsReachThem) {
  meet_in_both([](World& world) {
    settle(world);
    for (const auto& m : world.machines()) world.faults().mute(m, world.between(15, 40));
    world.run_for(world.between(0.5, 8));
    const Seconds began = world.now();
    const auto jobs = cancel_running(world, 3);
    submit_services(world, 2);
    world.run_for(3);
    if (world.chance(0.5)) world.faults().end_process(world.leader_or_first(), 2);
    world.run_for(40);
    return confirmed_within(world, jobs, began, began + 5);
  });
}

// ---- changes of leader

TEST(Meetings, JobsAreCancelledAsWorkChangesHands) {
  meet_in_both([](World& world) {
    settle(world);
    size_t met = 0;
    for (int i = 0; i < 4; ++i) {
      const Seconds began = world.now();
      std::vector<std::string> jobs;
      for (int k = 0; k < 4; ++k)
        world.at(world.between(0, 4), [&world, &jobs] {
          for (const auto& id : cancel_running(world, 1)) jobs.push_back(id);
        });
      world.faults().end_process(world.leader_or_first(), world.between(0.3, 5));
      world.run_for(6);
      submit_services(world, 4);
      met += confirmed_within(world, jobs, began, began + 6);
      world.run_for(20);
    }
    return met;
  });
}

TEST(Meetings, ATeamAtItsLimitCancelsJobsOnCutAndHungMachinesAsTheLeaderChanges) {
  meet_in_both([](World& world) {
    settle(world, 12, 60);
    const Seconds began = world.now();
    const auto jobs = world.jobs_running();
    size_t met = 0;
    for (const auto& id : jobs) {
      if (world.chance(0.5)) continue;
      for (const auto& m : world.machines_of(id)) {
        const Seconds span = world.between(3, 25);
        switch (world.any(3)) {
          case 0:
            world.faults().cut(m, span);
            break;
          case 1:
            world.faults().hang(m, span);
            break;
          default:
            world.faults().deafen(m, span);
        }
      }
      world.users().cancel(id);
    }
    world.run_for(world.between(0.1, 2));
    world.faults().end_process(world.leader_or_first(), 3);
    submit_services(world, 6);
    world.run_for(40);
    met += confirmed_within(world, jobs, began, began + 15);
    return met;
  });
}

TEST(Meetings, ATeamAtItsLimitWithMachinesThatCannotBeAskedACancellationAndANewLeader) {
  meet_in_both([](World& world) {
    settle(world, 12, 60);
    const auto all = world.machines();
    for (size_t i = 0; i < all.size(); i += 2) {
      world.faults().cut(all[i], world.between(8, 30));
      world.faults().hold_commands(all[i], world.between(8, 40));
    }
    const Seconds began = world.now();
    world.faults().end_process(world.leader_or_first(), 8);
    world.run_for(world.between(0.5, 5));
    const auto jobs = cancel_running(world, 3);
    submit_services(world, 6);
    world.run_for(45);
    return confirmed_within(world, jobs, began, began + 15);
  });
}

TEST(Meetings, ControllersHandOverAndBackAllEndAndOneReturns) {
  meet_in_both([](World& world) {
    settle(world);
    const uint64_t before = world.checker().highest_term();
    for (int i = 0; i < 2; ++i) {
      world.faults().end_process(world.leader_or_first(), world.between(0.2, 4));
      world.run_for(6);
      cancel_running(world, 1);
    }
    const size_t back = world.any(3);
    for (size_t c = 0; c < 3; ++c)
      world.faults().end_process(c, c == back ? world.between(0.2, 1) : world.between(20, 30));
    world.run_for(6);
    cancel_running(world, 1);
    submit_services(world, 3);
    world.run_for(35);
    return world.checker().highest_term() - before;
  });
}

TEST(Meetings, LeadersChangeTenTimesInTwoMinutesAlsoInsideAnOutage) {
  meet_in_both(
      [](World& world) {
        settle(world);
        const size_t before = world.checker().terms();
        for (int i = 0; i < 12; ++i) {
          const auto leading = world.leader();
          const size_t leader = leading ? *leading : world.any(3);
          if (i % 3 == 2)
            world.faults().stand_still(leader, world.between(3, 12));
          else
            world.faults().end_process(leader, world.between(0.2, 5));
          if (i == 6) world.faults().outage(15);
          world.run_for(world.between(1, 3));
          cancel_running(world, 1);
          submit_services(world, 1);
          world.run_for(8);
        }
        world.run_for(20);
        return world.checker().terms() - before;
      },
      8 * kSeeds);
}

TEST(Meetings, AllControllersAreAwayForLongerThanALease) {
  meet_in_both([](World& world) -> size_t {
    settle(world);
    auto jobs = cancel_running(world, 1);
    world.run_for(world.between(0.05, 1));
    for (size_t c = 0; c < 3; ++c) world.faults().end_process(c, world.between(11, 25));
    world.run_for(12);
    const bool none = !world.leader() || world.jobs_running().empty();
    world.run_for(25);
    return none;
  });
}

TEST(Meetings, ALeaderStandsStillAndGoesOnWhileAnotherLeads) {
  meet_in_both([](World& world) -> size_t {
    settle(world);
    const uint64_t before = world.checker().highest_term();
    for (int i = 0; i < 3; ++i) {
      world.faults().stand_still(world.leader_or_first(), world.between(2, 14));
      world.run_for(world.between(0.1, 4));
      cancel_running(world, 1);
      submit_services(world, 2);
      world.run_for(18);
    }
    return world.checker().highest_term() - before;
  });
}

TEST(Meetings, ALeaderEndsWhileMachinesWithLongTasksCannotBeReachedOrDoNotHear) {
  meet_in_both([](World& world) {
    settle(world);
    const uint64_t before = world.checker().highest_term();
    for (const auto& m : world.machines()) {
      const Seconds span = world.between(2, 30);
      if (world.chance(0.5))
        world.faults().deafen(m, span);
      else
        world.faults().cut(m, span);
    }
    world.run_for(world.between(0.1, 2));
    world.faults().end_process(world.leader_or_first(), 5);
    world.run_for(5);
    cancel_running(world, 2);
    submit_services(world, 3);
    world.run_for(40);
    return world.checker().highest_term() - before;
  });
}

// ---- the state service

TEST(Meetings, SlowAnswersThenTheLeaderRefusedThenEverybodyWhileUsersCancel) {
  meet_in_both([](World& world) {
    settle(world);
    const Seconds began = world.now();
    world.faults().slow(10);
    std::vector<std::string> jobs = cancel_running(world, 1);
    world.run_for(world.between(2, 6));
    world.faults().refuse(world.leader_or_first(), 60);
    for (const auto& id : cancel_running(world, 2)) jobs.push_back(id);
    world.run_for(world.between(0.5, 5));
    const Seconds out = world.now();
    world.faults().outage(35);
    cancel_running(world, 1);
    world.run_for(40);
    return confirmed_within(world, jobs, began, out);
  });
}

TEST(Meetings, TransactionsAreCarriedOutAndOnlyTheirAnswersAreLost) {
  meet_in_both(
      [](World& world) {
        settle(world);
        world.faults().lost_answers(0.5, 60);
        for (int i = 0; i < 10; ++i) {
          cancel_running(world, 1);
          submit_services(world, 2);
          world.run_for(6);
          if (i == 5) world.faults().end_process(world.leader_or_first(), 2);
        }
        return world.state().answers_lost();
      },
      10 * kSeeds);
}

TEST(Meetings, TransactionsWithoutAnAnswerAreCarriedOutAfterNewerOnes) {
  meet_in_both(
      [](World& world) {
        settle(world);
        world.faults().late_writes(0.4, 60);
        for (int i = 0; i < 10; ++i) {
          cancel_running(world, 1);
          submit_services(world, 2);
          world.run_for(6);
          if (i % 4 == 3) world.faults().end_process(world.leader_or_first(), 2);
        }
        world.run_for(15);
        return world.state().late_writes_applied();
      },
      2 * kSeeds);
}

// ---- loads

TEST(Meetings, OneTaskJobsComeFourASecondAQuarterOfThemCancelled) {
  WorldOptions o;
  o.task_least = 0.5;
  o.task_most = 3;
  meet(
      o,
      [](World& world) {
        world.run_until([&] { return world.leader().has_value(); }, 20);
        for (int i = 0; i < 240; ++i) {
          JobSpec s = world.users().any_spec();
          s.kind = JobKind::Array;
          s.tasks = 1;
          s.one_zone = s.spread = false;
          const std::string id = world.users().submit(s);
          if (i % 4 == 0)
            world.at(world.between(0.1, 4), [&world, id] { world.users().cancel(id); });
          world.run_for(0.25);
          if (i == 120) world.faults().end_process(world.leader_or_first(), 3);
        }
        return world.checker().cancellations();
      },
      20 * kSeeds);
}

TEST(Meetings, JobsOfTwoOrThreeTasksEndFarApartAcrossAChangeOfLeader) {
  WorldOptions o;
  o.task_least = 2;
  o.task_most = 60;
  meet(o, [](World& world) {
    world.run_until([&] { return world.leader().has_value(); }, 20);
    for (int i = 0; i < 8; ++i) {
      JobSpec s = world.users().any_spec();
      s.kind = JobKind::Array;
      s.tasks = 2 + static_cast<uint32_t>(i % 2);
      s.one_zone = s.spread = false;
      world.users().submit(s);
    }
    world.run_for(25);
    const uint64_t before = world.checker().highest_term();
    for (int i = 0; i < 3; ++i) {
      world.faults().end_process(world.leader_or_first(), world.between(0.3, 4));
      world.run_for(15);
    }
    return world.checker().highest_term() - before;
  });
}

TEST(Meetings, JobsBoundToOneZoneLoseMachines) {
  meet_in_both([](World& world) {
    world.run_until([&] { return world.leader().has_value(); }, 20);
    for (int i = 0; i < 6; ++i) {
      JobSpec s = world.users().any_spec();
      s.kind = i % 2 ? JobKind::Array : JobKind::Gang;
      s.tasks = 2 + static_cast<uint32_t>(i % 3);
      s.spread = false;
      s.one_zone = true;
      if (i % 3 == 0) s.zone = world.chance(0.5) ? "east" : "west";
      world.users().submit(s);
    }
    world.run_for(20);
    size_t lost = 0;
    for (int i = 0; i < 4; ++i) {
      for (const auto& id : world.jobs_running()) {
        const auto on = world.machines_of(id);
        if (on.empty()) continue;
        if (world.chance(0.5))
          world.faults().lose_machine(on[0]);
        else
          world.faults().cut(on[0], 15);
        ++lost;
        break;
      }
      if (i == 2) world.faults().end_process(world.leader_or_first(), 2);
      world.run_for(14);
    }
    return lost;
  });
}

TEST(Meetings, TwoTeamsAtAndBeyondTheirGuaranteesAsTheLeaderChanges) {
  WorldOptions o;
  o.most_machines = o.machines = 4;
  o.task_least = 75;  // who waits for a place to come free by itself waits for too long
  o.task_most = 85;
  o.open_team_gpus = 8;
  meet(o, [](World& world) {
    world.run_until([&] { return world.leader().has_value(); }, 20);
    const auto submit = [&world](const std::string& team, uint32_t tasks) {
      JobSpec s = world.users().any_spec();
      s.kind = JobKind::Array;
      s.priority = Priority::High;
      s.tasks = tasks;
      s.team = team;
      s.spread = s.one_zone = false;
      return world.users().submit(s);
    };
    std::vector<std::string> open;
    open.reserve(8);
    for (int i = 0; i < 8; ++i) open.push_back(submit("open", 2));
    world.run_for(15);
    const std::vector<std::string> limited{submit("limited", 2), submit("limited", 2)};
    world.run_for(2);  // controllers accept in any order what comes at once
    const std::string beyond = submit("limited", 2);
    world.run_for(world.between(0.2, 3));
    world.faults().end_process(world.leader_or_first(), 3);
    const auto waiting = [&world](const std::vector<std::string>& jobs) {
      size_t n = 0;
      for (const auto& id : jobs) n += world.tasks_waiting(id);
      return n;
    };
    EXPECT_TRUE(world.run_until([&] { return waiting(limited) == 0; }, 30)) << "they wait";
    for (int i = 0; i < 20; ++i) {
      world.run_for(1);
      EXPECT_EQ(waiting(limited), 0u) << "they are stopped again";
      EXPECT_LE(waiting(open), 4u) << "more is stopped than they need";
      EXPECT_EQ(world.tasks_waiting(beyond), 2u) << "it stops nobody";
    }
    return waiting(open);
  });
}

TEST(Meetings, MoreWorkThanRoomUrgentAndNotWithSlowFetches) {
  WorldOptions o;
  o.most_machines = o.machines = 4;
  o.task_least = 30;  // who waits for a place to come free by itself waits for too long
  o.task_most = 50;
  o.fetch_least = 3;
  o.fetch_most = 10;
  meet(
      o,
      [](World& world) {
        world.run_until([&] { return world.leader().has_value(); }, 20);
        const auto submit = [&world](Priority priority, int jobs) {
          std::vector<std::string> ids;
          for (int i = 0; i < jobs; ++i) {
            JobSpec s = world.users().any_spec();
            s.kind = JobKind::Array;
            s.priority = priority;
            s.tasks = 2;
            s.team = "open";
            s.spread = s.one_zone = false;
            ids.push_back(world.users().submit(s));
          }
          return ids;
        };
        const auto waiting = [&world](const std::vector<std::string>& ids) {
          size_t n = 0;
          for (const auto& id : ids) n += world.tasks_waiting(id);
          return n;
        };
        const auto later = submit(Priority::Low, 12);
        world.run_for(15);
        const auto urgent = submit(Priority::Production, 6);
        world.run_for(world.between(0.2, 3));
        world.faults().end_process(world.leader_or_first(), 3);
        const auto all = world.machines();
        if (!all.empty()) world.faults().cut(all[world.any(all.size())], world.between(2, 12));
        const auto begun = [&] {
          return std::all_of(urgent.begin(), urgent.end(),
                             [&](const auto& id) { return world.began_at(id).has_value(); });
        };
        EXPECT_TRUE(world.run_until(begun, 25)) << "urgent work waits";
        const size_t met = waiting(later);
        EXPECT_GT(met, waiting(urgent)) << "it runs first";
        world.run_for(20);
        return met;
      },
      8 * kSeeds);
}

TEST(Meetings, NewMachinesGetWorkAtOnceWhileWritesLagAndTheLeaderEnds) {
  WorldOptions o = long_tasks();
  o.machines = 1;
  o.boot_least = 0.2;
  o.boot_most = 2;
  meet(o, [](World& world) {
    world.run_until([&] { return world.leader().has_value(); }, 20);
    world.run_for(5);
    const size_t before = world.checker().starts();
    world.faults().slow(30);
    world.faults().late_writes(0.2, 30);
    submit_services(world, 8);
    world.run_for(world.between(1, 5));
    world.faults().end_process(world.leader_or_first(), 4);
    world.run_for(10);
    cancel_running(world, 2);
    world.faults().end_process(world.leader_or_first(), 0.5);
    world.run_for(30);
    return world.checker().starts() - before;
  });
}

TEST(Meetings, ACommandOrItsAnswerIsHeldUpAndTheMachineGoesOn) {
  size_t done = 0;
  meet_in_both([&done](World& world) {
    settle(world);
    for (int i = 0; i < 5; ++i) {
      for (const auto& m : world.machines()) {
        const Seconds span = world.between(2, 9);
        if (world.chance(0.7)) world.faults().hold_commands(m, world.chance(0.5) ? span : 4 * span);
        if (world.chance(0.3)) world.faults().hang(m, span);
        if (world.chance(0.4)) world.faults().mute(m, span);
      }
      submit_services(world, 3);
      world.run_for(world.between(1, 5));
      cancel_running(world, 2);
      world.run_for(12);
      if (i == 1) world.faults().end_process(world.leader_or_first(), 2);
    }
    world.run_for(30);
    done += world.worker_commands().late_commands_done();
    return world.worker_commands().late_commands();
  });
  EXPECT_GE(done, kSeeds) << "late orders were hardly ever carried out";
}

TEST(Meetings, CancellationsMeetTheEndOfAJobsLastTask) {
  WorldOptions o;
  o.task_least = 4;
  o.task_most = 4.2;
  meet(
      o,
      [](World& world) {
        world.run_until([&] { return world.leader().has_value(); }, 20);
        for (int i = 0; i < 40; ++i) {
          JobSpec s = world.users().any_spec();
          s.kind = JobKind::Array;
          s.tasks = 1;
          s.one_zone = s.spread = false;
          const std::string id = world.users().submit(s);
          world.run_until([&] { return !world.machines_of(id).empty(); }, 20);
          world.at(world.between(3.8, 5.4), [&world, id] { world.users().cancel(id); });
          world.run_for(1);
        }
        world.run_for(10);
        return world.checker().cancellations();
      },
      5 * kSeeds);
}

// ---- pipelines

JobSpec one_task_stage(World& world) {
  JobSpec s = world.users().any_spec();
  s.kind = JobKind::Array;
  s.tasks = 1;
  s.team = "open";
  s.one_zone = s.spread = false;
  return s;
}

TEST(Meetings, AStageIsCancelledAsTheLeaderChanges) {
  meet_in_both([](World& world) -> size_t {
    world.run_until([&] { return world.leader().has_value(); }, 20);
    world.run_for(10);
    std::vector<size_t> pipelines;
    for (size_t i = 0; i < 4; ++i) {
      PipelinePlan plan;
      plan.shape = i % 2 ? diamond(2) : chain(4);
      plan.stage_spec = [&world] { return one_task_stage(world); };
      plan.cancellation =
          StageCancellation{.stage = i % 3, .after_acceptance = world.between(1, 6)};
      pipelines.push_back(world.pipelines().begin(plan));
    }
    world.run_for(world.between(0.5, 4));
    const Seconds began = world.now();
    // The old one may stand still with what it knew, and go on while another leads.
    if (world.chance(0.5))
      world.faults().end_process(world.leader_or_first(), world.between(0.2, 5));
    else
      world.faults().stand_still(world.leader_or_first(), world.between(3, 12));
    if (world.chance(0.5)) world.faults().slow(10);
    world.run_for(20);
    size_t met = 0;
    for (const size_t pipeline : pipelines)
      for (size_t stage = 0; stage < 4; ++stage) {
        const auto id = world.pipelines().job(pipeline, stage);
        const auto at = id ? world.cancelled_at(*id) : std::nullopt;
        met += at && *at >= began && *at <= began + 10;
      }
    return met;
  });
}

TEST(Meetings, AStagesLastTaskEndsWhileItIsCancelledThroughTwoControllersAtOnce) {
  WorldOptions o;
  o.task_least = 3;
  o.task_most = 8;
  size_t done = 0;
  size_t cancelled = 0;
  meet(
      o,
      [&](World& world) -> size_t {
        world.run_until([&] { return world.leader().has_value(); }, 20);
        std::vector<size_t> pipelines;
        for (size_t i = 0; i < 12; ++i) {
          PipelinePlan plan;
          plan.shape = i % 2 ? fan(2) : chain(3);
          plan.stage_spec = [&world] { return one_task_stage(world); };
          plan.cancellation = StageCancellation{.stage = i % 2,
                                                .when = StageCancellation::When::AsItsLastTaskEnds,
                                                .through_two_controllers = true};
          pipelines.push_back(world.pipelines().begin(plan));
          world.run_for(3);
          if (i == 6) world.faults().end_process(world.leader_or_first(), 2);
        }
        world.run_for(60);
        size_t met = 0;
        for (const size_t pipeline : pipelines) {
          const auto id = world.pipelines().job(pipeline, pipeline % 2);
          met += id && world.pipelines().stage_complete(pipeline, pipeline % 2);
          const bool lost = id && world.cancelled_at(*id);
          cancelled += lost;
          done += id && !lost;
        }
        return met;
      },
      8 * kSeeds);
  EXPECT_GE(cancelled, kSeeds) << "hardly any cancellation came first";
  EXPECT_GE(done, 1u) << "no end came first";
}

/// Its record names the others where the controller that accepts it has not heard of their ends.
TEST(Meetings, TheLastStageIsSubmittedWhenTheOthersAreOverAndANewLeaderThatNeverSawThemTakesOver) {
  meet_in_both([](World& world) -> size_t {
    world.run_until([&] { return world.leader().has_value(); }, 20);
    world.run_for(10);
    std::vector<size_t> pipelines;
    for (size_t i = 0; i < 4; ++i) {
      PipelinePlan plan;
      plan.shape = i % 2 ? fan(3) : diamond(2);
      plan.stage_spec = [&world] { return one_task_stage(world); };
      plan.last_when_others_are_over = true;
      if (i == 3) plan.cancellation = StageCancellation{.stage = 0, .after_acceptance = 3};
      pipelines.push_back(world.pipelines().begin(plan));
    }
    const auto submitted = [&world](size_t pipeline) {
      return world.pipelines().job(pipeline, 3).has_value();
    };
    EXPECT_TRUE(world.run_until(
        [&] { return std::any_of(pipelines.begin(), pipelines.end(), submitted); }, 300));
    const size_t leader = world.leader_or_first();
    const size_t before = world.checker().terms();
    // All begin anew, so that no copy holds the jobs that are over.
    for (size_t controller = 0; controller < 3; ++controller)
      world.faults().end_process(controller, controller == leader ? 8 : world.between(0.1, 1));
    world.run_until([&] { return world.checker().terms() > before; }, 30);
    world.run_until([&] { return std::all_of(pipelines.begin(), pipelines.end(), submitted); },
                    300);
    world.run_for(120);
    size_t met = 0;
    for (const size_t pipeline : pipelines) met += world.pipelines().stage_complete(pipeline, 3);
    return world.checker().terms() > before ? met : 0;
  });
}

}  // namespace
}  // namespace sumacquay
