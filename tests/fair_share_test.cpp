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

using testing::holds;

TeamSettings team(const std::string& name, double cpus, double gpus) {
  TeamSettings t;
  t.name = name;
  t.cpus = cpus;
  t.gpus = gpus;
  return t;
}

JobSpec spec(const std::string& id, const std::string& team, uint32_t tasks, Resources request,
             Priority priority = Priority::Normal) {
  JobSpec s;
  s.id = id;
  s.team = team;
  s.tasks = tasks;
  s.request = request;
  s.priority = priority;
  return s;
}

constexpr Resources kOneGpu{2, 1, 4};

TEST(Guarantees, AJobIsWithinIfItFitsTogetherWithTheTeamsEarlierOnes) {
  const std::vector<TeamSettings> teams{team("a", 0, 4), team("b", 0, 1)};
  const JobSpec first = spec("job-9", "a", 2, kOneGpu);
  const JobSpec second = spec("job-5", "a", 2, kOneGpu);
  const JobSpec third = spec("job-1", "a", 1, kOneGpu);
  const JobSpec other = spec("job-2", "b", 1, kOneGpu);
  EXPECT_EQ(within_fair_share(
                teams, {{&third, 1, 30}, {&second, 2, 20}, {&other, 1, 40}, {&first, 2, 10}}),
            (JobIds{"job-9", "job-5", "job-2"}));
  EXPECT_EQ(within_fair_share(teams, {{&third, 1, 30}, {&second, 2, 20}, {&first, 1, 10}}),
            (JobIds{"job-9", "job-5", "job-1"}))
      << "a task that has ended takes nothing";
  const JobSpec large = spec("job-3", "a", 5, kOneGpu);
  EXPECT_EQ(within_fair_share(teams, {{&large, 5, 1}, {&first, 2, 10}}), JobIds{})
      << "what doesn't fit itself counts for those after it";
}

TEST(Guarantees, WhatIsNotGuaranteedCoversNothing) {
  const std::vector<TeamSettings> teams{team("none", 0, 0), team("gpus", 0, 4), team("cpus", 9, 0),
                                        team("both", 9, 4)};
  const JobSpec guest = spec("guest", "none", 1, kOneGpu);
  const JobSpec with_gpu = spec("with_gpu", "gpus", 1, kOneGpu);
  const JobSpec without_gpu = spec("without_gpu", "gpus", 1, {2, 0, 4});
  const JobSpec cpus_alone = spec("cpus_alone", "cpus", 1, {2, 0, 4});
  const JobSpec gpu_of_others = spec("gpu_of_others", "cpus", 1, kOneGpu);
  const JobSpec wide = spec("wide", "both", 1, {10, 1, 4});
  EXPECT_EQ(within_fair_share(teams, {{&guest, 1, 1},
                                      {&with_gpu, 1, 2},
                                      {&without_gpu, 1, 3},
                                      {&cpus_alone, 1, 4},
                                      {&gpu_of_others, 1, 5},
                                      {&wide, 1, 6}}),
            (JobIds{"with_gpu", "cpus_alone"}));
}

TEST(Guarantees, ATeamSparesOnlyWhatItRunsBeyondItsGuarantee) {
  const std::vector<TeamSettings> teams{team("a", 0, 4), team("guest", 0, 0)};
  RunningResources running(teams);
  running.add("a", {100, 6, 0});
  running.add("guest", {10, 1, 0});
  EXPECT_TRUE(running.keeps_fair_share_without("a", {50, 2, 0}));
  EXPECT_FALSE(running.keeps_fair_share_without("a", {1, 3, 0}));
  EXPECT_TRUE(running.keeps_fair_share_without("guest", {10, 1, 0}));
  EXPECT_FALSE(running.keeps_fair_share_without("unknown", {}));
  running.remove("a", {2, 1, 0});
  EXPECT_FALSE(running.keeps_fair_share_without("a", {50, 2, 0}))
      << "what is being stopped already counts";
}

/// Two teams, one full machine of 8 GPUs.
struct GivesWay : ::testing::Test {
  std::vector<TeamSettings> teams{team("gains", 0, 8), team("loses", 0, 2)};
  RunningResources running{teams};
  JobSpec job = spec("job", "gains", 1, {1, 1, 1});
  PlacementRequest placement_request;
  std::vector<CandidateMachine> candidates{1};
  std::vector<Victim> victims;

