#include "simulation/pipelines.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace sumacquay::simulation {

namespace {
constexpr size_t kMaxWidth = 3;
constexpr uint64_t kMaxStageTasks = 2;
constexpr double kLastStageWaitsProbability = 0.3;
constexpr double kCancellationProbability = 0.5;
constexpr Seconds kMaxCancellationDelay = 30;
/// Probability that a stage of a pipeline is queried in a step.
constexpr double kQueryProbability = 0.005;
}  // namespace

PipelineShape chain(size_t length) {
  PipelineShape shape(length);
  for (size_t stage = 1; stage < length; ++stage) shape[stage] = {stage - 1};
  return shape;
}

PipelineShape fan(size_t width) {
  PipelineShape shape(width + 1);
  shape[width].resize(width);
  std::iota(shape[width].begin(), shape[width].end(), size_t{0});
  return shape;
}

PipelineShape diamond(size_t width) {
  PipelineShape shape(width + 2);
  for (size_t stage = 1; stage <= width; ++stage) {
    shape[stage] = {0};
    shape[width + 1].push_back(stage);
  }
  return shape;
}

// ---------------------------------------------------------------- plans

size_t Pipelines::submit_pipeline(PipelinePlan plan) {
  Pipeline pipeline;
  pipeline.stages.resize(plan.shape.size());
  pipeline.plan = std::move(plan);
  pipelines_.push_back(std::move(pipeline));
  return pipelines_.size() - 1;
}

size_t Pipelines::submit_random_pipeline() {
  return submit_pipeline(random_plan());
}

PipelinePlan Pipelines::random_plan() {
  Random& random = env_.random;
  PipelinePlan plan;
  const size_t width = 1 + random.below(kMaxWidth);
  switch (random.below(3)) {
    case 0:
      plan.shape = chain(width + 1);
      break;
    case 1:
      plan.shape = diamond(width);
      break;
    default:
      plan.shape = fan(width);
  }
  plan.submit_last_after_others_end = random.chance(kLastStageWaitsProbability);
  if (!random.chance(kCancellationProbability)) return plan;
  StageCancellation cancellation;
  cancellation.stage = random.below(plan.shape.size() - 1);
  if (random.chance(0.5)) cancellation.when = StageCancellation::When::WhenTasksDone;
  cancellation.delay_after_acceptance = random.between(0, kMaxCancellationDelay);
  cancellation.through_two_controllers = random.chance(0.5);
  plan.cancellation = cancellation;
  return plan;
}

JobSpec Pipelines::random_stage_spec() {
  JobSpec spec = users_.random_spec();
  if (spec.kind == JobKind::Service) spec.kind = JobKind::Array;
  spec.spread = false;
  spec.tasks = 1 + static_cast<uint32_t>(env_.random.below(kMaxStageTasks));
  return spec;
}

// ---------------------------------------------------------------- steps

void Pipelines::step() {
  for (auto& pipeline : pipelines_) step(pipeline);
}

void Pipelines::step(Pipeline& pipeline) {
  for (size_t stage = 0; stage < pipeline.stages.size(); ++stage) {
    Stage& state = pipeline.stages[stage];
    const ObservedJob* job = observed(state);
    if (job && job->accepted && !state.accepted_at) state.accepted_at = env_.now();
    if (!state.job && submission_due(pipeline, stage)) submit(pipeline, stage);
  }
  cancel_if_due(pipeline);
  query_after_cancellation(pipeline);
  query_at_random(pipeline);
}

bool Pipelines::submission_due(const Pipeline& pipeline, size_t stage) const {
  const auto& stages = pipeline.stages;
  const bool last = stage + 1 == stages.size();
  if (last && pipeline.plan.submit_last_after_others_end)
    return std::all_of(stages.begin(), stages.end() - 1,
                       [this](const Stage& other) { return has_ended(other); });
  const auto& dependencies = pipeline.plan.shape[stage];
  return std::all_of(dependencies.begin(), dependencies.end(),
                     [&](size_t other) { return stages[other].accepted_at.has_value(); });
}

void Pipelines::submit(Pipeline& pipeline, size_t stage) {
  JobSpec spec = pipeline.plan.stage_spec ? pipeline.plan.stage_spec() : random_stage_spec();
  for (const size_t other : pipeline.plan.shape[stage])
    spec.dependencies.push_back(*pipeline.stages[other].job);
  pipeline.stages[stage].job = users_.submit(spec);
}

