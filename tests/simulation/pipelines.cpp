#include "simulation/pipelines.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace sumacquay::simulation {

namespace {
constexpr size_t kMostWidth = 3;
constexpr uint64_t kMostStageTasks = 2;
constexpr double kLastWaitsShare = 0.3;
constexpr double kCancelledShare = 0.5;
constexpr Seconds kLatestCancellation = 30;
/// Probability that a stage of a pipeline is queried in a step.
constexpr double kQuestionsPerStep = 0.005;
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

size_t Pipelines::begin(PipelinePlan plan) {
  Pipeline pipeline;
  pipeline.stages.resize(plan.shape.size());
  pipeline.plan = std::move(plan);
  pipelines_.push_back(std::move(pipeline));
  return pipelines_.size() - 1;
}

size_t Pipelines::begin_any() {
  return begin(any_plan());
}

PipelinePlan Pipelines::any_plan() {
  Random& random = env_.random;
  PipelinePlan plan;
  const size_t width = 1 + random.below(kMostWidth);
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
  plan.last_when_others_are_over = random.chance(kLastWaitsShare);
  if (!random.chance(kCancelledShare)) return plan;
  StageCancellation cancellation;
  cancellation.stage = random.below(plan.shape.size() - 1);
  if (random.chance(0.5)) cancellation.when = StageCancellation::When::AsItsLastTaskEnds;
  cancellation.after_acceptance = random.between(0, kLatestCancellation);
  cancellation.through_two_controllers = random.chance(0.5);
  plan.cancellation = cancellation;
  return plan;
}

JobSpec Pipelines::any_stage_spec() {
  JobSpec spec = users_.any_spec();
  if (spec.kind == JobKind::Service) spec.kind = JobKind::Array;
  spec.spread = false;
  spec.tasks = 1 + static_cast<uint32_t>(env_.random.below(kMostStageTasks));
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
    if (!state.job && due(pipeline, stage)) submit(pipeline, stage);
  }
  cancel_if_due(pipeline);
  ask_after_cancellation(pipeline);
  ask_now_and_then(pipeline);
}

bool Pipelines::due(const Pipeline& pipeline, size_t stage) const {
  const auto& stages = pipeline.stages;
  const bool last = stage + 1 == stages.size();
  if (last && pipeline.plan.last_when_others_are_over)
    return std::all_of(stages.begin(), stages.end() - 1,
                       [this](const Stage& other) { return over(other); });
  const auto& dependencies = pipeline.plan.shape[stage];
  return std::all_of(dependencies.begin(), dependencies.end(),
                     [&](size_t other) { return stages[other].accepted_at.has_value(); });
}

void Pipelines::submit(Pipeline& pipeline, size_t stage) {
  JobSpec spec = pipeline.plan.stage_spec ? pipeline.plan.stage_spec() : any_stage_spec();
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
  if (cancellation.when == StageCancellation::When::AsItsLastTaskEnds)
    return observed(stage)->complete();
  return env_.now() >= *stage.accepted_at + cancellation.after_acceptance;
}

void Pipelines::ask_after_cancellation(Pipeline& pipeline) {
  if (!pipeline.cancelled || pipeline.asked_after_cancellation) return;
  if (!observed(pipeline.stages[pipeline.plan.cancellation->stage])->cancelled_at) return;
  pipeline.asked_after_cancellation = true;
  for (const auto& stage : pipeline.stages) {
    if (!stage.accepted_at || !cancelled_before(env_.jobs, *stage.job)) continue;
    for (size_t controller = 0; controller < env_.controllers.size(); ++controller)
      users_.ask_state(*stage.job, controller);
  }
}

void Pipelines::ask_now_and_then(const Pipeline& pipeline) {
  if (!env_.random.chance(kQuestionsPerStep)) return;
  const Stage& stage = pipeline.stages[env_.random.below(pipeline.stages.size())];
  if (stage.accepted_at) users_.ask_state(*stage.job);
}

// ---------------------------------------------------------------- outcomes

const ObservedJob* Pipelines::observed(const Stage& stage) const {
  return stage.job ? &env_.jobs.at(*stage.job) : nullptr;
}

bool Pipelines::over(const Stage& stage) const {
  const ObservedJob* job = observed(stage);
  if (!job || !stage.accepted_at) return false;
  return job->complete() || job->cancelled_at || cancelled_before(env_.jobs, *stage.job);
}

std::optional<std::string> Pipelines::job(size_t pipeline, size_t stage) const {
  return pipelines_.at(pipeline).stages.at(stage).job;
}

bool Pipelines::stage_complete(size_t pipeline, size_t stage) const {
  const ObservedJob* job = observed(pipelines_.at(pipeline).stages.at(stage));
  return job && job->complete();
}

size_t Pipelines::done() const {
  return static_cast<size_t>(
      std::count_if(pipelines_.begin(), pipelines_.end(), [this](const Pipeline& pipeline) {
        return std::all_of(pipeline.stages.begin(), pipeline.stages.end(), [this](const Stage& s) {
          const ObservedJob* job = observed(s);
          return job && job->complete() && !job->cancelled_at;
        });
      }));
}

size_t Pipelines::cancelled_in_the_middle() const {
  const auto inherits = [this](const Stage& stage) {
    return stage.job && cancelled_before(env_.jobs, *stage.job).has_value();
  };
  const auto is_done = [this](const Stage& stage) {
    const ObservedJob* job = observed(stage);
    return job && job->complete();
  };
  return static_cast<size_t>(
      std::count_if(pipelines_.begin(), pipelines_.end(), [&](const Pipeline& pipeline) {
        const auto& stages = pipeline.stages;
        return std::any_of(stages.begin(), stages.end(), inherits) &&
               std::any_of(stages.begin(), stages.end(), is_done);
      }));
}

size_t Pipelines::stages_not_accepted() const {
  size_t count = 0;
  for (const auto& pipeline : pipelines_)
    for (const auto& stage : pipeline.stages) count += !stage.accepted_at;
  return count;
}

}  // namespace sumacquay::simulation