  GivesWay() {
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
    Victim v;
    v.job = "other";
    v.team = "loses";
    v.priority = Priority::Normal;
    v.request = v.stops = {gpus, gpus, gpus};
    v.loss_s = loss_s;
    v.beyond_fair_share = true;
    victims.push_back(v);
    return victims.back();
  }
  std::optional<Preemption> found() const {
    return preempt(placement_request, candidates, victims, running);
  }
};

TEST_F(GivesWay, WorkBeyondAGuaranteeToAnotherTeamsGuarantee) {
  ASSERT_TRUE(found().has_value());
  EXPECT_EQ(found()->victims, std::vector<size_t>{0});
}
TEST_F(GivesWay, NotToAJobBeyondItsOwnGuarantee) {
  placement_request.within_fair_share = false;
  EXPECT_FALSE(found().has_value());
}
TEST_F(GivesWay, NotIfItIsWithinItsGuarantee) {
  victims[0].beyond_fair_share = false;
  EXPECT_FALSE(found().has_value());
}
TEST_F(GivesWay, NotToItsOwnTeam) {
  victims[0].team = "gains";
  running.add("gains", {20, 20, 20});
  EXPECT_FALSE(found().has_value());
}
TEST_F(GivesWay, NotIfItWouldPreemptItsWayBack) {
  victims[0].priority = Priority::High;
  EXPECT_FALSE(found().has_value());
}
TEST_F(GivesWay, NotIfItsTeamWouldFallBelowItsGuarantee) {
  running.remove("loses", {6, 6, 6});
  EXPECT_FALSE(found().has_value());
}
TEST_F(GivesWay, NotIfSeveralTogetherWouldTakeItsTeamBelow) {
  job.request = {2, 2, 2};
  add_victim(1, 6);
  ASSERT_EQ(found()->victims.size(), 2u);
  running.remove("loses", {5, 5, 5});  // 3 are left, the fair share is 2
  EXPECT_FALSE(found().has_value());
}
TEST_F(GivesWay, NotAGangWhoseOtherTasksAreWithin) {
  victims[0].gang = true;
  victims[0].stops = {7, 7, 7};
  EXPECT_FALSE(found().has_value());
  victims[0].stops = {6, 6, 6};
  EXPECT_TRUE(found().has_value());
}
TEST_F(GivesWay, NotWhileEnoughIsStoppingAlready) {
  candidates[0].releasing = {1, 1, 1};
  ASSERT_TRUE(found().has_value());
  EXPECT_TRUE(found()->already_releasing);
}
TEST_F(GivesWay, WhatLosesLeast) {
  add_victim(1, 2);
  EXPECT_EQ(found()->victims, std::vector<size_t>{1});
}
TEST_F(GivesWay, NothingMoreThanIsNeeded) {
  job.request = {4, 4, 4};
  add_victim(4, 50);
  EXPECT_EQ(found()->victims, std::vector<size_t>{1})
      << "with the large one the small one is spared";
}

