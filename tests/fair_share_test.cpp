// Teams' fair shares: which jobs are within them, which tasks are preempted for them, and that
// preemption does not cycle.
#include "jobs/fair_share.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "dispatch/scheduler.h"
#include "generators.h"
#include "placement/placement.h"

namespace sumacquay {
namespace {

using testing::check_property;

TeamSettings make_team(const std::string& name, double cpus, double gpus) {
  TeamSettings team;
  team.name = name;
  team.cpus = cpus;
  team.gpus = gpus;
  return team;
}

JobSpec make_spec(const std::string& id, const std::string& team, uint32_t tasks, Resources request,
                  Priority priority = Priority::Normal) {
  JobSpec spec;
  spec.id = id;
  spec.team = team;
  spec.tasks = tasks;
  spec.request = request;
  spec.priority = priority;
  return spec;
}

constexpr Resources kOneGpu{2, 1, 4};

TEST(FairShare, JobIsWithinIfItFitsWithTheTeamsEarlierJobs) {
  const std::vector<TeamSettings> teams{make_team("a", 0, 4), make_team("b", 0, 1)};
  const JobSpec first = make_spec("job-9", "a", 2, kOneGpu);
  const JobSpec second = make_spec("job-5", "a", 2, kOneGpu);
  const JobSpec third = make_spec("job-1", "a", 1, kOneGpu);
  const JobSpec other = make_spec("job-2", "b", 1, kOneGpu);
  EXPECT_EQ(within_fair_share(
                teams, {{&third, 1, 30}, {&second, 2, 20}, {&other, 1, 40}, {&first, 2, 10}}),
            (JobIds{"job-9", "job-5", "job-2"}));
  EXPECT_EQ(within_fair_share(teams, {{&third, 1, 30}, {&second, 2, 20}, {&first, 1, 10}}),
            (JobIds{"job-9", "job-5", "job-1"}))
      << "a task that has ended uses nothing of the share";
  const JobSpec large = make_spec("job-3", "a", 5, kOneGpu);
  EXPECT_EQ(within_fair_share(teams, {{&large, 5, 1}, {&first, 2, 10}}), JobIds{})
      << "a job that does not fit still counts against later jobs";
}

TEST(FairShare, ResourceWithoutShareCoversNoJob) {
  const std::vector<TeamSettings> teams{make_team("none", 0, 0), make_team("gpus", 0, 4),
                                        make_team("cpus", 9, 0), make_team("both", 9, 4)};
  const JobSpec guest = make_spec("guest", "none", 1, kOneGpu);
  const JobSpec with_gpu = make_spec("with_gpu", "gpus", 1, kOneGpu);
  const JobSpec without_gpu = make_spec("without_gpu", "gpus", 1, {2, 0, 4});
  const JobSpec cpus_alone = make_spec("cpus_alone", "cpus", 1, {2, 0, 4});
  const JobSpec gpu_of_others = make_spec("gpu_of_others", "cpus", 1, kOneGpu);
  const JobSpec wide = make_spec("wide", "both", 1, {10, 1, 4});
  EXPECT_EQ(within_fair_share(teams, {{&guest, 1, 1},
                                      {&with_gpu, 1, 2},
                                      {&without_gpu, 1, 3},
                                      {&cpus_alone, 1, 4},
                                      {&gpu_of_others, 1, 5},
                                      {&wide, 1, 6}}),
            (JobIds{"with_gpu", "cpus_alone"}));
}

TEST(FairShare, TeamLosesOnlyResourcesBeyondItsShare) {
  const std::vector<TeamSettings> teams{make_team("a", 0, 4), make_team("guest", 0, 0)};
  RunningResources running(teams);
  running.add("a", {100, 6, 0});
  running.add("guest", {10, 1, 0});
  EXPECT_TRUE(running.keeps_fair_share_without("a", {50, 2, 0}));
  EXPECT_FALSE(running.keeps_fair_share_without("a", {1, 3, 0}));
  EXPECT_TRUE(running.keeps_fair_share_without("guest", {10, 1, 0}));
  EXPECT_FALSE(running.keeps_fair_share_without("unknown", {}));
  running.remove("a", {2, 1, 0});
  EXPECT_FALSE(running.keeps_fair_share_without("a", {50, 2, 0}))
      << "tasks that are being stopped no longer count as running";
}

/// Two teams, one full machine of 8 GPUs.
struct FairSharePreemption : ::testing::Test {
  std::vector<TeamSettings> teams{make_team("gains", 0, 8), make_team("loses", 0, 2)};
  RunningResources running{teams};
  JobSpec job = make_spec("job", "gains", 1, {1, 1, 1});
  PlacementRequest placement_request;
  std::vector<CandidateMachine> candidates{1};
  std::vector<Victim> victims;

