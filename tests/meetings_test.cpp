// Scripted combinations of faults, each over fixed seeds. A script returns how often its
// combination occurred, and the test fails if it hardly did.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

#include "simulation/simulation.h"

namespace sumacquay {
namespace {

using simulation::chain;
using simulation::CopyDelivery;
using simulation::diamond;
using simulation::fan;
using simulation::PipelinePlan;
using simulation::Simulation;
using simulation::SimulationOptions;
using simulation::StageCancellation;

constexpr uint64_t kSeeds = 8;

/// Tasks that run long enough for cancellations to stop them.
SimulationOptions long_tasks(Seconds cancel_s = 22) {
  SimulationOptions o;
  o.cancel_s = cancel_s;
  o.task_least = 60;
  o.task_most = 90;
  return o;
}
/// Submits services and arrays, alternately for the team without a quota and the team with one.
void submit_services(Simulation& simulation, int count) {
  for (int i = 0; i < count; ++i) {
    JobSpec s = simulation.users().any_spec();
    s.kind = i % 3 == 2 ? JobKind::Array : JobKind::Service;
    s.tasks = 1 + static_cast<uint32_t>(i % 2);
    s.spread = s.one_zone = false;
    s.team = i % 2 ? "limited" : "open";
    simulation.users().submit(s);
  }
}
void settle(Simulation& simulation, int jobs = 6, Seconds span = 40) {
  simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
  submit_services(simulation, jobs);
  simulation.run_for(span);
}
std::vector<std::string> cancel_running(Simulation& simulation, size_t most,
                                        std::optional<size_t> first = std::nullopt) {
  auto jobs = simulation.jobs_running();
  if (jobs.size() > most) jobs.resize(most);
  for (const auto& id : jobs) simulation.users().cancel(id, first);
  return jobs;
}
size_t confirmed(const Simulation& simulation, const std::vector<std::string>& jobs) {
  size_t n = 0;
  for (const auto& id : jobs) n += simulation.cancelled_at(id).has_value();
  return n;
}
size_t confirmed_within(const Simulation& simulation, const std::vector<std::string>& jobs,
                        Seconds from, Seconds to) {
  size_t n = 0;
  for (const auto& id : jobs) {
    const auto at = simulation.cancelled_at(id);
    n += at && *at >= from && *at <= to;
  }
  return n;
}

/// Runs a script over the seeds, then ends all faults and checks the results. The script returns
/// how often the intended combination of faults occurred.
void meet(const SimulationOptions& options, const std::function<size_t(Simulation&)>& script,
          size_t least_meetings = kSeeds) {
  size_t meetings = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimulationOptions mine = options;
    // With a short boot time silent machines are released within seconds; with a long one they are
    // kept for the duration of a partition.
    mine.nominal_boot_s = seed % 2 ? 5 : 120;
    Simulation simulation(seed, mine);
    if (seed % 4 < 2) simulation.faults().late_releases(1000);
    meetings += script(simulation);
    simulation.finish();
    EXPECT_EQ(simulation.checker().violations(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(simulation.unfinished(), 0u) << "seed " << seed;
    EXPECT_EQ(simulation.pipelines().stages_not_accepted(), 0u) << "seed " << seed;
    EXPECT_EQ(simulation.cancellations_not_recorded(), 0u) << "seed " << seed;
  }
  EXPECT_GE(meetings, least_meetings) << "the intended combination of faults hardly occurred";
}
/// Runs a script with a cancel timeout of little more than two worker leases, and with one of a
/// worker lease and three leader leases.
void meet_in_both(const std::function<size_t(Simulation&)>& script,
                  size_t least_meetings = kSeeds) {
  {
    SCOPED_TRACE("cancel_s of little more than two worker leases");
    meet(long_tasks(22), script, least_meetings);
  }
  SCOPED_TRACE("cancel_s of one worker lease and three leader leases");
  meet(long_tasks(16), script, least_meetings);
}

/// Heartbeat answers and commands do not reach the machines of these jobs for the span. Commands
/// are held for up to 30 s longer.
void time_since_heartbeat(Simulation& simulation, const std::vector<std::string>& jobs,
                          Seconds span) {
  for (const auto& id : jobs)
    for (const auto& m : simulation.machines_of(id)) {
      simulation.faults().deafen(m, span);
      simulation.faults().hold_commands(m, span + simulation.between(0, 30));
    }
}

// ---- the key-value store rejects only the leader, then has an outage for all controllers

/// Another controller confirms cancellations between the rejected leader's last read of the records
/// and the outage.
size_t gap(Simulation& simulation, Seconds refused_for) {
  settle(simulation);
  const auto old = simulation.leader();
  if (!old) return 0;
  const Seconds began = simulation.now();
  simulation.faults().refuse(*old, 200);
  simulation.run_for(0.3);
  const auto jobs = cancel_running(simulation, 3, simulation.follower());
  if (refused_for > 2) time_since_heartbeat(simulation, jobs, refused_for + 0.5);
  simulation.run_for(refused_for);
  simulation.faults().outage(40);
  const Seconds out = simulation.now();
  simulation.run_for(45);
  return confirmed_within(simulation, jobs, began, out);
}

TEST(Meetings, CancelledAsTheLeaderAloneIsRefusedThenOutageASecondLater) {
  meet_in_both([](Simulation& simulation) { return gap(simulation, 1); });
}
TEST(Meetings, CancelledAsTheLeaderAloneIsRefusedThenOutageWithinALeaderLease) {
  meet_in_both([](Simulation& simulation) { return gap(simulation, 1.8); });
}
TEST(Meetings, CancelledAsTheLeaderAloneIsRefusedThenOutageAfterAnotherTookOver) {
  meet_in_both([](Simulation& simulation) { return gap(simulation, 4); });
}

/// The leader reads the cancellation and its stop commands are lost; then the key-value store
/// rejects the leader and has an outage. Workers receive nothing for less time than they take to
/// switch to another controller twice, so their leases do not expire.
size_t known_but_stop_lost(Simulation& simulation, Seconds refused_after, Seconds out_after,
                           Seconds deaf) {
  settle(simulation);
  const auto old = simulation.leader();
  if (!old) return 0;
  auto running = simulation.jobs_running();
  if (running.size() > 3) running.resize(3);
  time_since_heartbeat(simulation, running, deaf);
  for (const auto& id : running) simulation.users().cancel(id, simulation.follower());
  simulation.at(refused_after, [&simulation, old] { simulation.faults().refuse(*old, 200); });
  simulation.at(out_after, [&simulation] { simulation.faults().outage(40); });
  simulation.run_for(deaf - 0.1);
  size_t met = 0;
  for (const auto& id : running)
    met += simulation.cancelled_at(id) && !simulation.machines_of(id).empty();
  simulation.run_for(45);
  return met;
}

TEST(Meetings, CancelledWithTheStopsLostThenTheLeaderRefusedThenOutage) {
  meet_in_both([](Simulation& simulation) { return known_but_stop_lost(simulation, 0.5, 1.5, 3); });
}
TEST(Meetings, CancelledWellBeforeTheRefusalWithTheStopsLostThenOutage) {
  meet_in_both([](Simulation& simulation) { return known_but_stop_lost(simulation, 2.5, 3, 4.6); });
}
TEST(Meetings, CancelledLongBeforeTheRefusalWithTheStopsLostThenOutage) {
  meet_in_both([](Simulation& simulation) { return known_but_stop_lost(simulation, 4, 4.5, 6); });
}

/// The outage affects all controllers from its start, and stop commands are lost as it begins.
TEST(Meetings, CancelledJustBeforeAnOutageWithTheStopsLost) {
  meet_in_both([](Simulation& simulation) -> size_t {
    settle(simulation);
    auto running = simulation.jobs_running();
    if (running.size() > 3) running.resize(3);
    time_since_heartbeat(simulation, running, simulation.between(1, 8));
    for (const auto& id : running) simulation.users().cancel(id);
    simulation.run_for(simulation.between(0.2, 0.6));
    const size_t met = confirmed(simulation, running);
    simulation.faults().outage(40);
    simulation.run_for(45);
    return met;
  });
}

// ---- delayed and duplicate heartbeats

TEST(Meetings, AReportIsHeldBackUntilANewLeaderHasActed) {
  meet_in_both(
      [](Simulation& simulation) {
        settle(simulation);
        simulation.faults().late_heartbeats(0.7, 12);
        simulation.run_for(4);
        cancel_running(simulation, 2);
        simulation.faults().end_process(simulation.leader_or_first(), 3);
        simulation.run_for(30);
        return simulation.workers().copies_heard_by_new_leader();
      },
      30);
}

TEST(Meetings, OldReportsReachEveryControllerAsANewLeaderBegins) {
  meet_in_both(
      [](Simulation& simulation) {
        settle(simulation);
        for (int i = 0; i < 3; ++i) {
          simulation.faults().late_heartbeats(1, 6, CopyDelivery::ToNextLeaderOnce);
          simulation.run_for(5);
          cancel_running(simulation, 1);
          submit_services(simulation, 2);
          simulation.faults().end_process(simulation.leader_or_first(), 1);
          simulation.run_for(18);
        }
        return simulation.workers().copies_heard_by_new_leader();
      },
      50);
}

TEST(Meetings, OldReportsArriveAfterNewerOnesAlsoFromEarlierSessions) {
  meet_in_both(
      [](Simulation& simulation) {
        settle(simulation);
        simulation.faults().late_heartbeats(0.6, 40);
        for (int i = 0; i < 3; ++i) {
          for (const auto& m : simulation.machines())
            if (simulation.chance(0.5)) simulation.faults().cut(m, simulation.between(11, 16));
          simulation.run_for(12);
          cancel_running(simulation, 1);
          submit_services(simulation, 1);
        }
        simulation.run_for(20);
        return simulation.workers().copies_heard();
      },
      200);
}

TEST(Meetings, ReportsAreOvertakenByOrdersAndTheirAnswers) {
  SimulationOptions o;
  o.task_least = 4;
  o.task_most = 10;
  meet(
      o,
      [](Simulation& simulation) {
        settle(simulation, 4, 20);
        const size_t before = simulation.checker().starts();
        simulation.faults().slow_heartbeats(70);
        for (int i = 0; i < 20; ++i) {
          JobSpec s = simulation.users().any_spec();
          s.kind = JobKind::Array;
          s.spread = s.one_zone = false;
          simulation.users().submit(s);
          simulation.run_for(simulation.between(1, 4));
          if (i % 5 == 4) cancel_running(simulation, 1);
        }
        return simulation.checker().starts() - before;
      },
      20 * kSeeds);
}

// ---- network partitions

TEST(Meetings, AZoneWithWorkersAndAControllerIsCutForLongerThanALease) {
  meet_in_both([](Simulation& simulation) {
    settle(simulation);
    const std::string zone = simulation.chance(0.5) ? "east" : "west";
    const Seconds began = simulation.now();
    simulation.faults().cut_zone(zone, simulation.between(15, 45));
    simulation.run_for(simulation.between(0.5, 3));
    const auto jobs = cancel_running(simulation, 2);
    simulation.run_for(50);
    return confirmed_within(simulation, jobs, began, began + 15);
  });
}

/// A controller in the partitioned zone answers heartbeats as the leader's delegate after the
/// leases that the leader itself renewed have expired. The zone's workers keep running their tasks,
/// and the leader must not start these elsewhere meanwhile.
TEST(Meetings, AZoneIsCutWhoseControllersAnswerItsWorkersInTheLeadersPlace) {
  SimulationOptions o = long_tasks();
  o.machines = 8;  // enough to tell a partitioned zone from failed machines
  o.most_machines = 16;
  size_t apart = 0;
  meet(
      o,
      [&apart](Simulation& simulation) -> size_t {
        // Workers in the east reach a controller in their zone in time only if the leader is in the
        // west.
        for (int tries = 0; tries < 12 && simulation.leader() != 1; ++tries) {
          if (const auto leader = simulation.leader()) simulation.faults().end_process(*leader, 3);
          simulation.run_for(5);
        }
        if (simulation.leader() != 1) return 0;
        submit_services(simulation, 16);
        simulation.run_for(25);
        std::vector<std::string> there;
        for (const auto& id : simulation.jobs_running())
          for (const auto& m : simulation.machines_of(id))
            if (simulation.zone_of(m) == "east" && (there.empty() || there.back() != id))
              there.push_back(id);
        const size_t before = simulation.workers().delegated();
        simulation.faults().cut_zone("east", 45);
        simulation.run_for(10);
        cancel_running(simulation, 2);
        simulation.run_for(3);  // past the leases that the leader itself renewed
        for (const auto& id : there)
          for (const auto& m : simulation.machines_of(id)) apart += simulation.zone_of(m) == "east";
        simulation.run_for(35);
        return simulation.workers().delegated() - before;
      },
      10 * kSeeds);
  EXPECT_GE(apart, 5 * kSeeds)
      << "too few tasks in the partitioned zone outlived the leases that the leader renewed";
}

TEST(Meetings, ALeaderIsCutFromStateAndPeersWhileWorkersAndUsersReachIt) {
  meet_in_both([](Simulation& simulation) -> size_t {
    settle(simulation);
    const auto old = simulation.leader();
    if (!old) return 0;
    const uint64_t term = simulation.checker().highest_term();
    simulation.faults().cut_from_state(*old, 40);
    simulation.faults().cut_from_peers(*old, 40);
    simulation.run_for(simulation.between(0.1, 4));
    const auto jobs = cancel_running(simulation, 3, old);
    simulation.run_for(45);
    return simulation.checker().highest_term() > term ? confirmed(simulation, jobs) : 0;
  });
}

TEST(Meetings, ALeaderIsCutInEveryCombinationWhileJobsAreCancelled) {
  meet_in_both([](Simulation& simulation) {
    settle(simulation);
    size_t met = 0;
    for (int which = 1; which < 8; ++which) {
      const auto old = simulation.leader();
      if (!old) {
        simulation.run_for(5);
        continue;
      }
      const Seconds span = simulation.between(4, 16);
      if (which & 1) simulation.faults().cut_from_state(*old, span);
      if (which & 2) simulation.faults().cut_from_peers(*old, span);
      if (which & 4) simulation.faults().cut_from_workers(*old, span);
      simulation.run_for(simulation.between(0.1, 3));
      const auto jobs = cancel_running(simulation, 1);
      submit_services(simulation, 1);
      simulation.run_for(18);
      met += confirmed(simulation, jobs);
    }
    return met;
  });
}

TEST(Meetings, WorkersReachNoControllerWhileDirectCommandsReachThem) {
  meet_in_both([](Simulation& simulation) {
    settle(simulation);
    for (const auto& m : simulation.machines())
      simulation.faults().mute(m, simulation.between(15, 40));
    simulation.run_for(simulation.between(0.5, 8));
    const Seconds began = simulation.now();
    const auto jobs = cancel_running(simulation, 3);
    submit_services(simulation, 2);
    simulation.run_for(3);
    if (simulation.chance(0.5)) simulation.faults().end_process(simulation.leader_or_first(), 2);
    simulation.run_for(40);
    return confirmed_within(simulation, jobs, began, began + 5);
  });
}

// ---- leader failover

TEST(Meetings, JobsAreCancelledAsWorkChangesHands) {
  meet_in_both([](Simulation& simulation) {
    settle(simulation);
    size_t met = 0;
    for (int i = 0; i < 4; ++i) {
      const Seconds began = simulation.now();
      std::vector<std::string> jobs;
      for (int k = 0; k < 4; ++k)
        simulation.at(simulation.between(0, 4), [&simulation, &jobs] {
          for (const auto& id : cancel_running(simulation, 1)) jobs.push_back(id);
        });
      simulation.faults().end_process(simulation.leader_or_first(), simulation.between(0.3, 5));
      simulation.run_for(6);
      submit_services(simulation, 4);
      met += confirmed_within(simulation, jobs, began, began + 6);
      simulation.run_for(20);
    }
    return met;
  });
}

TEST(Meetings, ATeamAtItsLimitCancelsJobsOnCutAndHungMachinesAsTheLeaderChanges) {
  meet_in_both([](Simulation& simulation) {
    settle(simulation, 12, 60);
    const Seconds began = simulation.now();
    const auto jobs = simulation.jobs_running();
    size_t met = 0;
    for (const auto& id : jobs) {
      if (simulation.chance(0.5)) continue;
      for (const auto& m : simulation.machines_of(id)) {
        const Seconds span = simulation.between(3, 25);
        switch (simulation.any(3)) {
          case 0:
            simulation.faults().cut(m, span);
            break;
          case 1:
            simulation.faults().hang(m, span);
            break;
          default:
            simulation.faults().deafen(m, span);
        }
      }
      simulation.users().cancel(id);
    }
    simulation.run_for(simulation.between(0.1, 2));
    simulation.faults().end_process(simulation.leader_or_first(), 3);
    submit_services(simulation, 6);
    simulation.run_for(40);
    met += confirmed_within(simulation, jobs, began, began + 15);
    return met;
  });
}

TEST(Meetings, ATeamAtItsLimitWithMachinesThatCannotBeAskedACancellationAndANewLeader) {
  meet_in_both([](Simulation& simulation) {
    settle(simulation, 12, 60);
    const auto all = simulation.machines();
    for (size_t i = 0; i < all.size(); i += 2) {
      simulation.faults().cut(all[i], simulation.between(8, 30));
      simulation.faults().hold_commands(all[i], simulation.between(8, 40));
    }
    const Seconds began = simulation.now();
    simulation.faults().end_process(simulation.leader_or_first(), 8);
    simulation.run_for(simulation.between(0.5, 5));
    const auto jobs = cancel_running(simulation, 3);
    submit_services(simulation, 6);
    simulation.run_for(45);
    return confirmed_within(simulation, jobs, began, began + 15);
  });
}

TEST(Meetings, ControllersHandOverAndBackAllEndAndOneReturns) {
  meet_in_both([](Simulation& simulation) {
    settle(simulation);
    const uint64_t before = simulation.checker().highest_term();
    for (int i = 0; i < 2; ++i) {
      simulation.faults().end_process(simulation.leader_or_first(), simulation.between(0.2, 4));
      simulation.run_for(6);
      cancel_running(simulation, 1);
    }
    const size_t back = simulation.any(3);
    for (size_t c = 0; c < 3; ++c)
      simulation.faults().end_process(
          c, c == back ? simulation.between(0.2, 1) : simulation.between(20, 30));
    simulation.run_for(6);
    cancel_running(simulation, 1);
    submit_services(simulation, 3);
    simulation.run_for(35);
    return simulation.checker().highest_term() - before;
  });
}

TEST(Meetings, LeadersChangeTenTimesInTwoMinutesAlsoInsideAnOutage) {
  meet_in_both(
      [](Simulation& simulation) {
        settle(simulation);
        const size_t before = simulation.checker().terms();
        for (int i = 0; i < 12; ++i) {
          const auto leading = simulation.leader();
          const size_t leader = leading ? *leading : simulation.any(3);
          if (i % 3 == 2)
            simulation.faults().stand_still(leader, simulation.between(3, 12));
          else
            simulation.faults().end_process(leader, simulation.between(0.2, 5));
          if (i == 6) simulation.faults().outage(15);
          simulation.run_for(simulation.between(1, 3));
          cancel_running(simulation, 1);
          submit_services(simulation, 1);
          simulation.run_for(8);
        }
        simulation.run_for(20);
        return simulation.checker().terms() - before;
      },
      8 * kSeeds);
}

TEST(Meetings, AllControllersAreAwayForLongerThanALease) {
  meet_in_both([](Simulation& simulation) -> size_t {
    settle(simulation);
    auto jobs = cancel_running(simulation, 1);
    simulation.run_for(simulation.between(0.05, 1));
    for (size_t c = 0; c < 3; ++c) simulation.faults().end_process(c, simulation.between(11, 25));
    simulation.run_for(12);
    const bool none = !simulation.leader() || simulation.jobs_running().empty();
    simulation.run_for(25);
    return none;
  });
}

TEST(Meetings, ALeaderStandsStillAndGoesOnWhileAnotherLeads) {
  meet_in_both([](Simulation& simulation) -> size_t {
    settle(simulation);
    const uint64_t before = simulation.checker().highest_term();
    for (int i = 0; i < 3; ++i) {
      simulation.faults().stand_still(simulation.leader_or_first(), simulation.between(2, 14));
      simulation.run_for(simulation.between(0.1, 4));
      cancel_running(simulation, 1);
      submit_services(simulation, 2);
      simulation.run_for(18);
    }
    return simulation.checker().highest_term() - before;
  });
}

TEST(Meetings, ALeaderEndsWhileMachinesWithLongTasksCannotBeReachedOrDoNotHear) {
  meet_in_both([](Simulation& simulation) {
    settle(simulation);
    const uint64_t before = simulation.checker().highest_term();
    for (const auto& m : simulation.machines()) {
      const Seconds span = simulation.between(2, 30);
      if (simulation.chance(0.5))
        simulation.faults().deafen(m, span);
      else
        simulation.faults().cut(m, span);
    }
    simulation.run_for(simulation.between(0.1, 2));
    simulation.faults().end_process(simulation.leader_or_first(), 5);
    simulation.run_for(5);
    cancel_running(simulation, 2);
    submit_services(simulation, 3);
    simulation.run_for(40);
    return simulation.checker().highest_term() - before;
  });
}

// ---- faults of the key-value store

TEST(Meetings, SlowAnswersThenTheLeaderRefusedThenEverybodyWhileUsersCancel) {
  meet_in_both([](Simulation& simulation) {
    settle(simulation);
    const Seconds began = simulation.now();
    simulation.faults().slow(10);
    std::vector<std::string> jobs = cancel_running(simulation, 1);
    simulation.run_for(simulation.between(2, 6));
    simulation.faults().refuse(simulation.leader_or_first(), 60);
    for (const auto& id : cancel_running(simulation, 2)) jobs.push_back(id);
    simulation.run_for(simulation.between(0.5, 5));
    const Seconds out = simulation.now();
    simulation.faults().outage(35);
    cancel_running(simulation, 1);
    simulation.run_for(40);
    return confirmed_within(simulation, jobs, began, out);
  });
}

TEST(Meetings, TransactionsAreCarriedOutAndOnlyTheirAnswersAreLost) {
  meet_in_both(
      [](Simulation& simulation) {
        settle(simulation);
        simulation.faults().lost_answers(0.5, 60);
        for (int i = 0; i < 10; ++i) {
          cancel_running(simulation, 1);
          submit_services(simulation, 2);
          simulation.run_for(6);
          if (i == 5) simulation.faults().end_process(simulation.leader_or_first(), 2);
        }
        return simulation.state().answers_lost();
      },
      10 * kSeeds);
}

TEST(Meetings, TransactionsWithoutAnAnswerAreCarriedOutAfterNewerOnes) {
  meet_in_both(
      [](Simulation& simulation) {
        settle(simulation);
        simulation.faults().late_writes(0.4, 60);
        for (int i = 0; i < 10; ++i) {
          cancel_running(simulation, 1);
          submit_services(simulation, 2);
          simulation.run_for(6);
          if (i % 4 == 3) simulation.faults().end_process(simulation.leader_or_first(), 2);
        }
        simulation.run_for(15);
        return simulation.state().late_writes_applied();
      },
      2 * kSeeds);
}

// ---- workloads during faults

TEST(Meetings, OneTaskJobsComeFourASecondAQuarterOfThemCancelled) {
  SimulationOptions o;
  o.task_least = 0.5;
  o.task_most = 3;
  meet(
      o,
      [](Simulation& simulation) {
        simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
        for (int i = 0; i < 240; ++i) {
          JobSpec s = simulation.users().any_spec();
          s.kind = JobKind::Array;
          s.tasks = 1;
          s.one_zone = s.spread = false;
          const std::string id = simulation.users().submit(s);
          if (i % 4 == 0)
            simulation.at(simulation.between(0.1, 4),
                          [&simulation, id] { simulation.users().cancel(id); });
          simulation.run_for(0.25);
          if (i == 120) simulation.faults().end_process(simulation.leader_or_first(), 3);
        }
        return simulation.checker().cancellations();
      },
      20 * kSeeds);
}

TEST(Meetings, JobsOfTwoOrThreeTasksEndFarApartAcrossAChangeOfLeader) {
  SimulationOptions o;
  o.task_least = 2;
  o.task_most = 60;
  meet(o, [](Simulation& simulation) {
    simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
    for (int i = 0; i < 8; ++i) {
      JobSpec s = simulation.users().any_spec();
      s.kind = JobKind::Array;
      s.tasks = 2 + static_cast<uint32_t>(i % 2);
      s.one_zone = s.spread = false;
      simulation.users().submit(s);
    }
    simulation.run_for(25);
    const uint64_t before = simulation.checker().highest_term();
    for (int i = 0; i < 3; ++i) {
      simulation.faults().end_process(simulation.leader_or_first(), simulation.between(0.3, 4));
      simulation.run_for(15);
    }
    return simulation.checker().highest_term() - before;
  });
}

TEST(Meetings, JobsBoundToOneZoneLoseMachines) {
  meet_in_both([](Simulation& simulation) {
    simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
    for (int i = 0; i < 6; ++i) {
      JobSpec s = simulation.users().any_spec();
      s.kind = i % 2 ? JobKind::Array : JobKind::Gang;
      s.tasks = 2 + static_cast<uint32_t>(i % 3);
      s.spread = false;
      s.one_zone = true;
      if (i % 3 == 0) s.zone = simulation.chance(0.5) ? "east" : "west";
      simulation.users().submit(s);
    }
    simulation.run_for(20);
    size_t lost = 0;
    for (int i = 0; i < 4; ++i) {
      for (const auto& id : simulation.jobs_running()) {
        const auto on = simulation.machines_of(id);
        if (on.empty()) continue;
        if (simulation.chance(0.5))
          simulation.faults().lose_machine(on[0]);
        else
          simulation.faults().cut(on[0], 15);
        ++lost;
        break;
      }
      if (i == 2) simulation.faults().end_process(simulation.leader_or_first(), 2);
      simulation.run_for(14);
    }
    return lost;
  });
}

TEST(Meetings, TwoTeamsAtAndBeyondTheirGuaranteesAsTheLeaderChanges) {
  SimulationOptions o;
  o.most_machines = o.machines = 4;
  o.task_least = 75;  // longer than the waits below: tasks are placed in time only by preemption
  o.task_most = 85;
  o.open_team_gpus = 8;
  meet(o, [](Simulation& simulation) {
    simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
    const auto submit = [&simulation](const std::string& team, uint32_t tasks) {
      JobSpec s = simulation.users().any_spec();
      s.kind = JobKind::Array;
      s.priority = Priority::High;
      s.tasks = tasks;
      s.team = team;
      s.spread = s.one_zone = false;
      return simulation.users().submit(s);
    };
    std::vector<std::string> open;
    open.reserve(8);
    for (int i = 0; i < 8; ++i) open.push_back(submit("open", 2));
    simulation.run_for(15);
    const std::vector<std::string> limited{submit("limited", 2), submit("limited", 2)};
    simulation.run_for(2);  // controllers accept concurrent submissions in any order
    const std::string beyond = submit("limited", 2);
    simulation.run_for(simulation.between(0.2, 3));
    simulation.faults().end_process(simulation.leader_or_first(), 3);
    const auto waiting = [&simulation](const std::vector<std::string>& jobs) {
      size_t n = 0;
      for (const auto& id : jobs) n += simulation.tasks_waiting(id);
      return n;
    };
    EXPECT_TRUE(simulation.run_until([&] { return waiting(limited) == 0; }, 30))
        << "tasks of team limited did not start within 30 s: " << waiting(limited) << " waiting";
    for (int i = 0; i < 20; ++i) {
      simulation.run_for(1);
      EXPECT_EQ(waiting(limited), 0u)
          << "tasks within the guarantee of team limited were stopped again";
      EXPECT_LE(waiting(open), 4u)
          << "more tasks of team open were stopped than team limited needs";
      EXPECT_EQ(simulation.tasks_waiting(beyond), 2u)
          << "tasks beyond the guarantee must not preempt others";
    }
    return waiting(open);
  });
}

TEST(Meetings, MoreWorkThanRoomUrgentAndNotWithSlowFetches) {
  SimulationOptions o;
  o.most_machines = o.machines = 4;
  o.task_least = 30;  // longer than the waits below: tasks are placed in time only by preemption
  o.task_most = 50;
  o.fetch_least = 3;
  o.fetch_most = 10;
  meet(
      o,
      [](Simulation& simulation) {
        simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
        const auto submit = [&simulation](Priority priority, int jobs) {
          std::vector<std::string> ids;
          for (int i = 0; i < jobs; ++i) {
            JobSpec s = simulation.users().any_spec();
            s.kind = JobKind::Array;
            s.priority = priority;
            s.tasks = 2;
            s.team = "open";
            s.spread = s.one_zone = false;
            ids.push_back(simulation.users().submit(s));
          }
          return ids;
        };
        const auto waiting = [&simulation](const std::vector<std::string>& ids) {
          size_t n = 0;
          for (const auto& id : ids) n += simulation.tasks_waiting(id);
          return n;
        };
        const auto later = submit(Priority::Low, 12);
        simulation.run_for(15);
        const auto urgent = submit(Priority::Production, 6);
        simulation.run_for(simulation.between(0.2, 3));
        simulation.faults().end_process(simulation.leader_or_first(), 3);
        const auto all = simulation.machines();
        if (!all.empty())
          simulation.faults().cut(all[simulation.any(all.size())], simulation.between(2, 12));
        const auto begun = [&] {
          return std::all_of(urgent.begin(), urgent.end(),
                             [&](const auto& id) { return simulation.began_at(id).has_value(); });
        };
        EXPECT_TRUE(simulation.run_until(begun, 25))
            << "production jobs did not all start within 25 s: " << waiting(urgent)
            << " tasks waiting";
        const size_t met = waiting(later);
        EXPECT_GT(met, waiting(urgent)) << "production tasks must start before low-priority ones";
        simulation.run_for(20);
        return met;
      },
      8 * kSeeds);
}

TEST(Meetings, NewMachinesGetWorkAtOnceWhileWritesLagAndTheLeaderEnds) {
  SimulationOptions o = long_tasks();
  o.machines = 1;
  o.boot_least = 0.2;
  o.boot_most = 2;
  meet(o, [](Simulation& simulation) {
    simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
    simulation.run_for(5);
    const size_t before = simulation.checker().starts();
    simulation.faults().slow(30);
    simulation.faults().late_writes(0.2, 30);
    submit_services(simulation, 8);
    simulation.run_for(simulation.between(1, 5));
    simulation.faults().end_process(simulation.leader_or_first(), 4);
    simulation.run_for(10);
    cancel_running(simulation, 2);
    simulation.faults().end_process(simulation.leader_or_first(), 0.5);
    simulation.run_for(30);
    return simulation.checker().starts() - before;
  });
}

TEST(Meetings, ACommandOrItsAnswerIsHeldUpAndTheMachineGoesOn) {
  size_t done = 0;
  meet_in_both([&done](Simulation& simulation) {
    settle(simulation);
    for (int i = 0; i < 5; ++i) {
      for (const auto& m : simulation.machines()) {
        const Seconds span = simulation.between(2, 9);
        if (simulation.chance(0.7))
          simulation.faults().hold_commands(m, simulation.chance(0.5) ? span : 4 * span);
        if (simulation.chance(0.3)) simulation.faults().hang(m, span);
        if (simulation.chance(0.4)) simulation.faults().mute(m, span);
      }
      submit_services(simulation, 3);
      simulation.run_for(simulation.between(1, 5));
      cancel_running(simulation, 2);
      simulation.run_for(12);
      if (i == 1) simulation.faults().end_process(simulation.leader_or_first(), 2);
    }
    simulation.run_for(30);
    done += simulation.worker_commands().late_commands_done();
    return simulation.worker_commands().late_commands();
  });
  EXPECT_GE(done, kSeeds) << "too few delayed commands were executed";
}

TEST(Meetings, CancellationsMeetTheEndOfAJobsLastTask) {
  SimulationOptions o;
  o.task_least = 4;
  o.task_most = 4.2;
  meet(
      o,
      [](Simulation& simulation) {
        simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
        for (int i = 0; i < 40; ++i) {
          JobSpec s = simulation.users().any_spec();
          s.kind = JobKind::Array;
          s.tasks = 1;
          s.one_zone = s.spread = false;
          const std::string id = simulation.users().submit(s);
          simulation.run_until([&] { return !simulation.machines_of(id).empty(); }, 20);
          simulation.at(simulation.between(3.8, 5.4),
                        [&simulation, id] { simulation.users().cancel(id); });
          simulation.run_for(1);
        }
        simulation.run_for(10);
        return simulation.checker().cancellations();
      },
      5 * kSeeds);
}

// ---- pipelines

JobSpec one_task_stage(Simulation& simulation) {
  JobSpec s = simulation.users().any_spec();
  s.kind = JobKind::Array;
  s.tasks = 1;
  s.team = "open";
  s.one_zone = s.spread = false;
  return s;
}

TEST(Meetings, AStageIsCancelledAsTheLeaderChanges) {
  meet_in_both([](Simulation& simulation) -> size_t {
    simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
    simulation.run_for(10);
    std::vector<size_t> pipelines;
    for (size_t i = 0; i < 4; ++i) {
      PipelinePlan plan;
      plan.shape = i % 2 ? diamond(2) : chain(4);
      plan.stage_spec = [&simulation] { return one_task_stage(simulation); };
      plan.cancellation =
          StageCancellation{.stage = i % 3, .after_acceptance = simulation.between(1, 6)};
      pipelines.push_back(simulation.pipelines().begin(plan));
    }
    simulation.run_for(simulation.between(0.5, 4));
    const Seconds began = simulation.now();
    // The old leader terminates, or pauses and resumes with outdated state while another one leads.
    if (simulation.chance(0.5))
      simulation.faults().end_process(simulation.leader_or_first(), simulation.between(0.2, 5));
    else
      simulation.faults().stand_still(simulation.leader_or_first(), simulation.between(3, 12));
    if (simulation.chance(0.5)) simulation.faults().slow(10);
    simulation.run_for(20);
    size_t met = 0;
    for (const size_t pipeline : pipelines)
      for (size_t stage = 0; stage < 4; ++stage) {
        const auto id = simulation.pipelines().job(pipeline, stage);
        const auto at = id ? simulation.cancelled_at(*id) : std::nullopt;
        met += at && *at >= began && *at <= began + 10;
      }
    return met;
  });
}

TEST(Meetings, AStagesLastTaskEndsWhileItIsCancelledThroughTwoControllersAtOnce) {
  SimulationOptions o;
  o.task_least = 3;
  o.task_most = 8;
  size_t done = 0;
  size_t cancelled = 0;
  meet(
      o,
      [&](Simulation& simulation) -> size_t {
        simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
        std::vector<size_t> pipelines;
        for (size_t i = 0; i < 12; ++i) {
          PipelinePlan plan;
          plan.shape = i % 2 ? fan(2) : chain(3);
          plan.stage_spec = [&simulation] { return one_task_stage(simulation); };
          plan.cancellation = StageCancellation{.stage = i % 2,
                                                .when = StageCancellation::When::AsItsLastTaskEnds,
                                                .through_two_controllers = true};
          pipelines.push_back(simulation.pipelines().begin(plan));
          simulation.run_for(3);
          if (i == 6) simulation.faults().end_process(simulation.leader_or_first(), 2);
        }
        simulation.run_for(60);
        size_t met = 0;
        for (const size_t pipeline : pipelines) {
          const auto id = simulation.pipelines().job(pipeline, pipeline % 2);
          met += id && simulation.pipelines().stage_complete(pipeline, pipeline % 2);
          const bool lost = id && simulation.cancelled_at(*id);
          cancelled += lost;
          done += id && !lost;
        }
        return met;
      },
      8 * kSeeds);
  EXPECT_GE(cancelled, kSeeds) << "too few cancellations preceded the end of the last task";
  EXPECT_GE(done, 1u) << "no last task ended before its job's cancellation";
}

/// The last stage's record names the other stages if the accepting controller has not yet read that
/// they have ended.
TEST(Meetings, TheLastStageIsSubmittedWhenTheOthersAreOverAndANewLeaderThatNeverSawThemTakesOver) {
  meet_in_both([](Simulation& simulation) -> size_t {
    simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
    simulation.run_for(10);
    std::vector<size_t> pipelines;
    for (size_t i = 0; i < 4; ++i) {
      PipelinePlan plan;
      plan.shape = i % 2 ? fan(3) : diamond(2);
      plan.stage_spec = [&simulation] { return one_task_stage(simulation); };
      plan.last_when_others_are_over = true;
      if (i == 3) plan.cancellation = StageCancellation{.stage = 0, .after_acceptance = 3};
      pipelines.push_back(simulation.pipelines().begin(plan));
    }
    const auto submitted = [&simulation](size_t pipeline) {
      return simulation.pipelines().job(pipeline, 3).has_value();
    };
    EXPECT_TRUE(simulation.run_until(
        [&] { return std::any_of(pipelines.begin(), pipelines.end(), submitted); }, 300));
    const size_t leader = simulation.leader_or_first();
    const size_t before = simulation.checker().terms();
    // All controllers restart, so that no cache holds the finished jobs.
    for (size_t controller = 0; controller < 3; ++controller)
      simulation.faults().end_process(controller,
                                      controller == leader ? 8 : simulation.between(0.1, 1));
    simulation.run_until([&] { return simulation.checker().terms() > before; }, 30);
    simulation.run_until([&] { return std::all_of(pipelines.begin(), pipelines.end(), submitted); },
                         300);
    simulation.run_for(120);
    size_t met = 0;
    for (const size_t pipeline : pipelines)
      met += simulation.pipelines().stage_complete(pipeline, 3);
    return simulation.checker().terms() > before ? met : 0;
  });
}

}  // namespace
}  // namespace sumacquay
