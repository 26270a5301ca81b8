#include "dispatch/gang_start_barrier.h"

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// The longest time of an image fetch, as a multiple of the time at the catalog's rate, which the
/// protocol gives to within a third.
constexpr double kMaxFetchTimeFactor = 1.5;

}  // namespace

bool GangStartBarrier::fetch_may_outlast_gang_wait(const JobSpec& spec,
                                                   const Machine& machine) const {
  const MachineType* type = state_.find_machine_type(machine.host.type);
  if (!type || type->fetch_gb_per_s <= 0) return false;
  return kMaxFetchTimeFactor * spec.image_gb / type->fetch_gb_per_s > state_.settings().gang_wait_s;
}

/// Whether a task that the gang cannot run without is missing, or may be without its image for
/// longer than the other tasks wait. A task of an earlier gang attempt is still to be replaced.
bool GangStartBarrier::awaits_image(const Job& job) const {
  const JobSpec& spec = job.spec();
  if (job.possible_placements.size() < spec.tasks) return true;
  for (const auto& [task, placements] : job.possible_placements)
    for (const TaskPlacement& placement : placements) {
      if (placement.attempt != job.gang_attempt) return true;
      const TaskAttempt* attempt = state_.find_attempt({spec.id, task}, placement);
      if (!attempt || !attempt->before_image()) continue;
      const Machine& machine = state_.machines().at(placement.machine);
      if (!machine.images.has(spec.image) && fetch_may_outlast_gang_wait(spec, machine))
        return true;
    }
  return false;
}

void GangStartBarrier::on_tasks_placed(Job& job) {
  if (job.spec().is_multi_task_gang()) update(job);
}

void GangStartBarrier::on_image_present(Job& job) {
  if (job.gang_starts_held) update(job);
}

void GangStartBarrier::update(Job& job) {
  const JobSpec& spec = job.spec();
  const bool hold = awaits_image(job);
  size_t held = 0;
  size_t released = 0;
  for_each_possible_placement(job, [&](uint32_t task, const TaskPlacement& placement) {
    TaskAttempt* attempt = state_.find_attempt({spec.id, task}, placement);
    if (!attempt || attempt->start_sent || placement.attempt != job.gang_attempt) return;
    const Machine& machine = state_.machines().at(placement.machine);
    const bool was_held = attempt->start_held;
    attempt->start_held = hold && machine.images.has(spec.image);
    if (attempt->start_held) ++held;
    if (attempt->start_held || !was_held) return;
    ++released;
    commands_.enqueue(machine);
  });
  job.gang_starts_held = held > 0;
  if (held + released > 0)
    log_debug("gang_starts_held", log_field("job", spec.id), log_field("attempt", job.gang_attempt),
              log_field("held", held), log_field("released", released));
}

}  // namespace sumacquay