  FairSharePreemption() {
    placement_request.spec = &job;
    placement_request.tasks = {0};
    placement_request.within_fair_share = true;
    candidates[0].machine = "m";
    candidates[0].type = "g";
    candidates[0].zone = "e";
    candidates[0].capacity = {8, 8, 8};
    add_victim(1, 5);
    running.add("loses", {8, 8, 8});
  }
  Victim& add_victim(double gpus, double loss_s) {
    Victim victim;
    victim.job = "other";
    victim.team = "loses";
    victim.priority = Priority::Normal;
    victim.request = victim.team_loss = {gpus, gpus, gpus};
    victim.loss_s = loss_s;
    victim.beyond_fair_share = true;
    victims.push_back(victim);
    return victims.back();
  }
  std::optional<Preemption> preemption() const {
    return preempt(placement_request, candidates, victims, running);
  }
};

TEST_F(FairSharePreemption, TaskBeyondShareIsPreemptedForJobWithinShare) {
  ASSERT_TRUE(preemption().has_value());
  EXPECT_EQ(preemption()->victims, std::vector<size_t>{0});
}
TEST_F(FairSharePreemption, JobBeyondShareDoesNotPreempt) {
  placement_request.within_fair_share = false;
  EXPECT_FALSE(preemption().has_value());
}
TEST_F(FairSharePreemption, TaskWithinShareIsNotPreempted) {
  victims[0].beyond_fair_share = false;
  EXPECT_FALSE(preemption().has_value());
}
TEST_F(FairSharePreemption, TaskIsNotPreemptedForItsOwnTeam) {
  victims[0].team = "gains";
  running.add("gains", {20, 20, 20});
  EXPECT_FALSE(preemption().has_value());
}
TEST_F(FairSharePreemption, TaskThatCouldPreemptInTurnIsNotPreempted) {
  victims[0].priority = Priority::High;
  EXPECT_FALSE(preemption().has_value());
}
TEST_F(FairSharePreemption, TaskIsNotPreemptedIfItsTeamWouldFallBelowShare) {
  running.remove("loses", {6, 6, 6});
  EXPECT_FALSE(preemption().has_value());
}
TEST_F(FairSharePreemption, VictimsTogetherDoNotTakeTheirTeamBelowShare) {
  job.request = {2, 2, 2};
  add_victim(1, 6);
  ASSERT_EQ(preemption()->victims.size(), 2u);
  running.remove("loses", {5, 5, 5});  // 3 are left, the fair share is 2
  EXPECT_FALSE(preemption().has_value());
}
TEST_F(FairSharePreemption, GangIsNotPreemptedIfItTakesItsTeamBelowShare) {
  victims[0].gang = true;
  victims[0].team_loss = {7, 7, 7};
  EXPECT_FALSE(preemption().has_value());
  victims[0].team_loss = {6, 6, 6};
  EXPECT_TRUE(preemption().has_value());
}
TEST_F(FairSharePreemption, NoVictimsWhileEnoughIsBeingReleased) {
  candidates[0].releasing = {1, 1, 1};
  ASSERT_TRUE(preemption().has_value());
  EXPECT_TRUE(preemption()->already_releasing);
}
TEST_F(FairSharePreemption, PrefersVictimWithLowestLoss) {
  add_victim(1, 2);
  EXPECT_EQ(preemption()->victims, std::vector<size_t>{1});
}
TEST_F(FairSharePreemption, SparesVictimsThatAreNotNeeded) {
  job.request = {4, 4, 4};
  add_victim(4, 50);
  EXPECT_EQ(preemption()->victims, std::vector<size_t>{1}) << "the large victim alone is enough";
}

TEST(FairShare, PreemptionHasNoCycles) {
  EXPECT_TRUE(check_property("preemption has no cycles", [] {
    const std::vector<TeamSettings> teams{make_team("a", 0, *rc::gen::inRange(0, 6)),
                                          make_team("b", 0, *rc::gen::inRange(0, 6)),
                                          make_team("c", 0, *rc::gen::inRange(0, 6))};
    std::vector<JobSpec> jobs;
    for (int i = *rc::gen::inRange(2, 9); i > 0; --i)
      jobs.push_back(make_spec("job-" + std::to_string(i),
                               *rc::gen::element<std::string>("a", "b", "c"),
                               static_cast<uint32_t>(*rc::gen::inRange(1, 4)), kOneGpu,
                               *rc::gen::element(Priority::Low, Priority::Normal, Priority::High)));
    std::vector<UnfinishedJob> unfinished;
    unfinished.reserve(jobs.size());
    for (const auto& job : jobs) unfinished.push_back({&job, job.tasks, 1});
    const JobIds within = within_fair_share(teams, unfinished);
    RunningResources running(teams);
    for (const auto& job : jobs) running.add(job.team, job.request.times(job.tasks));

    std::vector<CandidateMachine> candidates(1);
    candidates[0].capacity = kOneGpu;
    std::vector<std::vector<bool>> can_stop(jobs.size(), std::vector<bool>(jobs.size()));
    for (size_t i = 0; i < jobs.size(); ++i)
      for (size_t j = 0; j < jobs.size(); ++j) {
        PlacementRequest placement_request;
        placement_request.spec = &jobs[i];
        placement_request.tasks = {0};
        placement_request.within_fair_share = within.contains(jobs[i].id);
        Victim victim;
        victim.team = jobs[j].team;
        victim.request = victim.team_loss = kOneGpu;
        victim.priority = jobs[j].priority;
        victim.beyond_fair_share = !within.contains(jobs[j].id);
        can_stop[i][j] = preempt(placement_request, candidates, {victim}, running).has_value();
      }
    for (size_t k = 0; k < jobs.size(); ++k)
      for (size_t i = 0; i < jobs.size(); ++i)
        for (size_t j = 0; j < jobs.size(); ++j)
          if (can_stop[i][k] && can_stop[k][j]) can_stop[i][j] = true;
    for (size_t i = 0; i < jobs.size(); ++i) RC_ASSERT(!can_stop[i][i]);
  }));
}

/// A scheduler and machines that execute its commands. A stopped task exits after `kStopDuration`.
class FairShareScheduling : public ::testing::Test {
 protected:
  static constexpr Seconds kStep = 0.5;
  static constexpr Seconds kStopDuration = 3;

