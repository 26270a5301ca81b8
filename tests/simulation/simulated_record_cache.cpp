#include "simulation/simulated_record_cache.h"

#include <algorithm>

namespace sumacquay::simulation {

namespace {
/// Small enough that jobs are evicted during a run.
constexpr size_t kFinishedKept = 10;
}  // namespace

SimulatedRecordCache::Update SimulatedRecordCache::apply(const StateReply& reply,
                                                         Seconds asked_at) {
  Update update;
  for (const auto& change : reply.changes) {
    if (change.key.starts_with(keys::kLive))
      apply_live(change, update);
    else if (change.key.starts_with(keys::kFinished))
      apply_finished(change, update);
    else if (change.key.starts_with(keys::kHost))
      apply_host(change);
    else if (change.key == keys::kLeader)
      apply_leader(change, update);
    else if (change.key == keys::kTerm)
      apply_term(change, update);
  }
  revision_ = std::max(revision_, reply.revision);
  known_at_ = std::max(known_at_, asked_at);
  update.first = !loaded_;
  loaded_ = true;
  return update;
}

void SimulatedRecordCache::apply_live(const StateService::Change& change, Update& update) {
  const std::string id = change.key.substr(keys::kLive.size());
  const auto known = live_.find(id);
  if (known != live_.end() && known->second.version >= change.version) return;
  if (change.deletes() || finished_.contains(id)) {
    live_.erase(id);
    dependencies_.forget(id);
  } else {
    const auto& record = std::get<JobRecord>(*change.value);
    track_dependencies(record);
    live_[id] = {record, change.version};
  }
  update.jobs.push_back(id);
}

void SimulatedRecordCache::apply_finished(const StateService::Change& change, Update& update) {
  if (change.deletes() || !loaded_) return;
  const std::string id = change.key.substr(keys::kFinished.size());
  cache_finished(id, std::get<wire::FinishedRecord>(*change.value));
  update.jobs.push_back(id);
}

void SimulatedRecordCache::apply_host(const StateService::Change& change) {
  const std::string id = change.key.substr(keys::kHost.size());
  const auto known = hosts_.find(id);
  if (known != hosts_.end() && known->second.version >= change.version) return;
  const auto deleted = host_deleted_.find(id);
  if (deleted != host_deleted_.end() && deleted->second >= change.version) return;
  if (change.deletes())
    hosts_.erase(id);
  else
    hosts_[id] = {std::get<HostRecord>(*change.value), change.version};
}

void SimulatedRecordCache::apply_leader(const StateService::Change& change, Update& update) {
  if (change.version <= leader_seen_) return;
  leader_seen_ = change.version;
  leader_ = {};
  if (!change.deletes()) leader_ = {std::get<wire::LeaderRecord>(*change.value), change.version};
  update.leader_changed = true;
}

void SimulatedRecordCache::apply_term(const StateService::Change& change, Update& update) {
  if (change.deletes() || change.version <= term_.version) return;
  term_ = {std::get<wire::LeaderRecord>(*change.value), change.version};
  update.leader_changed = true;
}

void SimulatedRecordCache::won_election(const wire::LeaderRecord& record, uint64_t revision) {
  leader_seen_ = std::max(leader_seen_, revision);
  leader_ = term_ = {record, revision};
}

bool SimulatedRecordCache::wrote_job(const JobRecord& record, uint64_t version) {
  if (finished_.contains(record.spec.id)) return false;
  auto& known = live_[record.spec.id];
  if (known.version >= version) return false;
  known = {record, version};
  track_dependencies(record);
  return true;
}

void SimulatedRecordCache::wrote_finished(const std::string& id,
                                          const wire::FinishedRecord& record) {
  cache_finished(id, record);
}

void SimulatedRecordCache::cache_finished(const std::string& id,
                                          const wire::FinishedRecord& record) {
  live_.erase(id);
  dependencies_.finished(id, record.state, record.ended_ms);
  dependencies_.forget(id);
  if (!finished_.emplace(id, record).second) return;
  finished_order_.push_back(id);
  if (finished_order_.size() <= kFinishedKept) return;
  finished_.erase(finished_order_.front());
  finished_order_.pop_front();
}

void SimulatedRecordCache::track_dependencies(const JobRecord& record) {
  dependencies_.update(record);
  for (const auto& id : record.spec.dependencies) {
    const auto known = finished_.find(id);
    if (known != finished_.end())
      dependencies_.finished(id, known->second.state, known->second.ended_ms);
    const auto live = live_.find(id);
    if (live != live_.end()) dependencies_.update(live->second.value);
  }
}

std::optional<wire::FinishedRecord> SimulatedRecordCache::dependency_end(
    const std::string& id) const {
  const auto known = finished_.find(id);
  if (known != finished_.end()) return known->second;
  return dependencies_.end_of(id);
}

void SimulatedRecordCache::wrote_host(const std::string& id, const HostRecord& record,
                                      uint64_t version) {
  hosts_[id] = {record, version};
}

void SimulatedRecordCache::deleted_host(const std::string& id, uint64_t version) {
  hosts_.erase(id);
  host_deleted_[id] = version;
}

bool SimulatedRecordCache::ended(const std::string& id) const {
  const auto live = live_.find(id);
  if (live != live_.end()) return live->second.value.state != JobState::Pending;
  return finished_.contains(id);
}

}  // namespace sumacquay::simulation
