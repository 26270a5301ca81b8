#pragma once
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/scheduler.h"

namespace sumacquay::testing {

/// A leader's scheduler that the test drives directly: one team without quotas, and one machine
/// type with room for four tasks of `job_record`.
struct SchedulerFixture : ::testing::Test {
  static constexpr double kNow = 1000;

  SchedulerFixture(uint64_t leader_term, Seconds heartbeat_period_s, Seconds lease_s)
      : term(leader_term), fencing_token(leader_term << kFencingTokenCounterBits) {
    settings.heartbeat_period_s = heartbeat_period_s;
    settings.lease_s = lease_s;
    TeamSettings team;
    team.name = "t";
    settings.teams = {team};
    machine_type.name = "g";
    machine_type.capacity = {4, 4, 16};
    machine_type.zones = {"e"};
    new_scheduler();
  }

  void new_scheduler() {
    scheduler = std::make_unique<Scheduler>(settings, term, kNow, kNow);
    scheduler->set_machine_types({machine_type});
  }

  static JobRecord job_record(const std::string& id, uint32_t tasks) {
    JobRecord record;
    record.spec.id = id;
    record.spec.team = "t";
    record.spec.tasks = tasks;
    record.spec.request = {1, 1, 1};
    record.submitted_ms = 1;
    return record;
  }

  static WorkerHeartbeat heartbeat(const std::string& machine, uint64_t sequence_number,
                                   uint64_t fencing_token, std::vector<TaskStatus> tasks = {}) {
    WorkerHeartbeat result;
    result.machine = machine;
    result.addr = "10.0.0.2:9";
    result.type = "g";
    result.zone = "e";
    result.agent_epoch = 1;
    result.sequence_number = sequence_number;
    result.fencing_token = fencing_token;
    result.tasks = std::move(tasks);
    return result;
  }

  /// Adds a machine that is up and has acknowledged the leader's fencing token.
  void add_machine(const std::string& id) const {
    scheduler->on_heartbeat(heartbeat(id, 1, 0), true, kNow);
    scheduler->on_heartbeat(heartbeat(id, 2, fencing_token), true, kNow);
  }

  /// The number of machines in each scale-out request among the actions.
  static std::vector<int> scale_out_counts(const std::vector<Action>& actions) {
    std::vector<int> counts;
    for (const auto& action : actions)
      if (const auto* scale_out = std::get_if<ScaleOut>(&action))
        counts.push_back(scale_out->count);
    return counts;
  }

  uint64_t term;
  uint64_t fencing_token;  ///< of a machine without unanswered commands
  Settings settings;
  MachineType machine_type;
  std::unique_ptr<Scheduler> scheduler;
  uint64_t revision = 100;
};

}  // namespace sumacquay::testing