  FairShareScheduling() {
    settings_.heartbeat_period_s = 1;
    settings_.lease_s = 10;
    settings_.teams = {make_team("a", 0, 4), make_team("b", 0, 2)};
    type_.name = "g";
    type_.capacity = {16, 4, 64};
    type_.zones = {"e"};
    scheduler_ = std::make_unique<Scheduler>(settings_, 1, now_, now_);
    scheduler_->set_machine_types({type_});
  }

  void submit(JobSpec job, uint32_t done = 0) {
    job.checkpoint_interval_s = 10;
    job.checkpoint_duration_s = 1;
    JobRecord record;
    record.spec = std::move(job);
    for (uint32_t task = 0; task < done; ++task) record.done.add(task);
    record.submitted_ms = static_cast<uint64_t>(now_ * 1000);
    scheduler_->on_job_record(record, ++revision_, now_);
  }

  void add_machine(const std::string& id) { machines_[id]; }

  void advance(Seconds time) {
    for (const Seconds end = now_ + time; now_ < end; now_ += kStep) {
      for (auto& [id, tasks] : machines_) {
        exit_stopped(tasks);
        execute(tasks, scheduler_->on_heartbeat(heartbeat(id), true, now_).commands);
      }
      for (const auto& action : scheduler_->tick(now_)) {
        if (const auto* worker_commands = std::get_if<SendCommands>(&action)) {
          execute(machines_.at(worker_commands->machine), worker_commands->commands);
          fencing_token_[worker_commands->machine] = worker_commands->fencing_token;
          scheduler_->on_commands_answered(worker_commands->machine,
                                           heartbeat(worker_commands->machine), true, now_);
        }
        if (const auto* scale_out = std::get_if<ScaleOut>(&action))
          scheduler_->on_scale_out_answered(*scale_out, Scheduler::ScaleOutOutcome::Refused, {},
                                            now_);
      }
      for (const auto& write : scheduler_->plan_writes(now_, 12))
        scheduler_->on_write_answered(write, true, ++revision_, now_);
    }
  }