void Pipelines::cancel_if_due(Pipeline& pipeline) {
  if (pipeline.cancelled || !cancellation_due(pipeline)) return;
  pipeline.cancelled = true;
  const StageCancellation& cancellation = *pipeline.plan.cancellation;
  const std::string& id = *pipeline.stages[cancellation.stage].job;
  const size_t first = env_.random.below(env_.controllers.size());
  users_.cancel(id, first);
  if (cancellation.through_two_controllers)
    users_.cancel(id, (first + 1) % env_.controllers.size());
}

bool Pipelines::cancellation_due(const Pipeline& pipeline) const {
  if (!pipeline.plan.cancellation) return false;
  const StageCancellation& cancellation = *pipeline.plan.cancellation;
  const Stage& stage = pipeline.stages[cancellation.stage];
  if (!stage.accepted_at) return false;
  if (cancellation.when == StageCancellation::When::WhenTasksDone)
    return observed(stage)->complete();
  return env_.now() >= *stage.accepted_at + cancellation.delay_after_acceptance;
}

void Pipelines::query_after_cancellation(Pipeline& pipeline) {
  if (!pipeline.cancelled || pipeline.queried_after_cancellation) return;
  if (!observed(pipeline.stages[pipeline.plan.cancellation->stage])->cancelled_at) return;
  pipeline.queried_after_cancellation = true;
  for (const auto& stage : pipeline.stages) {
    if (!stage.accepted_at || !dependency_cancelled_at(env_.jobs, *stage.job)) continue;
    for (size_t controller = 0; controller < env_.controllers.size(); ++controller)
      users_.query_state(*stage.job, controller);
  }
}

void Pipelines::query_at_random(const Pipeline& pipeline) {
  if (!env_.random.chance(kQueryProbability)) return;
  const Stage& stage = pipeline.stages[env_.random.below(pipeline.stages.size())];
  if (stage.accepted_at) users_.query_state(*stage.job);
}

// ---------------------------------------------------------------- outcomes

const ObservedJob* Pipelines::observed(const Stage& stage) const {
  return stage.job ? &env_.jobs.at(*stage.job) : nullptr;
}

bool Pipelines::has_ended(const Stage& stage) const {
  const ObservedJob* job = observed(stage);
  if (!job || !stage.accepted_at) return false;
  return job->complete() || job->cancelled_at || dependency_cancelled_at(env_.jobs, *stage.job);
}

std::optional<std::string> Pipelines::job(size_t pipeline, size_t stage) const {
  return pipelines_.at(pipeline).stages.at(stage).job;
}

bool Pipelines::stage_complete(size_t pipeline, size_t stage) const {
  const ObservedJob* job = observed(pipelines_.at(pipeline).stages.at(stage));
  return job && job->complete();
}

size_t Pipelines::completed() const {
  return static_cast<size_t>(
      std::count_if(pipelines_.begin(), pipelines_.end(), [this](const Pipeline& pipeline) {
        return std::all_of(pipeline.stages.begin(), pipeline.stages.end(), [this](const Stage& s) {
          const ObservedJob* job = observed(s);
          return job && job->complete() && !job->cancelled_at;
        });
      }));
}

size_t Pipelines::partially_cancelled() const {
  const auto cancelled_through_dependency = [this](const Stage& stage) {
    return stage.job && dependency_cancelled_at(env_.jobs, *stage.job).has_value();
  };
  const auto is_done = [this](const Stage& stage) {
    const ObservedJob* job = observed(stage);
    return job && job->complete();
  };
  return static_cast<size_t>(
      std::count_if(pipelines_.begin(), pipelines_.end(), [&](const Pipeline& pipeline) {
        const auto& stages = pipeline.stages;
        return std::any_of(stages.begin(), stages.end(), cancelled_through_dependency) &&
               std::any_of(stages.begin(), stages.end(), is_done);
      }));
}

size_t Pipelines::unaccepted_stages() const {
  size_t count = 0;
  for (const auto& pipeline : pipelines_)
    for (const auto& stage : pipeline.stages) count += !stage.accepted_at;
  return count;
}

}  // namespace sumacquay::simulation
