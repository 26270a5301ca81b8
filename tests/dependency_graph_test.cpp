#include "jobs/dependency_graph.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "generators.h"

// Readiness and cancellation of dependent jobs, also in comparison with a model that scans all jobs
// for every query.
namespace sumacquay {
namespace {

using sumacquay::testing::check_property;

JobRecord pending_record(const std::string& id, std::vector<std::string> dependencies = {}) {
  JobRecord record;
  record.spec.id = id;
  record.spec.dependencies = std::move(dependencies);
  return record;
}

JobRecord ended_record(const std::string& id, JobState state, uint64_t ended_ms = 0) {
  JobRecord record = pending_record(id);
  record.state = state;
  record.ended_ms = ended_ms;
  return record;
}

TEST(DependencyGraph, JobIsReadyOnceAllDependenciesAreDone) {
  DependencyGraph graph;
  graph.update(pending_record("job-1"));
  graph.update(pending_record("job-2"));
  graph.update(pending_record("job-3", {"job-1", "job-2"}));
  EXPECT_TRUE(graph.ready("job-1"));
  EXPECT_FALSE(graph.ready("job-3"));
  graph.update(ended_record("job-2", JobState::Done, 70));
  EXPECT_FALSE(graph.ready("job-3"));
  graph.set_finished("job-1", JobState::Done, 50);
  EXPECT_TRUE(graph.ready("job-3"));
  EXPECT_EQ(graph.ready_ms("job-3"), 70u) << "the time at which the last dependency ended";
}

TEST(DependencyGraph, CancellationPropagatesToAllDependents) {
  DependencyGraph graph;
  graph.update(pending_record("job-1"));
  graph.update(pending_record("job-2", {"job-1"}));
  graph.update(pending_record("job-3", {"job-2"}));
  graph.update(pending_record("job-4"));
  graph.update(ended_record("job-1", JobState::Cancelled));
  EXPECT_TRUE(graph.cancelled("job-2"));
  EXPECT_TRUE(graph.cancelled("job-3"));
  EXPECT_FALSE(graph.cancelled("job-4"));
  graph.update(pending_record("job-5", {"job-4", "job-3"}));
  EXPECT_TRUE(graph.cancelled("job-5"))
      << "it depends on job-3, which is cancelled through its own dependency";
  EXPECT_FALSE(graph.ready("job-5"));
}

TEST(DependencyGraph, ForgottenDependencyIsUnknownUntilItsEndIsEntered) {
  DependencyGraph graph;
  graph.update(pending_record("job-1"));
  graph.update(pending_record("job-2", {"job-1"}));
  graph.update(pending_record("job-3", {"job-2"}));
  graph.on_live_record_deleted("job-1");
  EXPECT_EQ(graph.unknown_jobs(), std::set<std::string>{"job-1"});
  EXPECT_FALSE(graph.ready("job-2"));
  EXPECT_FALSE(graph.cancellation_is_conclusive("job-3"))
      << "job-1, on which it depends through job-2, may be cancelled";
  graph.set_finished("job-1", JobState::Done, 5);
  EXPECT_TRUE(graph.cancellation_is_conclusive("job-3"));
  EXPECT_TRUE(graph.ready("job-2"));
}

/// A stale record must not reopen a job that has ended.
TEST(DependencyGraph, FinalStateIsNotOverwritten) {
  DependencyGraph graph;
  graph.update(pending_record("job-1"));
  graph.update(pending_record("job-2", {"job-1"}));
  graph.update(ended_record("job-1", JobState::Cancelled));
  graph.update(pending_record("job-1"));
  graph.set_finished("job-1", JobState::Done, 5);
  EXPECT_FALSE(graph.ready("job-2"));
  EXPECT_TRUE(graph.cancelled("job-2"));
}

/// A record that is written after the job became ready no longer lists its dependencies.
TEST(DependencyGraph, LaterRecordMayOmitDependencies) {
  DependencyGraph graph;
  graph.update(pending_record("job-1"));
  graph.update(pending_record("job-2", {"job-1"}));
  graph.update(pending_record("job-2"));
  EXPECT_FALSE(graph.ready("job-2"));
  graph.set_finished("job-1", JobState::Done, 5);
  graph.update(pending_record("job-2"));
  EXPECT_TRUE(graph.ready("job-2"));
}

TEST(DependencyGraph, DropsEndedJobs) {
  DependencyGraph graph;
  for (int i = 0; i < 100; ++i) {
    const std::string first = "job-" + std::to_string(2 * i);
    const std::string second = "job-" + std::to_string(2 * i + 1);
    graph.update(pending_record(first));
    graph.update(pending_record(second, {first}));
    graph.set_finished(first, JobState::Done, 1);
    graph.on_live_record_deleted(first);
    graph.set_finished(second, i % 2 == 0 ? JobState::Done : JobState::Cancelled, 1);
    graph.on_live_record_deleted(second);
  }
  EXPECT_EQ(graph.size(), 0u);
}

/// Guards against recursive and quadratic traversals: on these graphs they would overflow the stack
/// or not finish.
TEST(DependencyGraph, HandlesLongChainsAndWideFans) {
  constexpr int kJobs = 100000;
  DependencyGraph chain;
  DependencyGraph fan;
  chain.update(pending_record("job-0"));
  fan.update(pending_record("job-0"));
  for (int i = 1; i < kJobs; ++i) {
    const std::string id = "job-" + std::to_string(i);
    chain.update(pending_record(id, {"job-" + std::to_string(i - 1)}));
    fan.update(pending_record(id, {"job-0"}));
  }
  const std::string last = "job-" + std::to_string(kJobs - 1);
  chain.update(ended_record("job-0", JobState::Cancelled));
  fan.update(ended_record("job-0", JobState::Done));
  EXPECT_TRUE(chain.cancelled(last));
  EXPECT_TRUE(fan.ready(last));
  for (int i = 0; i < kJobs; ++i) {
    chain.on_live_record_deleted("job-" + std::to_string(i));
    fan.on_live_record_deleted("job-" + std::to_string(i));
  }
  EXPECT_EQ(chain.size(), 0u);
  EXPECT_EQ(fan.size(), 0u);
}

/// Reference model: the jobs and their known states, scanned in full for every query.
class ReferenceModel {
 public:
  enum class State { Unknown, Pending, Done, Cancelled };
  struct Job {
    std::vector<size_t> dependencies;
    State state = State::Unknown;
  };
  explicit ReferenceModel(size_t jobs) : jobs_(jobs) {}
  Job& job(size_t index) { return jobs_[index]; }
  size_t size() const { return jobs_.size(); }

