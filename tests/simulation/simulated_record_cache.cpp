#include "simulation/simulated_record_cache.h"

#include <algorithm>

namespace sumacquay::simulation {

namespace {
/// Small enough that jobs are evicted during a run.
constexpr size_t kMaxFinishedJobs = 10;
}  // namespace

SimulatedRecordCache::Update SimulatedRecordCache::apply(const StoreReply& reply, Seconds sent_at) {
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
  fresh_as_of_ = std::max(fresh_as_of_, sent_at);
  update.initial_load = !loaded_;
  loaded_ = true;
  return update;
}

void SimulatedRecordCache::apply_live(const SimulatedStore::Change& change, Update& update) {
  const std::string id = change.key.substr(keys::kLive.size());
  const auto cached = live_jobs_.find(id);
  if (cached != live_jobs_.end() && cached->second.version >= change.version) return;
  if (change.deletes() || finished_jobs_.contains(id)) {
    live_jobs_.erase(id);
    dependencies_.on_live_record_deleted(id);
  } else {
    const auto& record = std::get<JobRecord>(*change.value);
    track_dependencies(record);
    live_jobs_[id] = {record, change.version};
  }
  update.jobs.push_back(id);
}

void SimulatedRecordCache::apply_finished(const SimulatedStore::Change& change, Update& update) {
  if (change.deletes() || !loaded_) return;
  const std::string id = change.key.substr(keys::kFinished.size());
  cache_finished(id, std::get<wire::FinishedRecord>(*change.value));
  update.jobs.push_back(id);
}

void SimulatedRecordCache::apply_host(const SimulatedStore::Change& change) {
  const std::string id = change.key.substr(keys::kHost.size());
  const auto cached = hosts_.find(id);
  if (cached != hosts_.end() && cached->second.version >= change.version) return;
  const auto deleted = host_deletion_versions_.find(id);
  if (deleted != host_deletion_versions_.end() && deleted->second >= change.version) return;
  if (change.deletes())
    hosts_.erase(id);
  else
    hosts_[id] = {std::get<HostRecord>(*change.value), change.version};
}

void SimulatedRecordCache::apply_leader(const SimulatedStore::Change& change, Update& update) {
  if (change.version <= leader_version_) return;
  leader_version_ = change.version;
  leader_ = {};
  if (!change.deletes()) leader_ = {std::get<wire::LeaderRecord>(*change.value), change.version};
  update.leader_changed = true;
}

void SimulatedRecordCache::apply_term(const SimulatedStore::Change& change, Update& update) {
  if (change.deletes() || change.version <= term_.version) return;
  term_ = {std::get<wire::LeaderRecord>(*change.value), change.version};
  update.leader_changed = true;
}

void SimulatedRecordCache::on_election_won(const wire::LeaderRecord& record, uint64_t revision) {
  // The answer to an earlier campaign of this process may come after the records of a later one.
  if (revision <= revision_) return;
  leader_version_ = revision;
  leader_ = term_ = {record, revision};
}

bool SimulatedRecordCache::on_job_written(const JobRecord& record, uint64_t version) {
  if (finished_jobs_.contains(record.spec.id)) return false;
  auto& cached = live_jobs_[record.spec.id];
  if (cached.version >= version) return false;
  cached = {record, version};
  track_dependencies(record);
  return true;
}

void SimulatedRecordCache::on_finished_written(const std::string& id,
                                               const wire::FinishedRecord& record) {
  cache_finished(id, record);
}

void SimulatedRecordCache::cache_finished(const std::string& id,
                                          const wire::FinishedRecord& record) {
  live_jobs_.erase(id);
  dependencies_.set_finished(id, record.state, record.ended_ms);
  dependencies_.on_live_record_deleted(id);
  if (!finished_jobs_.emplace(id, record).second) return;
  finished_order_.push_back(id);
  if (finished_order_.size() <= kMaxFinishedJobs) return;
  finished_jobs_.erase(finished_order_.front());
  finished_order_.pop_front();
}

void SimulatedRecordCache::track_dependencies(const JobRecord& record) {
  dependencies_.update(record);
  for (const auto& id : record.spec.dependencies) {
    const auto cached = finished_jobs_.find(id);
    if (cached != finished_jobs_.end())
      dependencies_.set_finished(id, cached->second.state, cached->second.ended_ms);
    const auto live = live_jobs_.find(id);
    if (live != live_jobs_.end()) dependencies_.update(live->second.value);
  }
}

std::optional<wire::FinishedRecord> SimulatedRecordCache::dependency_outcome(
    const std::string& id) const {
  const auto cached = finished_jobs_.find(id);
  if (cached != finished_jobs_.end()) return cached->second;
  return dependencies_.outcome(id);
}

void SimulatedRecordCache::on_host_written(const std::string& id, const HostRecord& record,
                                           uint64_t version) {
  hosts_[id] = {record, version};
}

void SimulatedRecordCache::on_host_deleted(const std::string& id, uint64_t version) {
  hosts_.erase(id);
  host_deletion_versions_[id] = version;
}

bool SimulatedRecordCache::job_ended(const std::string& id) const {
  const auto live = live_jobs_.find(id);
  if (live != live_jobs_.end()) return live->second.value.state != JobState::Pending;
  return finished_jobs_.contains(id);
}

}  // namespace sumacquay::simulation
