// Placement, preemption and scale-out when the space in the workers' heartbeats is what limits the
// tasks of a machine.
#include <gtest/gtest.h>

#include <string>

#include "autoscaling/scale_out_planner.h"
#include "generators.h"
#include "placement/placement.h"

namespace sumacquay {
namespace {

using testing::check_property;

/// A machine whose heartbeat lists 800 tasks of 100 bytes.
CandidateMachine machine_with_heartbeat_space() {
  CandidateMachine machine;
  machine.machine = "m";
  machine.type = "g";
  machine.zone = "e";
  machine.capacity = machine.available = {96, 8, 384, 80000};
  return machine;
}

PlacementRequest request_for(const JobSpec& spec, uint32_t tasks) {
  PlacementRequest request;
  request.spec = &spec;
  request.heartbeat_bytes = 100;
  for (uint32_t task = 0; task < tasks; ++task) request.tasks.push_back(task);
  return request;
}

JobSpec array_of(const Resources& request) {
  JobSpec spec;
  spec.kind = JobKind::Array;
  spec.request = request;
  return spec;
}

TEST(HeartbeatSpace, SmallTasksLeaveAnEighthToTasksThatUseTheMachine) {
  const JobSpec small = array_of({0.01, 0, 0.01});
  const JobSpec large = array_of({2, 0, 4});
  std::vector<CandidateMachine> machines{machine_with_heartbeat_space()};
  EXPECT_EQ(bin_pack(request_for(small, 2000), machines).size(), 700u);
  EXPECT_EQ(bin_pack(request_for(large, 10), machines).size(), 10u);
  EXPECT_TRUE(bin_pack(request_for(small, 1), machines).empty());
}

TEST(HeartbeatSpace, TasksThatUseTheMachineAreLimitedByItsResourcesAlone) {
  const JobSpec tasks = array_of({0.125, 0, 0.25});  // 768 by CPUs, 800 by the heartbeat
  std::vector<CandidateMachine> machines{machine_with_heartbeat_space()};
  EXPECT_EQ(bin_pack(request_for(tasks, 2000), machines).size(), 768u);
}

TEST(HeartbeatSpace, ReservationForGpuTasksIncludesIt) {
  JobSpec gpu_job = array_of({1, 1, 1});
  const JobSpec small = array_of({0.01, 0, 0.01});
  std::vector<CandidateMachine> machines{machine_with_heartbeat_space()};
  machines[0].available.heartbeat_bytes = 90;
  ASSERT_TRUE(bin_pack(request_for(gpu_job, 1), machines).empty());
  reserve_for_gpu_tasks(request_for(gpu_job, 1), machines);
  machines[0].available.heartbeat_bytes = 10000 + 150;  // some tasks have gone
  EXPECT_TRUE(bin_pack(request_for(small, 1), machines).empty());
  EXPECT_EQ(bin_pack(request_for(gpu_job, 1), machines).size(), 1u);
}

// A preemption that frees less than placement needs would be repeated in each round, at the cost of
// more tasks each time.
TEST(HeartbeatSpace, TaskFitsOnceItsVictimsAreGone) {
  EXPECT_TRUE(check_property(
      "bin_pack() places the task on the machine that preempt() has chosen",
      [] {
        std::vector<CandidateMachine> machines;
        std::vector<Victim> victims;
        const int machine_count = *rc::gen::inRange(1, 4);
        for (int m = 0; m < machine_count; ++m) {
          CandidateMachine machine = machine_with_heartbeat_space();
          machine.machine += std::to_string(m);
          machine.capacity.heartbeat_bytes = machine.available.heartbeat_bytes = 1600;
          while (*rc::gen::inRange(0, 12) > 0) {
            Victim victim;
            victim.job = "victim";
            victim.task = static_cast<uint32_t>(victims.size());
            victim.candidate = static_cast<size_t>(m);
            victim.request = {*rc::gen::inRange(0, 40) * 1.0, 0, 1, 100};
            if (!victim.request.fits_in(machine.available)) break;
            machine.available -= victim.request;
            victims.push_back(victim);
          }
          machines.push_back(machine);
        }
        JobSpec spec = array_of({*rc::gen::inRange(0, 96) * 1.0, 0, *rc::gen::inRange(0, 9) * 1.0});
        spec.priority = Priority::High;
        const PlacementRequest request = request_for(spec, 1);
        const auto preemption = preempt(request, machines, victims);
        if (!preemption) return RC_ASSERT(victims.empty() || !bin_pack(request, machines).empty());
        CandidateMachine& chosen = machines[preemption->candidate];
        for (const size_t victim : preemption->victims) chosen.available += victims[victim].request;
        std::vector<CandidateMachine> alone{chosen};
        RC_ASSERT(bin_pack(request, alone).size() == 1u);
      },
      1000));
}

TEST(HeartbeatSpace, ScaleOutRequestsTheMachinesThatTheTasksFitOn) {
  MachineType type;
  type.name = "g";
  type.capacity = {96, 8, 384, 80000};
  type.zones = {"e"};
  const std::vector<InstanceOffering> offerings{{&type, "e", false, 10, false}};
  const JobSpec small = array_of({0.01, 0, 0.01});
  std::vector<CandidateMachine> booting;
  const auto requests = plan_scale_out({request_for(small, 2000)}, booting, offerings, 50);
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0].count, 3) << "700 tasks on each machine";
}

}  // namespace
}  // namespace sumacquay
