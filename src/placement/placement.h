#pragma once
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/fair_share.h"
#include "jobs/spec.h"

namespace sumacquay {

struct Machine;

/// A machine as placement sees it.
struct CandidateMachine {
  std::string machine, type, zone;
  const Machine* of = nullptr;  ///< for whoever made the slot; placement does not look into it
  bool spot = false;
  Resources capacity;       ///< the whole machine's
  Resources available;      ///< of it, what nothing takes
  Resources releasing;      ///< free once the tasks that are being stopped are gone
  Resources reserved;       ///< of it, what waits beside free GPUs for tasks that need some
  bool schedulable = true;  ///< may be given new tasks

  bool fits(const Resources& request) const {
    Resources open = available;
    if (request.gpus == 0) open -= reserved;
    return request.fits_in(open);
  }
};

/// What of a job is to be placed, and what of it is somewhere already.
struct PlacementRequest {
  const JobSpec* spec = nullptr;
  std::vector<uint32_t> tasks;                      ///< to be placed
  std::unordered_map<std::string, uint32_t> zones;  ///< tasks of the job that are in a zone
  /// Of the jobs that depend on this one, if it is higher than its own.
  std::optional<Priority> inherited_priority;
  bool image_first = false;        ///< a fetch costs more than packing gains
  bool within_fair_share = false;  ///< its team's: other teams' must not delay it
  std::function<bool(const CandidateMachine&)> avoid;      ///< machines the job failed on
  std::function<bool(const CandidateMachine&)> has_image;  ///< machines that hold the image

  Priority priority() const { return inherited_priority.value_or(spec->priority); }
};

struct Assignment {
  uint32_t task = 0;
  size_t candidate = 0;
};

/// Whether a job may use a machine at all.
bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot);

/// Puts tasks on the fullest slots that fit, GPUs first, and takes the room there. A gang is placed
/// whole or not at all; of arrays and services (gangs of one) as many tasks as fit.
std::vector<Assignment> bin_pack(const PlacementRequest& placement_request,
                                 std::vector<CandidateMachine>& candidates);

/// For a gang that fits nowhere whole: takes room for as many of its tasks as there is, in the zone
/// that has the most on `candidates` and `soon` together, and leaves the rest of it in
/// `placement_request`, bound to that zone if the gang must be in one.
void reserve_for_gang(PlacementRequest& placement_request,
                      std::vector<CandidateMachine>& candidates,
                      const std::vector<CandidateMachine>& soon);

/// For tasks that need GPUs and found no room: tasks that need none leave them what is free of the
/// CPUs and memory beside free GPUs, on the machines where the least is missing.
void reserve_beside_gpus(const PlacementRequest& placement_request,
                         std::vector<CandidateMachine>& candidates);

/// Finds out whether things would fit: what it places is given back when it ends.
class TentativePlacement {
 public:
  explicit TentativePlacement(std::vector<CandidateMachine>& candidates)
      : candidates_(candidates) {}
  TentativePlacement(const TentativePlacement&) = delete;
  ~TentativePlacement();
  /// Whether all of it fits beside what this trial has placed already.
  bool fits(const PlacementRequest& placement_request);
  /// Leaves in place what it has placed, and tells the slots.
  std::vector<size_t> keep();

 private:
  std::vector<CandidateMachine>& candidates_;
  std::vector<std::pair<size_t, Resources>> taken_;
};

/// A running task that a job may be given the place of.
struct Victim {
  std::string_view job;  ///< owned by whoever lists the victims, as the team's name is
  uint32_t task = 0;
  size_t candidate = 0;
  Resources request;
  Priority priority = Priority::Low;
  double loss_s = 0;  ///< progress that stopping it throws away
  bool gang = false;  ///< others on other machines stop with it
  bool stopped = false;
  std::string_view team = {};
  bool beyond_fair_share = false;  ///< its job is not within its team's guarantee
  Resources stops = {};            ///< what the team loses with it: of a gang, all its tasks'
};

struct Preemption {
  size_t candidate = 0;
  std::vector<size_t> victims;     ///< indices
  bool already_releasing = false;  ///< enough is being stopped there already
};

/// Room for one task by stopping tasks of lower priority, or, for a job within its team's
/// guarantee, tasks of the same priority that other teams run beyond theirs: the slot where the
/// least is lost. Never would a task stop what may stop it in turn: priorities fall along a chain
/// of preemptions, and where they don't, who is within a guarantee stops who isn't. `running` is
/// asked what a team can lose without falling below its guarantee.
std::optional<Preemption> preempt(const PlacementRequest& placement_request,
                                  const std::vector<CandidateMachine>& candidates,
                                  const std::vector<Victim>& victims,
                                  const RunningResources& running = {});

}  // namespace sumacquay
