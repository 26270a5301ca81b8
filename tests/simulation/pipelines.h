#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "simulation/environment.h"
#include "simulation/users.h"

namespace sumacquay::simulation {

/// For each stage of a pipeline, the indices of the stages that it depends on, all lower than its
/// own.
using PipelineShape = std::vector<std::vector<size_t>>;
/// Each stage depends on the previous one.
PipelineShape chain(size_t length);
/// One stage, `width` stages that depend on it, and a last stage that depends on all of these.
PipelineShape diamond(size_t width);
/// `width` independent stages, and a last stage that depends on all of them.
PipelineShape fan(size_t width);

/// A user's cancellation of a stage.
struct StageCancellation {
  enum class When { AfterDelay, WhenTasksDone };
  size_t stage = 0;
  When when = When::AfterDelay;
  Seconds delay_after_acceptance = 0;    ///< delay for `AfterDelay`
  bool through_two_controllers = false;  ///< sent to both at the same time
};

struct PipelinePlan {
  PipelineShape shape;
  /// Creates the spec of each stage; null: specs are drawn at random.
  std::function<JobSpec()> stage_spec;
  /// The last stage is submitted once the others have ended, not once they are accepted.
  bool submit_last_after_others_end = false;
  std::optional<StageCancellation> cancellation;
};

/// Users who submit pipelines, each stage as soon as its dependencies are accepted, and who cancel
/// some of the stages. After a cancellation, every controller is queried for the stages that depend
/// on the cancelled one.
class Pipelines {
 public:
  Pipelines(Environment& environment, Users& users) : env_(environment), users_(users) {}

  /// Returns the pipeline's index.
  size_t submit_pipeline(PipelinePlan plan);
  /// Submits a pipeline with a random plan.
  size_t submit_random_pipeline();
  /// Called at each step of the simulation: sends the submissions, cancellations and queries due.
  void step();

  /// The id of the stage's job; none if it is not yet submitted.
  std::optional<std::string> job(size_t pipeline, size_t stage) const;
  /// Whether all tasks of the stage are done.
  bool stage_complete(size_t pipeline, size_t stage) const;

  size_t submitted() const { return pipelines_.size(); }
  /// Pipelines with all stages done.
  size_t completed() const;
  /// Pipelines with a stage done and another one cancelled through a dependency.
  size_t partially_cancelled() const;
  /// Stages never submitted or never accepted.
  size_t unaccepted_stages() const;

 private:
  struct Stage {
    std::optional<std::string> job;
    std::optional<Seconds> accepted_at;
  };
  struct Pipeline {
    PipelinePlan plan;
    std::vector<Stage> stages;
    bool cancelled = false;  ///< the planned cancellation has been requested
    bool queried_after_cancellation = false;
  };

  PipelinePlan random_plan();
  JobSpec random_stage_spec();
  void step(Pipeline& pipeline);
  bool submission_due(const Pipeline& pipeline, size_t stage) const;
  void submit(Pipeline& pipeline, size_t stage);
  void cancel_if_due(Pipeline& pipeline);
  bool cancellation_due(const Pipeline& pipeline) const;
  void query_after_cancellation(Pipeline& pipeline);
  void query_at_random(const Pipeline& pipeline);
  const ObservedJob* observed(const Stage& stage) const;
  bool has_ended(const Stage& stage) const;

  Environment& env_;
  Users& users_;
  std::vector<Pipeline> pipelines_;
};

}  // namespace sumacquay::simulation
