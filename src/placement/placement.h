#pragma once
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/guarantees.h"
#include "jobs/spec.h"

namespace sumacquay {

struct Machine;

/// A machine as placement sees it.
struct Slot {
  std::string machine, type, zone;
  const Machine* of = nullptr;  ///< for whoever made the slot; placement does not look into it
  bool spot = false;
  Amounts room;        ///< the whole machine's
  Amounts free;        ///< of it, what nothing takes
  Amounts coming;      ///< free once the tasks that are being stopped are gone
  Amounts held;        ///< of it, what waits beside free GPUs for tasks that need some
  bool usable = true;  ///< may be given new tasks

  bool fits(const Amounts& need) const {
    Amounts open = free;
    if (need.gpus == 0) open -= held;
    return need.fits_in(open);
  }
};

/// What of a job is to be placed, and what of it is somewhere already.
struct Demand {
  const JobSpec* spec = nullptr;
  std::vector<uint32_t> tasks;                      ///< to be placed
  std::unordered_map<std::string, uint32_t> zones;  ///< tasks of the job that are in a zone
  /// Of the jobs that depend on this one, if it is higher than its own.
  std::optional<Priority> inherited_priority;
  bool image_first = false;                    ///< a fetch costs more than packing gains
  bool within_guarantee = false;               ///< its team's: other teams' must not delay it
  std::function<bool(const Slot&)> avoid;      ///< machines the job failed on
  std::function<bool(const Slot&)> has_image;  ///< machines that hold the image

  Priority priority() const { return inherited_priority.value_or(spec->priority); }
};

struct Placed {
  uint32_t task = 0;
  size_t slot = 0;
};

/// Whether a job may use a machine at all.
bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot);

/// Puts tasks on the fullest slots that fit, GPUs first, and takes the room there. A gang is placed
/// whole or not at all; of arrays and services (gangs of one) as many tasks as fit.
std::vector<Placed> place(const Demand& demand, std::vector<Slot>& slots);

/// For a gang that fits nowhere whole: takes room for as many of its tasks as there is, in the zone
/// that has the most on `slots` and `soon` together, and leaves the rest of it in `demand`, bound
/// to that zone if the gang must be in one.
void hold(Demand& demand, std::vector<Slot>& slots, const std::vector<Slot>& soon);

/// For tasks that need GPUs and found no room: tasks that need none leave them what is free of the
/// CPUs and memory beside free GPUs, on the machines where the least is missing.
void hold_beside_gpus(const Demand& demand, std::vector<Slot>& slots);

/// Finds out whether things would fit: what it places is given back when it ends.
class Trial {
 public:
  explicit Trial(std::vector<Slot>& slots) : slots_(slots) {}
  Trial(const Trial&) = delete;
  ~Trial();
  /// Whether all of it fits beside what this trial has placed already.
  bool fits(const Demand& demand);
  /// Leaves in place what it has placed, and tells the slots.
  std::vector<size_t> keep();

 private:
  std::vector<Slot>& slots_;
  std::vector<std::pair<size_t, Amounts>> taken_;
};

/// A running task that a job may be given the place of.
struct Victim {
  std::string_view job;  ///< owned by whoever lists the victims, as the team's name is
  uint32_t task = 0;
  size_t slot = 0;
  Amounts need;
  Priority priority = Priority::Low;
  double loss_s = 0;  ///< progress that stopping it throws away
  bool gang = false;  ///< others on other machines stop with it
  bool stopped = false;
  std::string_view team = {};
  bool beyond_guarantee = false;  ///< its job is not within its team's guarantee
  Amounts stops = {};             ///< what the team loses with it: of a gang, all its tasks'
};

struct Preemption {
  size_t slot = 0;
  std::vector<size_t> victims;  ///< indices
  bool on_its_way = false;      ///< enough is being stopped there already
};

/// Room for one task by stopping tasks of lower priority, or, for a job within its team's
/// guarantee, tasks of the same priority that other teams run beyond theirs: the slot where the
/// least is lost. Never would a task stop what may stop it in turn: priorities fall along a chain
/// of preemptions, and where they don't, who is within a guarantee stops who isn't. `running` is
/// asked what a team can lose without falling below its guarantee.
std::optional<Preemption> preempt(const Demand& demand, const std::vector<Slot>& slots,
                                  const std::vector<Victim>& victims,
                                  const RunningResources& running = {});

}  // namespace sumacquay
