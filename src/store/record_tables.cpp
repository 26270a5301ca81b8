#include "store/record_tables.h"

#include <algorithm>
#include <utility>

#include "store/keys.h"

namespace sumacquay {
namespace {

std::string strip_prefix(const std::string& prefix, const std::string& key) {
  return key.substr(prefix.size());
}

/// Decodes a leader record; none if the key was deleted or the record is invalid.
std::optional<wire::LeaderRecord> decode_leader_item(const wire::StoreItem& item) {
  return item.value.missing() ? std::nullopt : wire::decode_leader(item.value);
}

}  // namespace

void RecordTables::clear() {
  live_jobs_.clear();
  dependencies_.clear();
  hosts_.clear();
  host_deletion_versions_.clear();
  leader_ = {};
  term_ = {};
  leader_version_ = 0;
}

AppliedChange RecordTables::apply(const wire::StoreItem& item) {
  const std::string& key = item.key;
  if (key.starts_with(keys::kLive)) return apply_live(strip_prefix(keys::kLive, key), item);
  if (key.starts_with(keys::kFinished))
    return apply_finished(strip_prefix(keys::kFinished, key), item);
  if (key.starts_with(keys::kHost)) return apply_host(strip_prefix(keys::kHost, key), item);
  if (key == keys::kLeader) return apply_leader(item);
  if (key == keys::kTerm) return apply_term(item);
  return {};
}

AppliedChange RecordTables::apply_live(const std::string& id, const wire::StoreItem& item) {
  const auto existing = live_jobs_.find(id);
  if (existing != live_jobs_.end() && existing->second.version >= item.version) return {};
  // A finished job never becomes live again, even if an older change of its live record arrives.
  if (item.value.missing() || finished_jobs_.contains(id)) {
    live_jobs_.erase(id);
    dependencies_.on_live_record_deleted(id);
    return {ChangeEffect::JobEnded, id};
  }
  auto record = wire::decode_job(item.value);
  if (!record) return {ChangeEffect::Unreadable};
  track_dependencies(*record);
  live_jobs_[id] = {std::move(*record), item.version};
  return {ChangeEffect::JobUpdated, id};
}

AppliedChange RecordTables::apply_finished(const std::string& id, const wire::StoreItem& item) {
  const auto record = item.value.missing() ? std::nullopt : wire::decode_finished(item.value);
  if (!record) return {};
  add_finished(id, *record);
  return {ChangeEffect::JobEnded, id};
}

AppliedChange RecordTables::apply_host(const std::string& id, const wire::StoreItem& item) {
  const auto existing = hosts_.find(id);
  if (existing != hosts_.end() && existing->second.version >= item.version) return {};
  const auto deletion = host_deletion_versions_.find(id);
  if (deletion != host_deletion_versions_.end() && deletion->second >= item.version) return {};
  const auto record = item.value.missing() ? std::nullopt : wire::decode_host(item.value);
  if (record)
    hosts_[id] = {*record, item.version};
  else
    hosts_.erase(id);
  return {ChangeEffect::HostChanged};
}

AppliedChange RecordTables::apply_leader(const wire::StoreItem& item) {
  if (item.version <= leader_version_) return {};
  leader_version_ = item.version;
  leader_ = {};
  if (const auto record = decode_leader_item(item)) leader_ = {*record, item.version};
  return {ChangeEffect::LeaderChanged};
}

AppliedChange RecordTables::apply_term(const wire::StoreItem& item) {
  const auto record = decode_leader_item(item);
  if (!record || item.version <= term_.version) return {};
  term_ = {*record, item.version};
  return {ChangeEffect::LeaderChanged};
}

/// Adds a job's dependencies and the states of those that are in the tables; records of other
/// dependencies must be read from the store. A job that is done or cancelled keeps its live record
/// until none of its tasks is left on any machine.
void RecordTables::track_dependencies(const JobRecord& record) {
  dependencies_.update(record);
  for (const auto& id : record.spec.dependencies) {
    if (const auto* existing = finished_job(id))
      dependencies_.set_finished(id, existing->state, existing->ended_ms);
    if (const auto* existing = live_job(id)) dependencies_.update(existing->value);
  }
}

std::vector<const wire::StoreItem*> RecordTables::newer_changes(const wire::StorePage& page) const {
  // The protocol does not guarantee the order of changes; without sorting, a deletion could be
  // followed by an older write of the same key.
  std::vector<const wire::StoreItem*> newer;
  for (const auto& item : page.items)
    if (item.version > revision_) newer.push_back(&item);
  std::ranges::stable_sort(newer, {}, &wire::StoreItem::version);
  return newer;
}

void RecordTables::advance_revision(uint64_t revision) {
  revision_ = std::max(revision_, revision);
}

/// Ignores writes that are not newer than the revision of the tables: the response to a write may
/// be delayed until the tables include a later change or deletion of the same record.
bool RecordTables::on_job_written(const JobRecord& record, uint64_t version) {
  const std::string& id = record.spec.id;
  if (version <= revision_ || finished_jobs_.contains(id)) return false;
  auto& existing = live_jobs_[id];
  if (existing.version >= version) return false;
  existing = {record, version};
  track_dependencies(record);
  return true;
}

void RecordTables::on_host_written(const std::string& id, const HostRecord* record,
                                   uint64_t version) {
  if (version <= revision_) return;
  if (record) {
    hosts_[id] = {*record, version};
    return;
  }
  hosts_.erase(id);
  host_deletion_versions_[id] = version;
}

void RecordTables::on_leader_written(const wire::LeaderRecord& record, uint64_t version) {
  if (version <= revision_) return;
  leader_version_ = version;
  leader_ = {record, version};
  term_ = {record, version};
}

void RecordTables::add_finished(const std::string& id, FinishedRecord record) {
  live_jobs_.erase(id);
  dependencies_.set_finished(id, record.state, record.ended_ms);
  dependencies_.on_live_record_deleted(id);
  if (!finished_jobs_.emplace(id, record).second) return;
  finished_order_.push_back(id);
  if (finished_order_.size() <= max_finished_) return;
  finished_jobs_.erase(finished_order_.front());
  finished_order_.pop_front();
}

const Versioned<JobRecord>* RecordTables::live_job(const std::string& id) const {
  const auto found = live_jobs_.find(id);
  return found == live_jobs_.end() ? nullptr : &found->second;
}

const FinishedRecord* RecordTables::finished_job(const std::string& id) const {
  const auto found = finished_jobs_.find(id);
  return found == finished_jobs_.end() ? nullptr : &found->second;
}

bool RecordTables::job_ended(const std::string& id) const {
  const auto* record = live_job(id);
  return record ? record->value.state != JobState::Pending : finished_job(id) != nullptr;
}

std::optional<FinishedRecord> RecordTables::dependency_outcome(const std::string& id) const {
  if (const auto* record = finished_job(id)) return *record;
  return dependencies_.outcome(id);
}

}  // namespace sumacquay
