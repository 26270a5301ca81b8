#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "simulation/environment.h"
#include "simulation/users.h"

namespace sumacquay::simulation {

/// For each stage of a pipeline, the numbers of the stages that it depends on: lower ones.
using PipelineShape = std::vector<std::vector<size_t>>;
/// Each stage after the one before it.
PipelineShape chain(size_t length);
/// One stage, several after it, one after all of these.
PipelineShape diamond(size_t width);
/// Several stages, and one after all of them.
PipelineShape fan(size_t width);

/// That a user cancels a stage.
struct StageCancellation {
  enum class When { LaterOn, AsItsLastTaskEnds };
  size_t stage = 0;
  When when = When::LaterOn;
  Seconds after_acceptance = 0;          ///< if it is later on
  bool through_two_controllers = false;  ///< at once
};

struct PipelinePlan {
  PipelineShape shape;
  /// What each stage is like; none: drawn at random.
  std::function<JobSpec()> stage_spec;
  /// The last stage is submitted once the others are over, not once they are accepted.
  bool last_when_others_are_over = false;
  std::optional<StageCancellation> cancellation;
};

/// Users who submit pipelines, each stage as soon as those that it depends on are accepted, and who
/// cancel some in the middle. Whoever cancels a stage asks every controller for the stages after
/// it.
class Pipelines {
 public:
  Pipelines(Environment& environment, Users& users) : env_(environment), users_(users) {}

  /// Returns the pipeline's number.
  size_t begin(PipelinePlan plan);
  /// Begins one with everything drawn at random.
  size_t begin_any();
  /// Called at each step: what is due is submitted, cancelled and asked.
  void step();

  /// The stage's job, none: it is not submitted yet.
  std::optional<std::string> job(size_t pipeline, size_t stage) const;
  /// Whether all tasks of the stage are done.
  bool stage_complete(size_t pipeline, size_t stage) const;

  size_t begun() const { return pipelines_.size(); }
  /// Pipelines all of whose stages are done.
  size_t done() const;
  /// Pipelines of which a stage is done and another was cancelled by a stage before it.
  size_t cancelled_in_the_middle() const;
  /// Stages that were never submitted, or never accepted.
  size_t stages_not_accepted() const;

 private:
  struct Stage {
    std::optional<std::string> job;
    std::optional<Seconds> accepted_at;
  };
  struct Pipeline {
    PipelinePlan plan;
    std::vector<Stage> stages;
    bool cancelled = false;  ///< the planned cancellation has been asked for
    bool asked_after_cancellation = false;
  };

  PipelinePlan any_plan();
  JobSpec any_stage_spec();
  void step(Pipeline& pipeline);
  bool due(const Pipeline& pipeline, size_t stage) const;
  void submit(Pipeline& pipeline, size_t stage);
  void cancel_if_due(Pipeline& pipeline);
  bool cancellation_due(const Pipeline& pipeline) const;
  void ask_after_cancellation(Pipeline& pipeline);
  void ask_now_and_then(const Pipeline& pipeline);
  const ObservedJob* observed(const Stage& stage) const;
  bool over(const Stage& stage) const;

  Environment& env_;
  Users& users_;
  std::vector<Pipeline> pipelines_;
};

}  // namespace sumacquay::simulation