  size_t running(const std::string& job) const {
    size_t count = 0;
    for (const auto& [id, tasks] : machines_)
      for (const auto& [key, task] : tasks)
        count += key.task.job == job && task.state == TaskState::Running;
    return count;
  }

  Settings settings_;
  MachineType type_;
  Seconds now_ = 1000;
  std::unique_ptr<Scheduler> scheduler_;
  std::map<std::string, size_t> stop_commands_;  ///< stop commands counted by job

 private:
  struct Task {
    TaskState state = TaskState::Running;
    Seconds exits_at = 0;
  };
  using Tasks = std::map<TaskAttemptId, Task>;

  WorkerHeartbeat heartbeat(const std::string& id) {
    WorkerHeartbeat worker;
    worker.machine = id;
    worker.addr = "a:1";
    worker.type = "g";
    worker.zone = "e";
    worker.agent_epoch = 1;
    worker.sequence_number = ++sequence_number_;
    worker.fencing_token = std::max(fencing_token_[id], uint64_t{1} << 20);
    for (const auto& [key, task] : machines_.at(id))
      worker.tasks.push_back(
          {key.task, key.attempt, task.state,
           task.state == TaskState::Exited ? ExitCause::Stopped : ExitCause::None});
    return worker;
  }

  void execute(Tasks& tasks, const std::vector<Command>& commands) {
    for (const auto& command : commands) {
      const TaskAttemptId key{command.key, command.attempt};
      if (command.type == CommandType::Start) tasks.try_emplace(key);
      if (command.type == CommandType::Discard) tasks.erase(key);
      const auto found = tasks.find(key);
      if (command.type != CommandType::Stop || found == tasks.end()) continue;
      if (found->second.state != TaskState::Running) continue;
      found->second = {TaskState::Checkpointing, now_ + kStopDuration};
      ++stop_commands_[key.task.job];
    }
  }

  void exit_stopped(Tasks& tasks) const {
    for (auto& [key, task] : tasks)
      if (task.state == TaskState::Checkpointing && now_ >= task.exits_at)
        task.state = TaskState::Exited;
  }

