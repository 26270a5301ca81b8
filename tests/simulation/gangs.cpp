#include "simulation/gangs.h"

#include <algorithm>
#include <set>

namespace sumacquay::simulation {

void Gangs::step() {
  if (!env_.options.models_gangs()) return;
  const auto gangs = present_members();
  std::erase_if(noticed_at_, [&](const auto& lost) { return !gangs.contains(lost.first); });
  for (const auto& [id, members] : gangs) {
    start_if_all_wait(id, members);
    stop_if_member_gone(id, members);
  }
}

std::map<Gangs::GangId, Gangs::Members> Gangs::present_members() {
  std::map<GangId, Members> gangs;
  for (auto& [machine_id, machine] : env_.fleet.machines())
    for (auto& [id, task] : machine.tasks)
      if (task.active() && env_.jobs.at(id.task.job).spec.is_multi_task_gang())
        gangs[{id.task.job, id.attempt}].push_back({&machine, id.task.task, &task});
  return gangs;
}

void Gangs::start_if_all_wait(const GangId& id, const Members& members) {
  ObservedJob& job = env_.jobs.at(id.first);
  std::set<uint32_t> waiting;
  for (const Member& member : members)
    if (member.task->state == TaskState::Waiting && !member.machine->faults.hung.active(env_.now()))
      waiting.insert(member.number);
  if (waiting.size() < job.spec.tasks) return;
  if (!job.started_at) job.started_at = env_.now();
  const Seconds ends_at =
      env_.now() + env_.random.between(env_.options.min_task_s, env_.options.max_task_s);
  for (const Member& member : members) {
    member.task->state = TaskState::Running;
    member.task->next_transition_at = ends_at;
  }
}

void Gangs::stop_if_member_gone(const GangId& id, const Members& members) {
  const ObservedJob& job = env_.jobs.at(id.first);
  const bool running = std::any_of(members.begin(), members.end(), [](const Member& member) {
    return member.task->state == TaskState::Running;
  });
  if (!running || members.size() >= job.spec.tasks) return;
  const Seconds delay = job.complete() ? 0 : env_.random.between(0, env_.options.gang_peer_s);
  const auto noticed = noticed_at_.try_emplace(id, env_.now() + delay).first;
  if (env_.now() < noticed->second) return;
  for (const Member& member : members) {
    if (member.machine->faults.hung.active(env_.now())) continue;
    member.task->state = TaskState::Exited;
    member.task->cause = job.complete() ? ExitCause::Done : ExitCause::GangMemberGone;
  }
}

}  // namespace sumacquay::simulation
