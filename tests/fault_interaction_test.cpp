// Scripted combinations of faults, each over fixed seeds. A script returns how often its
// combination occurred, and the test fails if it hardly did.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

#include "simulation/simulation.h"

namespace sumacquay {
namespace {

using simulation::chain;
using simulation::diamond;
using simulation::DuplicateDelivery;
using simulation::fan;
using simulation::PipelinePlan;
using simulation::Simulation;
using simulation::SimulationOptions;
using simulation::StageCancellation;

constexpr uint64_t kSeeds = 8;

/// Tasks that run long enough for cancellations to stop them.
SimulationOptions long_task_options(Seconds cancel_s = 22) {
  SimulationOptions options;
  options.cancel_s = cancel_s;
  options.min_task_s = 60;
  options.max_task_s = 90;
  return options;
}
/// Submits services and arrays, alternately for the team without a quota and the team with one.
void submit_services(Simulation& simulation, int count) {
  for (int i = 0; i < count; ++i) {
    JobSpec spec = simulation.users().random_spec();
    spec.kind = i % 3 == 2 ? JobKind::Array : JobKind::Service;
    spec.tasks = 1 + static_cast<uint32_t>(i % 2);
    spec.spread = spec.one_zone = false;
    spec.team = i % 2 ? "limited" : "open";
    simulation.users().submit(spec);
  }
}
void start_workload(Simulation& simulation, int job_count = 6, Seconds duration = 40) {
  simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
  submit_services(simulation, job_count);
  simulation.run_for(duration);
}
std::vector<std::string> cancel_running(Simulation& simulation, size_t max_jobs,
                                        std::optional<size_t> first_controller = std::nullopt) {
  auto jobs = simulation.running_jobs();
  if (jobs.size() > max_jobs) jobs.resize(max_jobs);
  for (const auto& id : jobs) simulation.users().cancel(id, first_controller);
  return jobs;
}
size_t count_confirmed(const Simulation& simulation, const std::vector<std::string>& jobs) {
  size_t count = 0;
  for (const auto& id : jobs) count += simulation.cancelled_at(id).has_value();
  return count;
}
size_t count_confirmed_between(const Simulation& simulation, const std::vector<std::string>& jobs,
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
void run_script(const SimulationOptions& options, const std::function<size_t(Simulation&)>& script,
                size_t min_occurrences = kSeeds) {
  size_t occurrences = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimulationOptions seed_options = options;
    // With a short boot time silent machines are released within seconds; with a long one they are
    // kept for the duration of a partition.
    seed_options.declared_boot_s = seed % 2 ? 5 : 120;
    Simulation simulation(seed, seed_options);
    if (seed % 4 < 2) simulation.faults().delay_releases(1000);
    occurrences += script(simulation);
    simulation.finish();
    EXPECT_EQ(simulation.checker().violations(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(simulation.unfinished_job_count(), 0u) << "seed " << seed;
    EXPECT_EQ(simulation.pipelines().unaccepted_stages(), 0u) << "seed " << seed;
    EXPECT_EQ(simulation.unrecorded_cancellations(), 0u) << "seed " << seed;
  }
  EXPECT_GE(occurrences, min_occurrences) << "the intended combination of faults hardly occurred";
}
/// Runs a script with a cancel timeout of little more than two worker leases, and with one of a
/// worker lease and three leader leases.
void run_with_both_cancel_timeouts(const std::function<size_t(Simulation&)>& script,
                                   size_t min_occurrences = kSeeds) {
  {
    SCOPED_TRACE("cancel_s of little more than two worker leases");
    run_script(long_task_options(22), script, min_occurrences);
  }
  SCOPED_TRACE("cancel_s of one worker lease and three leader leases");
  run_script(long_task_options(16), script, min_occurrences);
}

/// Heartbeat answers and commands do not reach the machines of these jobs for the duration.
/// Commands are delayed for up to 30 s longer.
void drop_worker_inbound(Simulation& simulation, const std::vector<std::string>& jobs,
                         Seconds duration) {
  for (const auto& id : jobs)
    for (const auto& m : simulation.machines_running(id)) {
      simulation.faults().drop_inbound_messages(m, duration);
      simulation.faults().delay_commands(m, duration + simulation.random_between(0, 30));
    }
}

// ---- the key-value store rejects only the leader, then has an outage for all controllers

/// Another controller confirms cancellations between the rejected leader's last read of the records
/// and the outage.
size_t cancel_between_rejection_and_outage(Simulation& simulation, Seconds rejection_duration) {
  start_workload(simulation);
  const auto old_leader = simulation.leader();
  if (!old_leader) return 0;
  const Seconds start = simulation.now();
  simulation.faults().reject_store_requests(*old_leader, 200);
  simulation.run_for(0.3);
  const auto jobs = cancel_running(simulation, 3, simulation.follower());
  if (rejection_duration > 2) drop_worker_inbound(simulation, jobs, rejection_duration + 0.5);
  simulation.run_for(rejection_duration);
  simulation.faults().store_outage(40);
  const Seconds outage_start = simulation.now();
  simulation.run_for(45);
  return count_confirmed_between(simulation, jobs, start, outage_start);
}

TEST(CancellationBeforeStoreOutage, StopsTasksIfLeaderIsRejectedOneSecondEarlier) {
  run_with_both_cancel_timeouts(
      [](Simulation& simulation) { return cancel_between_rejection_and_outage(simulation, 1); });
}
TEST(CancellationBeforeStoreOutage, StopsTasksIfLeaderIsRejectedWithinLeaderLeaseEarlier) {
  run_with_both_cancel_timeouts(
      [](Simulation& simulation) { return cancel_between_rejection_and_outage(simulation, 1.8); });
}
TEST(CancellationBeforeStoreOutage, StopsTasksIfNewLeaderWasElectedAfterRejection) {
  run_with_both_cancel_timeouts(
      [](Simulation& simulation) { return cancel_between_rejection_and_outage(simulation, 4); });
}

/// The leader reads the cancellation and its stop commands are lost; then the key-value store
/// rejects the leader and has an outage. Workers receive nothing for less time than they take to
/// switch to another controller twice, so their leases do not expire.
size_t cancel_with_lost_stops(Simulation& simulation, Seconds rejected_after, Seconds outage_after,
                              Seconds inbound_loss_duration) {
  start_workload(simulation);
  const auto old_leader = simulation.leader();
  if (!old_leader) return 0;
  auto jobs = simulation.running_jobs();
  if (jobs.size() > 3) jobs.resize(3);
  drop_worker_inbound(simulation, jobs, inbound_loss_duration);
  for (const auto& id : jobs) simulation.users().cancel(id, simulation.follower());
  simulation.schedule_in(rejected_after, [&simulation, old_leader] {
    simulation.faults().reject_store_requests(*old_leader, 200);
  });
  simulation.schedule_in(outage_after, [&simulation] { simulation.faults().store_outage(40); });
  simulation.run_for(inbound_loss_duration - 0.1);
  size_t occurrences = 0;
  for (const auto& id : jobs)
    occurrences += simulation.cancelled_at(id) && !simulation.machines_running(id).empty();
  simulation.run_for(45);
  return occurrences;
}

TEST(CancellationBeforeStoreOutage,
     StopsTasksIfStopsAreLostAndLeaderIsRejectedSoonAfterCancellation) {
  run_with_both_cancel_timeouts(
      [](Simulation& simulation) { return cancel_with_lost_stops(simulation, 0.5, 1.5, 3); });
}
TEST(CancellationBeforeStoreOutage,
     StopsTasksIfStopsAreLostAndLeaderIsRejectedLaterThanLeaderLease) {
  run_with_both_cancel_timeouts(
      [](Simulation& simulation) { return cancel_with_lost_stops(simulation, 2.5, 3, 4.6); });
}
TEST(CancellationBeforeStoreOutage,
     StopsTasksIfStopsAreLostAndLeaderIsRejectedLongAfterCancellation) {
  run_with_both_cancel_timeouts(
      [](Simulation& simulation) { return cancel_with_lost_stops(simulation, 4, 4.5, 6); });
}

/// The outage affects all controllers from its start, and stop commands are lost as it begins.
TEST(CancellationBeforeStoreOutage, StopsTasksIfStopsAreLostJustBeforeOutage) {
  run_with_both_cancel_timeouts([](Simulation& simulation) -> size_t {
    start_workload(simulation);
    auto jobs = simulation.running_jobs();
    if (jobs.size() > 3) jobs.resize(3);
    drop_worker_inbound(simulation, jobs, simulation.random_between(1, 8));
    for (const auto& id : jobs) simulation.users().cancel(id);
    simulation.run_for(simulation.random_between(0.2, 0.6));
    const size_t occurrences = count_confirmed(simulation, jobs);
    simulation.faults().store_outage(40);
    simulation.run_for(45);
    return occurrences;
  });
}

// ---- delayed and duplicate heartbeats

TEST(DelayedHeartbeats, InvariantsHoldWhenDuplicatesArriveAfterNewLeaderHasActed) {
  run_with_both_cancel_timeouts(
      [](Simulation& simulation) {
        start_workload(simulation);
        simulation.faults().duplicate_heartbeats(0.7, 12);
        simulation.run_for(4);
        cancel_running(simulation, 2);
        simulation.faults().restart_controller(simulation.leader_or_first(), 3);
        simulation.run_for(30);
        return simulation.workers().duplicates_received_by_new_leader();
      },
      30);
}

TEST(DelayedHeartbeats, InvariantsHoldWhenDuplicatesReachAllControllersAtElection) {
  run_with_both_cancel_timeouts(
      [](Simulation& simulation) {
        start_workload(simulation);
        for (int i = 0; i < 3; ++i) {
          simulation.faults().duplicate_heartbeats(1, 6, DuplicateDelivery::OnLeaderChange);
          simulation.run_for(5);
          cancel_running(simulation, 1);
          submit_services(simulation, 2);
          simulation.faults().restart_controller(simulation.leader_or_first(), 1);
          simulation.run_for(18);
        }
        return simulation.workers().duplicates_received_by_new_leader();
      },
      50);
}

TEST(DelayedHeartbeats, InvariantsHoldWhenDuplicatesArriveOutOfOrderAcrossAgentEpochs) {
  run_with_both_cancel_timeouts(
      [](Simulation& simulation) {
        start_workload(simulation);
        simulation.faults().duplicate_heartbeats(0.6, 40);
        for (int i = 0; i < 3; ++i) {
          for (const auto& m : simulation.machines())
            if (simulation.random_bool(0.5))
              simulation.faults().partition_machine(m, simulation.random_between(11, 16));
          simulation.run_for(12);
          cancel_running(simulation, 1);
          submit_services(simulation, 1);
        }
        simulation.run_for(20);
        return simulation.workers().duplicates_received();
      },
      200);
}

TEST(DelayedHeartbeats, InvariantsHoldWhenCommandsAndAnswersOvertakeHeartbeats) {
  SimulationOptions options;
  options.min_task_s = 4;
  options.max_task_s = 10;
  run_script(
      options,
      [](Simulation& simulation) {
        start_workload(simulation, 4, 20);
        const size_t starts_before = simulation.checker().starts();
        simulation.faults().delay_heartbeats(70);
        for (int i = 0; i < 20; ++i) {
          JobSpec spec = simulation.users().random_spec();
          spec.kind = JobKind::Array;
          spec.spread = spec.one_zone = false;
          simulation.users().submit(spec);
          simulation.run_for(simulation.random_between(1, 4));
          if (i % 5 == 4) cancel_running(simulation, 1);
        }
        return simulation.checker().starts() - starts_before;
      },
      20 * kSeeds);
}

// ---- network partitions

TEST(NetworkPartitionFaults, CancelsJobsWhileZoneIsPartitionedForLongerThanLease) {
  run_with_both_cancel_timeouts([](Simulation& simulation) {
    start_workload(simulation);
    const std::string zone = simulation.random_bool(0.5) ? "east" : "west";
    const Seconds start = simulation.now();
    simulation.faults().partition_zone(zone, simulation.random_between(15, 45));
    simulation.run_for(simulation.random_between(0.5, 3));
    const auto jobs = cancel_running(simulation, 2);
    simulation.run_for(50);
    return count_confirmed_between(simulation, jobs, start, start + 15);
  });
}

/// A controller in the partitioned zone answers heartbeats as the leader's delegate after the
/// leases that the leader itself renewed have expired. The zone's workers keep running their tasks,
/// and the leader must not start these elsewhere meanwhile.
TEST(NetworkPartitionFaults, StartsNoDuplicatesWhileDelegateAnswersInPartitionedZone) {
  SimulationOptions options = long_task_options();
  options.machines = 8;  // enough to tell a partitioned zone from failed machines
  options.max_machines = 16;
  size_t outliving_tasks = 0;
  run_script(
      options,
      [&outliving_tasks](Simulation& simulation) -> size_t {
        // Workers in the east reach a controller in their zone in time only if the leader is in the
        // west.
        for (int attempt = 0; attempt < 12 && simulation.leader() != 1; ++attempt) {
          if (const auto leader = simulation.leader())
            simulation.faults().restart_controller(*leader, 3);
          simulation.run_for(5);
        }
        if (simulation.leader() != 1) return 0;
        submit_services(simulation, 16);
        simulation.run_for(25);
        std::vector<std::string> east_jobs;
        for (const auto& id : simulation.running_jobs())
          for (const auto& m : simulation.machines_running(id))
            if (simulation.zone_of(m) == "east" && (east_jobs.empty() || east_jobs.back() != id))
              east_jobs.push_back(id);
        const size_t delegate_replies_before = simulation.workers().delegate_replies();
        simulation.faults().partition_zone("east", 45);
        simulation.run_for(10);
        cancel_running(simulation, 2);
        simulation.run_for(3);  // past the leases that the leader itself renewed
        for (const auto& id : east_jobs)
          for (const auto& m : simulation.machines_running(id))
            outliving_tasks += simulation.zone_of(m) == "east";
        simulation.run_for(35);
        return simulation.workers().delegate_replies() - delegate_replies_before;
      },
      10 * kSeeds);
  EXPECT_GE(outliving_tasks, 5 * kSeeds)
      << "too few tasks in the partitioned zone outlived the leases that the leader renewed";
}

TEST(NetworkPartitionFaults, CancelsJobsWhileLeaderIsPartitionedFromStoreAndPeers) {
  run_with_both_cancel_timeouts([](Simulation& simulation) -> size_t {
    start_workload(simulation);
    const auto old_leader = simulation.leader();
    if (!old_leader) return 0;
    const uint64_t term = simulation.checker().highest_term();
    simulation.faults().partition_from_store(*old_leader, 40);
    simulation.faults().partition_from_peers(*old_leader, 40);
    simulation.run_for(simulation.random_between(0.1, 4));
    const auto jobs = cancel_running(simulation, 3, old_leader);
    simulation.run_for(45);
    return simulation.checker().highest_term() > term ? count_confirmed(simulation, jobs) : 0;
  });
}

TEST(NetworkPartitionFaults, CancelsJobsInEveryCombinationOfLeaderPartitions) {
  run_with_both_cancel_timeouts([](Simulation& simulation) {
    start_workload(simulation);
    size_t occurrences = 0;
    for (int partition_mask = 1; partition_mask < 8; ++partition_mask) {
      const auto old_leader = simulation.leader();
      if (!old_leader) {
        simulation.run_for(5);
        continue;
      }
      const Seconds duration = simulation.random_between(4, 16);
      if (partition_mask & 1) simulation.faults().partition_from_store(*old_leader, duration);
      if (partition_mask & 2) simulation.faults().partition_from_peers(*old_leader, duration);
      if (partition_mask & 4) simulation.faults().partition_from_workers(*old_leader, duration);
      simulation.run_for(simulation.random_between(0.1, 3));
      const auto jobs = cancel_running(simulation, 1);
      submit_services(simulation, 1);
      simulation.run_for(18);
      occurrences += count_confirmed(simulation, jobs);
    }
    return occurrences;
  });
}

TEST(NetworkPartitionFaults, CancelsJobsWhileWorkersReceiveCommandsButReachNoController) {
  run_with_both_cancel_timeouts([](Simulation& simulation) {
    start_workload(simulation);
    for (const auto& m : simulation.machines())
      simulation.faults().drop_heartbeats(m, simulation.random_between(15, 40));
    simulation.run_for(simulation.random_between(0.5, 8));
    const Seconds start = simulation.now();
    const auto jobs = cancel_running(simulation, 3);
    submit_services(simulation, 2);
    simulation.run_for(3);
    if (simulation.random_bool(0.5))
      simulation.faults().restart_controller(simulation.leader_or_first(), 2);
    simulation.run_for(40);
    return count_confirmed_between(simulation, jobs, start, start + 5);
  });
}

// ---- leader failover

TEST(LeaderFailoverFaults, CancelsJobsDuringFailover) {
  run_with_both_cancel_timeouts([](Simulation& simulation) {
    start_workload(simulation);
    size_t occurrences = 0;
    for (int i = 0; i < 4; ++i) {
      const Seconds start = simulation.now();
      std::vector<std::string> jobs;
      for (int k = 0; k < 4; ++k)
        simulation.schedule_in(simulation.random_between(0, 4), [&simulation, &jobs] {
          for (const auto& id : cancel_running(simulation, 1)) jobs.push_back(id);
        });
      simulation.faults().restart_controller(simulation.leader_or_first(),
                                             simulation.random_between(0.3, 5));
      simulation.run_for(6);
      submit_services(simulation, 4);
      occurrences += count_confirmed_between(simulation, jobs, start, start + 6);
      simulation.run_for(20);
    }
    return occurrences;
  });
}

TEST(LeaderFailoverFaults, KeepsQuotaWhenJobsOnUnresponsiveMachinesAreCancelled) {
  run_with_both_cancel_timeouts([](Simulation& simulation) {
    start_workload(simulation, 12, 60);
    const Seconds start = simulation.now();
    const auto jobs = simulation.running_jobs();
    size_t occurrences = 0;
    for (const auto& id : jobs) {
      if (simulation.random_bool(0.5)) continue;
      for (const auto& m : simulation.machines_running(id)) {
        const Seconds duration = simulation.random_between(3, 25);
        switch (simulation.random_below(3)) {
          case 0:
            simulation.faults().partition_machine(m, duration);
            break;
          case 1:
            simulation.faults().hang_machine(m, duration);
            break;
          default:
            simulation.faults().drop_inbound_messages(m, duration);
        }
      }
      simulation.users().cancel(id);
    }
    simulation.run_for(simulation.random_between(0.1, 2));
    simulation.faults().restart_controller(simulation.leader_or_first(), 3);
    submit_services(simulation, 6);
    simulation.run_for(40);
    occurrences += count_confirmed_between(simulation, jobs, start, start + 15);
    return occurrences;
  });
}

TEST(LeaderFailoverFaults, KeepsQuotaWhenMachinesAreUnreachableForNewLeader) {
  run_with_both_cancel_timeouts([](Simulation& simulation) {
    start_workload(simulation, 12, 60);
    const auto machines = simulation.machines();
    for (size_t i = 0; i < machines.size(); i += 2) {
      simulation.faults().partition_machine(machines[i], simulation.random_between(8, 30));
      simulation.faults().delay_commands(machines[i], simulation.random_between(8, 40));
    }
    const Seconds start = simulation.now();
    simulation.faults().restart_controller(simulation.leader_or_first(), 8);
    simulation.run_for(simulation.random_between(0.5, 5));
    const auto jobs = cancel_running(simulation, 3);
    submit_services(simulation, 6);
    simulation.run_for(45);
    return count_confirmed_between(simulation, jobs, start, start + 15);
  });
}

TEST(LeaderFailoverFaults, RecoversWhenAllControllersEndAndOneRestarts) {
  run_with_both_cancel_timeouts([](Simulation& simulation) {
    start_workload(simulation);
    const uint64_t term_before = simulation.checker().highest_term();
    for (int i = 0; i < 2; ++i) {
      simulation.faults().restart_controller(simulation.leader_or_first(),
                                             simulation.random_between(0.2, 4));
      simulation.run_for(6);
      cancel_running(simulation, 1);
    }
    const size_t returning_controller = simulation.random_below(3);
    for (size_t controller = 0; controller < 3; ++controller)
      simulation.faults().restart_controller(controller, controller == returning_controller
                                                             ? simulation.random_between(0.2, 1)
                                                             : simulation.random_between(20, 30));
    simulation.run_for(6);
    cancel_running(simulation, 1);
    submit_services(simulation, 3);
    simulation.run_for(35);
    return simulation.checker().highest_term() - term_before;
  });
}

TEST(LeaderFailoverFaults, RecoversFromFailoversEveryTenSecondsWithStoreOutage) {
  run_with_both_cancel_timeouts(
      [](Simulation& simulation) {
        start_workload(simulation);
        const size_t term_count_before = simulation.checker().term_count();
        for (int i = 0; i < 12; ++i) {
          const auto leading = simulation.leader();
          const size_t leader = leading ? *leading : simulation.random_below(3);
          if (i % 3 == 2)
            simulation.faults().pause_controller(leader, simulation.random_between(3, 12));
          else
            simulation.faults().restart_controller(leader, simulation.random_between(0.2, 5));
          if (i == 6) simulation.faults().store_outage(15);
          simulation.run_for(simulation.random_between(1, 3));
          cancel_running(simulation, 1);
          submit_services(simulation, 1);
          simulation.run_for(8);
        }
        simulation.run_for(20);
        return simulation.checker().term_count() - term_count_before;
      },
      8 * kSeeds);
}

TEST(LeaderFailoverFaults, RecoversWhenAllControllersAreDownForLongerThanLease) {
  run_with_both_cancel_timeouts([](Simulation& simulation) -> size_t {
    start_workload(simulation);
    auto jobs = cancel_running(simulation, 1);
    simulation.run_for(simulation.random_between(0.05, 1));
    for (size_t controller = 0; controller < 3; ++controller)
      simulation.faults().restart_controller(controller, simulation.random_between(11, 25));
    simulation.run_for(12);
    const bool no_leader_or_tasks = !simulation.leader() || simulation.running_jobs().empty();
    simulation.run_for(25);
    return no_leader_or_tasks;
  });
}

TEST(LeaderFailoverFaults, InvariantsHoldWhenPausedLeaderResumesUnderNewLeader) {
  run_with_both_cancel_timeouts([](Simulation& simulation) -> size_t {
    start_workload(simulation);
    const uint64_t term_before = simulation.checker().highest_term();
    for (int i = 0; i < 3; ++i) {
      simulation.faults().pause_controller(simulation.leader_or_first(),
                                           simulation.random_between(2, 14));
      simulation.run_for(simulation.random_between(0.1, 4));
      cancel_running(simulation, 1);
      submit_services(simulation, 2);
      simulation.run_for(18);
    }
    return simulation.checker().highest_term() - term_before;
  });
}

TEST(LeaderFailoverFaults, InvariantsHoldWhenMachinesWithLongTasksAreUnreachable) {
  run_with_both_cancel_timeouts([](Simulation& simulation) {
    start_workload(simulation);
    const uint64_t term_before = simulation.checker().highest_term();
    for (const auto& m : simulation.machines()) {
      const Seconds duration = simulation.random_between(2, 30);
      if (simulation.random_bool(0.5))
        simulation.faults().drop_inbound_messages(m, duration);
      else
        simulation.faults().partition_machine(m, duration);
    }
    simulation.run_for(simulation.random_between(0.1, 2));
    simulation.faults().restart_controller(simulation.leader_or_first(), 5);
    simulation.run_for(5);
    cancel_running(simulation, 2);
    submit_services(simulation, 3);
    simulation.run_for(40);
    return simulation.checker().highest_term() - term_before;
  });
}

// ---- faults of the key-value store

TEST(KeyValueStoreFaults, CancelsJobsThroughSlowAnswersLeaderRejectionAndOutage) {
  run_with_both_cancel_timeouts([](Simulation& simulation) {
    start_workload(simulation);
    const Seconds start = simulation.now();
    simulation.faults().slow_store(10);
    std::vector<std::string> jobs = cancel_running(simulation, 1);
    simulation.run_for(simulation.random_between(2, 6));
    simulation.faults().reject_store_requests(simulation.leader_or_first(), 60);
    for (const auto& id : cancel_running(simulation, 2)) jobs.push_back(id);
    simulation.run_for(simulation.random_between(0.5, 5));
    const Seconds outage_start = simulation.now();
    simulation.faults().store_outage(35);
    cancel_running(simulation, 1);
    simulation.run_for(40);
    return count_confirmed_between(simulation, jobs, start, outage_start);
  });
}

TEST(KeyValueStoreFaults, InvariantsHoldWhenAnswersToTransactionsAreLost) {
  run_with_both_cancel_timeouts(
      [](Simulation& simulation) {
        start_workload(simulation);
        simulation.faults().lose_store_answers(0.5, 60);
        for (int i = 0; i < 10; ++i) {
          cancel_running(simulation, 1);
          submit_services(simulation, 2);
          simulation.run_for(6);
          if (i == 5) simulation.faults().restart_controller(simulation.leader_or_first(), 2);
        }
        return simulation.store().answers_lost();
      },
      10 * kSeeds);
}

TEST(KeyValueStoreFaults, InvariantsHoldWhenUnansweredTransactionsExecuteAfterNewerOnes) {
  run_with_both_cancel_timeouts(
      [](Simulation& simulation) {
        start_workload(simulation);
        simulation.faults().delay_store_writes(0.4, 60);
        for (int i = 0; i < 10; ++i) {
          cancel_running(simulation, 1);
          submit_services(simulation, 2);
          simulation.run_for(6);
          if (i % 4 == 3) simulation.faults().restart_controller(simulation.leader_or_first(), 2);
        }
        simulation.run_for(15);
        return simulation.store().late_writes_applied();
      },
      2 * kSeeds);
}

// ---- workloads during faults

TEST(WorkloadsDuringFaults, RunsFourSingleTaskJobsPerSecondWithQuarterCancelled) {
  SimulationOptions options;
  options.min_task_s = 0.5;
  options.max_task_s = 3;
  run_script(
      options,
      [](Simulation& simulation) {
        simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
        for (int i = 0; i < 240; ++i) {
          JobSpec spec = simulation.users().random_spec();
          spec.kind = JobKind::Array;
          spec.tasks = 1;
          spec.one_zone = spec.spread = false;
          const std::string id = simulation.users().submit(spec);
          if (i % 4 == 0)
            simulation.schedule_in(simulation.random_between(0.1, 4),
                                   [&simulation, id] { simulation.users().cancel(id); });
          simulation.run_for(0.25);
          if (i == 120) simulation.faults().restart_controller(simulation.leader_or_first(), 3);
        }
        return simulation.checker().cancellations();
      },
      20 * kSeeds);
}

TEST(WorkloadsDuringFaults, RecordsTasksOfOneJobThatEndAcrossFailovers) {
  SimulationOptions options;
  options.min_task_s = 2;
  options.max_task_s = 60;
  run_script(options, [](Simulation& simulation) {
    simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
    for (int i = 0; i < 8; ++i) {
      JobSpec spec = simulation.users().random_spec();
      spec.kind = JobKind::Array;
      spec.tasks = 2 + static_cast<uint32_t>(i % 2);
      spec.one_zone = spec.spread = false;
      simulation.users().submit(spec);
    }
    simulation.run_for(25);
    const uint64_t term_before = simulation.checker().highest_term();
    for (int i = 0; i < 3; ++i) {
      simulation.faults().restart_controller(simulation.leader_or_first(),
                                             simulation.random_between(0.3, 4));
      simulation.run_for(15);
    }
    return simulation.checker().highest_term() - term_before;
  });
}

TEST(WorkloadsDuringFaults, RestartsSingleZoneJobsThatLoseMachines) {
  run_with_both_cancel_timeouts([](Simulation& simulation) {
    simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
    for (int i = 0; i < 6; ++i) {
      JobSpec spec = simulation.users().random_spec();
      spec.kind = i % 2 ? JobKind::Array : JobKind::Gang;
      spec.tasks = 2 + static_cast<uint32_t>(i % 3);
      spec.spread = false;
      spec.one_zone = true;
      if (i % 3 == 0) spec.zone = simulation.random_bool(0.5) ? "east" : "west";
      simulation.users().submit(spec);
    }
    simulation.run_for(20);
    size_t machine_losses = 0;
    for (int i = 0; i < 4; ++i) {
      for (const auto& id : simulation.running_jobs()) {
        const auto machines = simulation.machines_running(id);
        if (machines.empty()) continue;
        if (simulation.random_bool(0.5))
          simulation.faults().lose_machine(machines[0]);
        else
          simulation.faults().partition_machine(machines[0], 15);
        ++machine_losses;
        break;
      }
      if (i == 2) simulation.faults().restart_controller(simulation.leader_or_first(), 2);
      simulation.run_for(14);
    }
    return machine_losses;
  });
}

TEST(WorkloadsDuringFaults, KeepsTeamGuaranteesAcrossFailover) {
  SimulationOptions options;
  options.max_machines = options.machines = 4;
  // Longer than the waits below: tasks are placed in time only by preemption.
  options.min_task_s = 75;
  options.max_task_s = 85;
  options.open_team_guaranteed_gpus = 8;
  run_script(options, [](Simulation& simulation) {
    simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
    const auto submit = [&simulation](const std::string& team, uint32_t tasks) {
      JobSpec spec = simulation.users().random_spec();
      spec.kind = JobKind::Array;
      spec.priority = Priority::High;
      spec.tasks = tasks;
      spec.team = team;
      spec.spread = spec.one_zone = false;
      return simulation.users().submit(spec);
    };
    std::vector<std::string> open_jobs;
    open_jobs.reserve(8);
    for (int i = 0; i < 8; ++i) open_jobs.push_back(submit("open", 2));
    simulation.run_for(15);
    const std::vector<std::string> limited_jobs{submit("limited", 2), submit("limited", 2)};
    simulation.run_for(2);  // controllers accept concurrent submissions in any order
    const std::string job_beyond_guarantee = submit("limited", 2);
    simulation.run_for(simulation.random_between(0.2, 3));
    simulation.faults().restart_controller(simulation.leader_or_first(), 3);
    const auto waiting_tasks = [&simulation](const std::vector<std::string>& jobs) {
      size_t count = 0;
      for (const auto& id : jobs) count += simulation.waiting_tasks(id);
      return count;
    };
    EXPECT_TRUE(simulation.run_until([&] { return waiting_tasks(limited_jobs) == 0; }, 30))
        << "tasks of team limited did not start within 30 s: " << waiting_tasks(limited_jobs)
        << " waiting";
    for (int i = 0; i < 20; ++i) {
      simulation.run_for(1);
      EXPECT_EQ(waiting_tasks(limited_jobs), 0u)
          << "tasks within the guarantee of team limited were stopped again";
      EXPECT_LE(waiting_tasks(open_jobs), 4u)
          << "more tasks of team open were stopped than team limited needs";
      EXPECT_EQ(simulation.waiting_tasks(job_beyond_guarantee), 2u)
          << "tasks beyond the guarantee must not preempt others";
    }
    return waiting_tasks(open_jobs);
  });
}

TEST(WorkloadsDuringFaults, StartsProductionJobsFirstOnFullFleetWithSlowFetches) {
  SimulationOptions options;
  options.max_machines = options.machines = 4;
  // Longer than the waits below: tasks are placed in time only by preemption.
  options.min_task_s = 30;
  options.max_task_s = 50;
  options.min_fetch_s = 3;
  options.max_fetch_s = 10;
  run_script(
      options,
      [](Simulation& simulation) {
        simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
        const auto submit = [&simulation](Priority priority, int jobs) {
          std::vector<std::string> job_ids;
          for (int i = 0; i < jobs; ++i) {
            JobSpec spec = simulation.users().random_spec();
            spec.kind = JobKind::Array;
            spec.priority = priority;
            spec.tasks = 2;
            spec.team = "open";
            spec.spread = spec.one_zone = false;
            job_ids.push_back(simulation.users().submit(spec));
          }
          return job_ids;
        };
        const auto waiting_tasks = [&simulation](const std::vector<std::string>& job_ids) {
          size_t count = 0;
          for (const auto& id : job_ids) count += simulation.waiting_tasks(id);
          return count;
        };
        const auto low_priority_jobs = submit(Priority::Low, 12);
        simulation.run_for(15);
        const auto production_jobs = submit(Priority::Production, 6);
        simulation.run_for(simulation.random_between(0.2, 3));
        simulation.faults().restart_controller(simulation.leader_or_first(), 3);
        const auto machines = simulation.machines();
        if (!machines.empty())
          simulation.faults().partition_machine(machines[simulation.random_below(machines.size())],
                                                simulation.random_between(2, 12));
        const auto production_started = [&] {
          return std::all_of(production_jobs.begin(), production_jobs.end(),
                             [&](const auto& id) { return simulation.started_at(id).has_value(); });
        };
        EXPECT_TRUE(simulation.run_until(production_started, 25))
            << "production jobs did not all start within 25 s: " << waiting_tasks(production_jobs)
            << " tasks waiting";
        const size_t waiting_low_priority = waiting_tasks(low_priority_jobs);
        EXPECT_GT(waiting_low_priority, waiting_tasks(production_jobs))
            << "production tasks must start before low-priority ones";
        simulation.run_for(20);
        return waiting_low_priority;
      },
      8 * kSeeds);
}

TEST(WorkloadsDuringFaults, PlacesTasksOnNewMachinesDuringSlowWritesAndFailover) {
  SimulationOptions options = long_task_options();
  options.machines = 1;
  options.min_boot_s = 0.2;
  options.max_boot_s = 2;
  run_script(options, [](Simulation& simulation) {
    simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
    simulation.run_for(5);
    const size_t starts_before = simulation.checker().starts();
    simulation.faults().slow_store(30);
    simulation.faults().delay_store_writes(0.2, 30);
    submit_services(simulation, 8);
    simulation.run_for(simulation.random_between(1, 5));
    simulation.faults().restart_controller(simulation.leader_or_first(), 4);
    simulation.run_for(10);
    cancel_running(simulation, 2);
    simulation.faults().restart_controller(simulation.leader_or_first(), 0.5);
    simulation.run_for(30);
    return simulation.checker().starts() - starts_before;
  });
}

TEST(WorkloadsDuringFaults, InvariantsHoldWhenCommandsOrTheirAnswersAreDelayed) {
  size_t executed_late = 0;
  run_with_both_cancel_timeouts([&executed_late](Simulation& simulation) {
    start_workload(simulation);
    for (int i = 0; i < 5; ++i) {
      for (const auto& m : simulation.machines()) {
        const Seconds duration = simulation.random_between(2, 9);
        if (simulation.random_bool(0.7))
          simulation.faults().delay_commands(m,
                                             simulation.random_bool(0.5) ? duration : 4 * duration);
        if (simulation.random_bool(0.3)) simulation.faults().hang_machine(m, duration);
        if (simulation.random_bool(0.4)) simulation.faults().drop_heartbeats(m, duration);
      }
      submit_services(simulation, 3);
      simulation.run_for(simulation.random_between(1, 5));
      cancel_running(simulation, 2);
      simulation.run_for(12);
      if (i == 1) simulation.faults().restart_controller(simulation.leader_or_first(), 2);
    }
    simulation.run_for(30);
    executed_late += simulation.command_channel().late_commands_executed();
    return simulation.command_channel().late_commands();
  });
  EXPECT_GE(executed_late, kSeeds) << "too few delayed commands were executed";
}

TEST(WorkloadsDuringFaults, ResolvesCancellationsThatRaceWithEndOfLastTask) {
  SimulationOptions options;
  options.min_task_s = 4;
  options.max_task_s = 4.2;
  run_script(
      options,
      [](Simulation& simulation) {
        simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
        for (int i = 0; i < 40; ++i) {
          JobSpec spec = simulation.users().random_spec();
          spec.kind = JobKind::Array;
          spec.tasks = 1;
          spec.one_zone = spec.spread = false;
          const std::string id = simulation.users().submit(spec);
          simulation.run_until([&] { return !simulation.machines_running(id).empty(); }, 20);
          simulation.schedule_in(simulation.random_between(3.8, 5.4),
                                 [&simulation, id] { simulation.users().cancel(id); });
          simulation.run_for(1);
        }
        simulation.run_for(10);
        return simulation.checker().cancellations();
      },
      5 * kSeeds);
}

// ---- pipelines

JobSpec single_task_stage(Simulation& simulation) {
  JobSpec spec = simulation.users().random_spec();
  spec.kind = JobKind::Array;
  spec.tasks = 1;
  spec.team = "open";
  spec.one_zone = spec.spread = false;
  return spec;
}

TEST(PipelinesDuringFaults, CancelsStageDuringFailover) {
  run_with_both_cancel_timeouts([](Simulation& simulation) -> size_t {
    simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
    simulation.run_for(10);
    std::vector<size_t> pipelines;
    for (size_t i = 0; i < 4; ++i) {
      PipelinePlan plan;
      plan.shape = i % 2 ? diamond(2) : chain(4);
      plan.stage_spec = [&simulation] { return single_task_stage(simulation); };
      plan.cancellation = StageCancellation{
          .stage = i % 3, .delay_after_acceptance = simulation.random_between(1, 6)};
      pipelines.push_back(simulation.pipelines().submit_pipeline(plan));
    }
    simulation.run_for(simulation.random_between(0.5, 4));
    const Seconds start = simulation.now();
    // The old leader terminates, or pauses and resumes with outdated state while another one leads.
    if (simulation.random_bool(0.5))
      simulation.faults().restart_controller(simulation.leader_or_first(),
                                             simulation.random_between(0.2, 5));
    else
      simulation.faults().pause_controller(simulation.leader_or_first(),
                                           simulation.random_between(3, 12));
    if (simulation.random_bool(0.5)) simulation.faults().slow_store(10);
    simulation.run_for(20);
    size_t occurrences = 0;
    for (const size_t pipeline : pipelines)
      for (size_t stage = 0; stage < 4; ++stage) {
        const auto id = simulation.pipelines().job(pipeline, stage);
        const auto at = id ? simulation.cancelled_at(*id) : std::nullopt;
        occurrences += at && *at >= start && *at <= start + 10;
      }
    return occurrences;
  });
}

TEST(PipelinesDuringFaults, ResolvesTwoConcurrentCancellationsThatRaceWithEndOfLastTask) {
  SimulationOptions options;
  options.min_task_s = 3;
  options.max_task_s = 8;
  size_t finished_first = 0;
  size_t cancelled_first = 0;
  run_script(
      options,
      [&](Simulation& simulation) -> size_t {
        simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
        std::vector<size_t> pipelines;
        for (size_t i = 0; i < 12; ++i) {
          PipelinePlan plan;
          plan.shape = i % 2 ? fan(2) : chain(3);
          plan.stage_spec = [&simulation] { return single_task_stage(simulation); };
          plan.cancellation = StageCancellation{.stage = i % 2,
                                                .when = StageCancellation::When::WhenTasksDone,
                                                .through_two_controllers = true};
          pipelines.push_back(simulation.pipelines().submit_pipeline(plan));
          simulation.run_for(3);
          if (i == 6) simulation.faults().restart_controller(simulation.leader_or_first(), 2);
        }
        simulation.run_for(60);
        size_t occurrences = 0;
        for (const size_t pipeline : pipelines) {
          const auto id = simulation.pipelines().job(pipeline, pipeline % 2);
          occurrences += id && simulation.pipelines().stage_complete(pipeline, pipeline % 2);
          const bool was_cancelled = id && simulation.cancelled_at(*id);
          cancelled_first += was_cancelled;
          finished_first += id && !was_cancelled;
        }
        return occurrences;
      },
      8 * kSeeds);
  EXPECT_GE(cancelled_first, kSeeds) << "too few cancellations preceded the end of the last task";
  EXPECT_GE(finished_first, 1u) << "no last task ended before its job's cancellation";
}

/// The last stage's record names the other stages if the accepting controller has not yet read that
/// they have ended.
TEST(PipelinesDuringFaults, NewLeaderCompletesLastStageWhoseDependenciesEndedEarlier) {
  run_with_both_cancel_timeouts([](Simulation& simulation) -> size_t {
    simulation.run_until([&] { return simulation.leader().has_value(); }, 20);
    simulation.run_for(10);
    std::vector<size_t> pipelines;
    for (size_t i = 0; i < 4; ++i) {
      PipelinePlan plan;
      plan.shape = i % 2 ? fan(3) : diamond(2);
      plan.stage_spec = [&simulation] { return single_task_stage(simulation); };
      plan.submit_last_after_others_end = true;
      if (i == 3) plan.cancellation = StageCancellation{.stage = 0, .delay_after_acceptance = 3};
      pipelines.push_back(simulation.pipelines().submit_pipeline(plan));
    }
    const auto last_stage_submitted = [&simulation](size_t pipeline) {
      return simulation.pipelines().job(pipeline, 3).has_value();
    };
    EXPECT_TRUE(simulation.run_until(
        [&] { return std::any_of(pipelines.begin(), pipelines.end(), last_stage_submitted); },
        300));
    const size_t leader = simulation.leader_or_first();
    const size_t term_count_before = simulation.checker().term_count();
    // All controllers restart, so that no cache holds the finished jobs.
    for (size_t controller = 0; controller < 3; ++controller)
      simulation.faults().restart_controller(
          controller, controller == leader ? 8 : simulation.random_between(0.1, 1));
    simulation.run_until([&] { return simulation.checker().term_count() > term_count_before; }, 30);
    simulation.run_until(
        [&] { return std::all_of(pipelines.begin(), pipelines.end(), last_stage_submitted); }, 300);
    simulation.run_for(120);
    size_t occurrences = 0;
    for (const size_t pipeline : pipelines)
      occurrences += simulation.pipelines().stage_complete(pipeline, 3);
    return simulation.checker().term_count() > term_count_before ? occurrences : 0;
  });
}

}  // namespace
}  // namespace sumacquay