  bool ready(size_t index) const {
    const auto& dependencies = jobs_[index].dependencies;
    return std::all_of(dependencies.begin(), dependencies.end(),
                       [this](size_t d) { return jobs_[d].state == State::Done; });
  }
  bool cancelled(size_t index) const {
    if (jobs_[index].state == State::Cancelled) return true;
    if (jobs_[index].state == State::Unknown) return false;  // its dependencies are unknown too
    const auto& dependencies = jobs_[index].dependencies;
    return std::any_of(dependencies.begin(), dependencies.end(),
                       [this](size_t d) { return cancelled(d); });
  }
  bool certain(size_t index) const {
    if (cancelled(index)) return true;
    if (jobs_[index].state == State::Unknown) return false;
    if (jobs_[index].state == State::Done) return true;
    const auto& dependencies = jobs_[index].dependencies;
    return std::all_of(dependencies.begin(), dependencies.end(),
                       [this](size_t d) { return certain(d); });
  }

 private:
  std::vector<Job> jobs_;
};

std::string job_id(size_t index) {
  return "job-" + std::to_string(index);
}

/// Draws one event of a job and applies it to both the graph and the model. Jobs become live in any
/// order, are updated again while they are pending, end, and are removed from the graph once
/// they are cancelled. The known ends of a job's dependencies are entered again with each of its
/// updates.
void draw_event(DependencyGraph& graph, ReferenceModel& model) {
  const auto index = *rc::gen::inRange<size_t>(0, model.size());
  ReferenceModel::Job& job = model.job(index);
  const bool has_ended =
      job.state == ReferenceModel::State::Done || job.state == ReferenceModel::State::Cancelled;
  const int event = *rc::gen::inRange(0, 4);
  if (has_ended) return;
  if (job.state == ReferenceModel::State::Unknown || event == 0) {
    std::vector<std::string> dependencies;
    for (size_t d : job.dependencies) dependencies.push_back(job_id(d));
    graph.update(pending_record(job_id(index), dependencies));
    for (size_t d : job.dependencies) {
      const auto state = model.job(d).state;
      if (state == ReferenceModel::State::Done) graph.set_finished(job_id(d), JobState::Done, d);
      if (state == ReferenceModel::State::Cancelled)
        graph.set_finished(job_id(d), JobState::Cancelled, 0);
    }
    job.state = ReferenceModel::State::Pending;
  } else if (event == 1 && model.ready(index)) {
    job.state = ReferenceModel::State::Done;
    graph.update(ended_record(job_id(index), JobState::Done, index));
  } else if (event == 2) {
    job.state = ReferenceModel::State::Cancelled;
    graph.set_finished(job_id(index), JobState::Cancelled, 0);
    graph.on_live_record_deleted(job_id(index));
  }
}

TEST(DependencyGraph, AgreesWithReferenceModel) {
  EXPECT_TRUE(check_property(
      "graph and model agree",
      [] {
        const auto jobs = *rc::gen::inRange<size_t>(1, 12);
        ReferenceModel model(jobs);
        for (size_t i = 0; i < jobs; ++i)
          for (size_t d = 0; d < i; ++d)
            if (*rc::gen::inRange(0, 3) == 0) model.job(i).dependencies.push_back(d);
        DependencyGraph graph;
        for (int step = 0; step < 60; ++step) {
          draw_event(graph, model);
          for (size_t i = 0; i < jobs; ++i) {
            if (model.job(i).state != ReferenceModel::State::Pending) continue;
            RC_ASSERT(graph.ready(job_id(i)) == model.ready(i));
            RC_ASSERT(graph.cancelled(job_id(i)) == model.cancelled(i));
            RC_ASSERT(graph.cancellation_is_conclusive(job_id(i)) == model.certain(i));
          }
        }
      },
      300));
}

}  // namespace
}  // namespace sumacquay