  std::map<std::string, Tasks> machines_;
  std::map<std::string, uint64_t> fencing_token_;
  uint64_t revision_ = 10, sequence_number_ = 0;
};

TEST_F(FairShareScheduling, ReclaimsBorrowedResourcesOnceAndOnlyAsNeeded) {
  add_machine("i-1");
  add_machine("i-2");
  submit(make_spec("borrower", "b", 8, kOneGpu));
  advance(20);
  ASSERT_EQ(running("borrower"), 8u);
  submit(make_spec("guaranteed", "a", 3, kOneGpu));
  advance(15);
  EXPECT_EQ(running("guaranteed"), 3u);
  EXPECT_EQ(stop_commands_["borrower"], 3u);
  advance(60);
  EXPECT_EQ(running("guaranteed"), 3u) << "the preempted tasks have not retaken the resources";
  EXPECT_EQ(running("borrower"), 5u);
  EXPECT_EQ(stop_commands_["borrower"], 3u);
  EXPECT_EQ(stop_commands_["guaranteed"], 0u);
}

TEST_F(FairShareScheduling, PreemptedOlderJobDoesNotRetakeFreedResources) {
  add_machine("i-1");
  submit(make_spec("borrower", "b", 4, kOneGpu, Priority::Low));
  advance(20);
  submit(make_spec("guaranteed", "a", 1, kOneGpu, Priority::Low));
  advance(40);
  EXPECT_EQ(running("guaranteed"), 1u);
  EXPECT_EQ(stop_commands_["borrower"], 1u);
}

TEST_F(FairShareScheduling, TeamKeepsItsShare) {
  add_machine("i-1");
  submit(make_spec("borrower", "b", 4, kOneGpu));
  advance(20);
  submit(make_spec("guaranteed", "a", 4, kOneGpu));
  advance(40);
  EXPECT_EQ(running("borrower"), 2u);
  EXPECT_EQ(running("guaranteed"), 2u);
  EXPECT_EQ(stop_commands_["borrower"], 2u);
}

TEST_F(FairShareScheduling, TwoJobsInOneRoundDoNotTakeTeamBelowItsShare) {
  add_machine("i-1");
  submit(make_spec("borrower", "b", 3, kOneGpu));
  submit(make_spec("first", "a", 1, kOneGpu));
  advance(20);
  submit(make_spec("second", "a", 1, kOneGpu));
  submit(make_spec("third", "a", 1, kOneGpu));
  advance(40);
  EXPECT_EQ(running("borrower"), 2u);
  EXPECT_EQ(stop_commands_["borrower"], 1u);
}

TEST_F(FairShareScheduling, GangHoldingPartOfItsTeamsShareIsNotPreempted) {
  add_machine("i-1");
  JobSpec gang = make_spec("gang", "b", 4, kOneGpu);
  gang.kind = JobKind::Gang;
  submit(gang);
  advance(20);
  ASSERT_EQ(running("gang"), 4u);
  submit(make_spec("guaranteed", "a", 1, kOneGpu));
  advance(40);
  EXPECT_EQ(running("gang"), 4u);
  EXPECT_EQ(stop_commands_["gang"], 0u);
}

TEST_F(FairShareScheduling, DoneTasksUseNothingOfShare) {
  add_machine("i-1");
  submit(make_spec("borrower", "b", 3, kOneGpu));
  submit(make_spec("nearly_done", "a", 4, kOneGpu), 3);
  advance(20);
  submit(make_spec("guaranteed", "a", 1, kOneGpu));
  advance(40);
  EXPECT_EQ(running("guaranteed"), 1u);
}

TEST_F(FairShareScheduling, JobBeyondItsShareStopsNoTask) {
  add_machine("i-1");
  submit(make_spec("borrower", "b", 4, kOneGpu));
  advance(20);
  submit(make_spec("too_much", "a", 5, kOneGpu));
  advance(40);
  EXPECT_EQ(stop_commands_["borrower"], 0u);
}

TEST_F(FairShareScheduling, DoesNotPreemptForCachedImageWhileAnotherMachineHasRoom) {
  type_.fetch_gb_per_s = 1;
  scheduler_->set_machine_types({type_});
  ServiceLevelObjective objective;
  objective.kind = "wait";
  objective.job_class = "replicas";
  objective.within_s = 5;
  settings_.objectives = {objective};
  add_machine("i-1");
  JobSpec borrower = make_spec("borrower", "b", 4, kOneGpu);
  borrower.image = "model";
  borrower.image_gb = 10;
  submit(borrower);
  advance(20);
  add_machine("i-2");
  advance(5);
  JobSpec replica = make_spec("guaranteed", "a", 1, kOneGpu);
  replica.kind = JobKind::Service;
  replica.job_class = "replicas";
  replica.image = "model";
  replica.image_gb = 10;
  submit(replica);
  advance(20);
  EXPECT_EQ(running("guaranteed"), 1u);
  EXPECT_EQ(stop_commands_["borrower"], 0u);
}

}  // namespace
}  // namespace sumacquay