TEST(Guarantees, NoChainOfPreemptionsComesBackToWhereItBegan) {
  EXPECT_TRUE(holds("preemption has no cycles", [] {
    const std::vector<TeamSettings> teams{team("a", 0, *rc::gen::inRange(0, 6)),
                                          team("b", 0, *rc::gen::inRange(0, 6)),
                                          team("c", 0, *rc::gen::inRange(0, 6))};
    std::vector<JobSpec> jobs;
    for (int i = *rc::gen::inRange(2, 9); i > 0; --i)
      jobs.push_back(spec("job-" + std::to_string(i), *rc::gen::element<std::string>("a", "b", "c"),
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
    std::vector<std::vector<bool>> stops(jobs.size(), std::vector<bool>(jobs.size()));
    for (size_t i = 0; i < jobs.size(); ++i)
      for (size_t j = 0; j < jobs.size(); ++j) {
        PlacementRequest placement_request;
        placement_request.spec = &jobs[i];
        placement_request.tasks = {0};
        placement_request.within_fair_share = within.contains(jobs[i].id);
        Victim victim;
        victim.team = jobs[j].team;
        victim.request = victim.stops = kOneGpu;
        victim.priority = jobs[j].priority;
        victim.beyond_fair_share = !within.contains(jobs[j].id);
        stops[i][j] = preempt(placement_request, candidates, {victim}, running).has_value();
      }
    for (size_t k = 0; k < jobs.size(); ++k)
      for (size_t i = 0; i < jobs.size(); ++i)
        for (size_t j = 0; j < jobs.size(); ++j)
          if (stops[i][k] && stops[k][j]) stops[i][j] = true;
    for (size_t i = 0; i < jobs.size(); ++i) RC_ASSERT(!stops[i][i]);
  }));
}

/// A scheduler and machines that execute its commands. A stopped task exits after `kStopTakes`.
class TeamsAtWork : public ::testing::Test {
 protected:
  static constexpr Seconds kStep = 0.5;
  static constexpr Seconds kStopTakes = 3;

  TeamsAtWork() {
    settings_.heartbeat_period_s = 1;
    settings_.lease_s = 10;
    settings_.teams = {team("a", 0, 4), team("b", 0, 2)};
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

  void pass(Seconds time) {
    for (const Seconds end = now_ + time; now_ < end; now_ += kStep) {
      for (auto& [id, tasks] : machines_) {
        end_stopped(tasks);
        carry_out(tasks, scheduler_->on_heartbeat(heartbeat(id), true, now_).commands);
      }
      for (const auto& action : scheduler_->tick(now_)) {
        if (const auto* worker_commands = std::get_if<SendCommands>(&action)) {
          carry_out(machines_.at(worker_commands->machine), worker_commands->commands);
          fencing_token_[worker_commands->machine] = worker_commands->fencing_token;
          scheduler_->on_commands_answered(worker_commands->machine,
                                           heartbeat(worker_commands->machine), true, now_);
        }
        if (const auto* rent = std::get_if<ScaleOut>(&action))
          scheduler_->on_scale_out_answered(*rent, Scheduler::ScaleOutOutcome::Refused, {}, now_);
      }
      for (const auto& write : scheduler_->plan_writes(now_, 12))
        scheduler_->on_write_answered(write, true, ++revision_, now_);
    }
  }

  size_t running(const std::string& job) const {
    size_t n = 0;
    for (const auto& [id, tasks] : machines_)
      for (const auto& [key, task] : tasks)
        n += key.task.job == job && task.state == TaskState::Running;
    return n;
  }

  Settings settings_;
  MachineType type_;
  Seconds now_ = 1000;
  std::unique_ptr<Scheduler> scheduler_;
  std::map<std::string, size_t> stops_;  ///< tasks that were ordered to stop, by job

 private:
  struct Task {
    TaskState state = TaskState::Running;
    Seconds stops_at = 0;
  };
  using Tasks = std::map<TaskAttemptId, Task>;

  WorkerHeartbeat heartbeat(const std::string& id) {
    WorkerHeartbeat r;
    r.machine = id;
    r.addr = "a:1";
    r.type = "g";
    r.zone = "e";
    r.agent_epoch = 1;
    r.sequence_number = ++seq_;
    r.fencing_token = std::max(fencing_token_[id], uint64_t{1} << 20);
    for (const auto& [key, task] : machines_.at(id))
      r.tasks.push_back({key.task, key.attempt, task.state,
                         task.state == TaskState::Exited ? ExitCause::Stopped : ExitCause::None});
    return r;
  }

  void carry_out(Tasks& tasks, const std::vector<Command>& commands) {
    for (const auto& command : commands) {
      const TaskAttemptId key{command.key, command.attempt};
      if (command.verb == Verb::Start) tasks.try_emplace(key);
      if (command.verb == Verb::Forget) tasks.erase(key);
      const auto found = tasks.find(key);
      if (command.verb != Verb::Stop || found == tasks.end()) continue;
      if (found->second.state != TaskState::Running) continue;
      found->second = {TaskState::Checkpointing, now_ + kStopTakes};
      ++stops_[key.task.job];
    }
  }

  void end_stopped(Tasks& tasks) const {
    for (auto& [key, task] : tasks)
      if (task.state == TaskState::Checkpointing && now_ >= task.stops_at)
        task.state = TaskState::Exited;
  }

  std::map<std::string, Tasks> machines_;
  std::map<std::string, uint64_t> fencing_token_;
  uint64_t revision_ = 10, seq_ = 0;
};

TEST_F(TeamsAtWork, WhatIsBorrowedIsGivenBackOnceAndNoMoreOfItThanNeeded) {
  add_machine("i-1");
  add_machine("i-2");
  submit(spec("borrower", "b", 8, kOneGpu));
  pass(20);
  ASSERT_EQ(running("borrower"), 8u);
  submit(spec("guaranteed", "a", 3, kOneGpu));
  pass(15);
  EXPECT_EQ(running("guaranteed"), 3u);
  EXPECT_EQ(stops_["borrower"], 3u);
  pass(60);
  EXPECT_EQ(running("guaranteed"), 3u) << "what gave way is not back in its place";
  EXPECT_EQ(running("borrower"), 5u);
  EXPECT_EQ(stops_["borrower"], 3u);
  EXPECT_EQ(stops_["guaranteed"], 0u);
}

TEST_F(TeamsAtWork, TheOlderJobThatGaveWayDoesNotTakeItsPlaceBackWhenItComesFree) {
  add_machine("i-1");
  submit(spec("borrower", "b", 4, kOneGpu, Priority::Low));
  pass(20);
  submit(spec("guaranteed", "a", 1, kOneGpu, Priority::Low));
  pass(40);
  EXPECT_EQ(running("guaranteed"), 1u);
  EXPECT_EQ(stops_["borrower"], 1u);
}

TEST_F(TeamsAtWork, ATeamKeepsWhatItIsGuaranteed) {
  add_machine("i-1");
  submit(spec("borrower", "b", 4, kOneGpu));
  pass(20);
  submit(spec("guaranteed", "a", 4, kOneGpu));
  pass(40);
  EXPECT_EQ(running("borrower"), 2u);
  EXPECT_EQ(running("guaranteed"), 2u);
  EXPECT_EQ(stops_["borrower"], 2u);
}

TEST_F(TeamsAtWork, TwoJobsOfOneRoundDoNotBothTakeTheLastThatATeamCanSpare) {
  add_machine("i-1");
  submit(spec("borrower", "b", 3, kOneGpu));
  submit(spec("first", "a", 1, kOneGpu));
  pass(20);
  submit(spec("second", "a", 1, kOneGpu));
  submit(spec("third", "a", 1, kOneGpu));
  pass(40);
  EXPECT_EQ(running("borrower"), 2u);
  EXPECT_EQ(stops_["borrower"], 1u);
}

TEST_F(TeamsAtWork, AGangThatHoldsPartOfItsTeamsGuaranteeIsNotStopped) {
  add_machine("i-1");
  JobSpec gang = spec("gang", "b", 4, kOneGpu);
  gang.kind = JobKind::Gang;
  submit(gang);
  pass(20);
  ASSERT_EQ(running("gang"), 4u);
  submit(spec("guaranteed", "a", 1, kOneGpu));
  pass(40);
  EXPECT_EQ(running("gang"), 4u);
  EXPECT_EQ(stops_["gang"], 0u);
}

TEST_F(TeamsAtWork, TasksThatAreDoneTakeNothingOfAGuarantee) {
  add_machine("i-1");
  submit(spec("borrower", "b", 3, kOneGpu));
  submit(spec("nearly_done", "a", 4, kOneGpu), 3);
  pass(20);
  submit(spec("guaranteed", "a", 1, kOneGpu));
  pass(40);
  EXPECT_EQ(running("guaranteed"), 1u);
}

TEST_F(TeamsAtWork, WorkBeyondTheOwnGuaranteeStopsNobody) {
  add_machine("i-1");
  submit(spec("borrower", "b", 4, kOneGpu));
  pass(20);
  submit(spec("too_much", "a", 5, kOneGpu));
  pass(40);
  EXPECT_EQ(stops_["borrower"], 0u);
}

TEST_F(TeamsAtWork, NothingIsStoppedForAWarmMachineWhileAnotherHasRoom) {
  type_.fetch_gb_per_s = 1;
  scheduler_->set_machine_types({type_});
  ServiceLevelObjective soon;
  soon.kind = "wait";
  soon.job_class = "replicas";
  soon.within_s = 5;
  settings_.objectives = {soon};
  add_machine("i-1");
  JobSpec borrower = spec("borrower", "b", 4, kOneGpu);
  borrower.image = "model";
  borrower.image_gb = 10;
  submit(borrower);
  pass(20);
  add_machine("i-2");
  pass(5);
  JobSpec replica = spec("guaranteed", "a", 1, kOneGpu);
  replica.kind = JobKind::Service;
  replica.job_class = "replicas";
  replica.image = "model";
  replica.image_gb = 10;
  submit(replica);
  pass(20);
  EXPECT_EQ(running("guaranteed"), 1u);
  EXPECT_EQ(stops_["borrower"], 0u);
}

}  // namespace
}  // namespace sumacquay
