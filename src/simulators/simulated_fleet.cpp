#include "simulators/simulated_fleet.h"

#include <array>
#include <cstdio>
#include <utility>

#include "node/steady_time.h"

namespace sumacquay::simulators {
namespace {

/// Workers listen on consecutive loopback addresses from 127.16.0.1, one address each.
constexpr uint64_t kFirstBlock = 16;
constexpr uint64_t kHostsPerNetwork = 250;
constexpr uint64_t kNetworksPerBlock = 250;

std::string loopback_address(uint64_t index) {
  const uint64_t network = index / kHostsPerNetwork;
  return "127." + std::to_string(kFirstBlock + network / kNetworksPerBlock) + "." +
         std::to_string(network % kNetworksPerBlock) + "." +
         std::to_string(1 + index % kHostsPerNetwork);
}

uint64_t machine_index(const std::string& id) {
  return std::stoull(id.substr(2));
}

}  // namespace

SimulatedFleet::SimulatedFleet(WorkerContext& context, unsigned short port)
    : context_(context), port_(port) {
  context_.gang_task_ready = [this](const std::string& machine, const TaskKey& key,
                                    uint64_t attempt) {
    on_gang_task_ready(machine, key, attempt);
  };
  context_.gang_task_lost = [this](const TaskKey& key, uint64_t attempt) {
    on_gang_task_lost(key, attempt);
  };
}

std::string SimulatedFleet::next_id() {
  constexpr size_t kNameBytes = 32;
  std::array<char, kNameBytes> name{};
  std::snprintf(name.data(), name.size(), "i-%06llu",
                static_cast<unsigned long long>(next_index_++));
  return name.data();
}

std::string SimulatedFleet::address_of(const std::string& id) const {
  return loopback_address(machine_index(id)) + ":" + std::to_string(port_);
}

std::string SimulatedFleet::add(const MachineOffering& offering, const std::string& id) {
  WorkerState state;
  state.id = id;
  state.type = offering.type;
  state.zone = offering.zone;
  state.spot = offering.spot;
  const Endpoint listen{loopback_address(machine_index(id)), port_};
  auto worker = std::make_unique<SimulatedWorker>(context_, std::move(state), listen);
  worker->start();
  workers_[id] = std::move(worker);
  return id;
}

void SimulatedFleet::remove(const std::string& id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) return;
  std::vector<TaskAttemptId> lost;
  for (const auto& [attempt_id, task] : found->second->state().tasks)
    if (task.active()) lost.push_back(attempt_id);
  workers_.erase(found);
  for (const auto& attempt_id : lost) on_gang_task_lost(attempt_id.task, attempt_id.attempt);
}

std::vector<std::string> SimulatedFleet::ids() const {
  std::vector<std::string> out;
  for (const auto& [id, worker] : workers_) out.push_back(id);
  return out;
}

void SimulatedFleet::set_zone_partitioned(const std::string& zone, bool partitioned) {
  for (const auto& [id, worker] : workers_)
    if (worker->state().zone == zone) worker->set_partitioned(partitioned);
}

// ---------------------------------------------------------------- gangs

SimulatedWorker* SimulatedFleet::find(const std::string& machine) {
  const auto found = workers_.find(machine);
  return found == workers_.end() ? nullptr : found->second.get();
}

void SimulatedFleet::on_gang_task_ready(const std::string& machine, const TaskKey& key,
                                        uint64_t attempt) {
  const SubmittedJob& job = context_.jobs.at(key.job);
  const GangAttempt id{key.job, attempt};
  Gang& gang = gangs_[id];
  gang.ready_tasks[key] = machine;
  if (gang.running || gang.ready_tasks.size() < job.spec.tasks) return;
  gang.running = true;
  asio::post(context_.io, [this, id, run_s = job.run_s] { start_gang(id, run_s); });
}

void SimulatedFleet::start_gang(const GangAttempt& attempt, Seconds run_s) {
  const auto found = gangs_.find(attempt);
  if (found == gangs_.end()) return;
  const std::map<TaskKey, std::string> ready_tasks = found->second.ready_tasks;
  for (const auto& [task, machine] : ready_tasks)
    if (SimulatedWorker* worker = find(machine))
      worker->start_gang_task(task, attempt.second, run_s);
}

void SimulatedFleet::on_gang_task_lost(const TaskKey& key, uint64_t attempt) {
  const auto job = context_.jobs.find(key.job);
  if (job == context_.jobs.end() || job->second.spec.kind != JobKind::Gang) return;
  const auto found = gangs_.find({key.job, attempt});
  if (found == gangs_.end()) return;
  Gang& gang = found->second;
  gang.ready_tasks.erase(key);
  if (!gang.running || gang.ending) return;
  gang.ending = true;
  auto timer = std::make_shared<asio::steady_timer>(context_.io,
                                                    to_microseconds(context_.timing.gang_peer_s));
  timer->async_wait([this, timer, id = found->first](auto error) {
    if (!error) end_gang(id);
  });
}

void SimulatedFleet::end_gang(const GangAttempt& attempt) {
  const auto found = gangs_.find(attempt);
  if (found == gangs_.end()) return;
  const auto remaining = std::exchange(found->second.ready_tasks, {});
  for (const auto& [task, machine] : remaining)
    if (SimulatedWorker* worker = find(machine))
      worker->end_gang_task(task, attempt.second, ExitCause::GangMemberGone);
  gangs_.erase(attempt);
}

}  // namespace sumacquay::simulators
