#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/dependency_graph.h"
#include "jobs/record.h"
#include "wire/records.h"
#include "wire/store_messages.h"

/// In-memory tables of the records, without I/O. This module decides which of two changes is newer;
/// it is independent of the source of changes and of who is notified of them.
namespace sumacquay {

/// A record with the store revision at which it was written; 0: no record.
template <class T>
struct Versioned {
  T value{};
  uint64_t version = 0;
};

/// Effect of a change on the tables.
enum class ChangeEffect {
  None,           ///< ignored: not newer than the tables, or not the key of a record
  Unreadable,     ///< the record can't be decoded; the tables keep the previous one
  JobUpdated,     ///< a live record was written; records of dependencies may be missing
  JobEnded,       ///< a job is finished, or its live record was deleted
  HostChanged,    ///< a host was written or deleted
  LeaderChanged,  ///< the leader or term record was written, or the leader record deleted
};

/// Effect of a change, with the affected job.
struct AppliedChange {
  ChangeEffect effect = ChangeEffect::None;
  std::string job = {};  ///< only for JobUpdated and JobEnded
};

/// Tables of live and finished jobs, hosts, the leader and the term. RecordCache fills them from a
/// snapshot, from watched changes and from this node's own writes. A record is never replaced by an
/// older version, in whatever order changes arrive.
class RecordTables {
 public:
  /// Keeps at most `max_finished` finished jobs and evicts those that were added first.
  explicit RecordTables(size_t max_finished) : max_finished_(max_finished) {}

  /// Clears all tables except the finished jobs, which never change; keeps the revision.
  void clear();

  /// Applies an item of a snapshot or a change of a key.
  [[nodiscard]] AppliedChange apply(const wire::StoreItem& item);

  /// The changes on this page that are newer than the revision, oldest first. The pointers refer to
  /// items of the page.
  std::vector<const wire::StoreItem*> newer_changes(const wire::StorePage& page) const;

  /// The tables include all changes up to this revision.
  uint64_t revision() const { return revision_; }
  /// Must be called with a snapshot's revision once the snapshot is applied.
  void set_revision(uint64_t revision) { revision_ = revision; }
  /// Must be called with a page's revision once its changes are applied.
  void advance_revision(uint64_t revision);

  // Apply writes committed by this node before the watch delivers them. Writes that are not newer
  // than the tables are ignored.

  /// Returns whether the tables changed.
  [[nodiscard]] bool on_job_written(const JobRecord& record, uint64_t version);
  /// A null record means that the host was deleted.
  void on_host_written(const std::string& id, const HostRecord* record, uint64_t version);
  void on_leader_written(const wire::LeaderRecord& record, uint64_t version);

  /// Adds a finished job and removes its live record.
  void add_finished(const std::string& id, FinishedRecord record);

  const std::unordered_map<std::string, Versioned<JobRecord>>& live_jobs() const {
    return live_jobs_;
  }
  /// Null if the job has no live record.
  const Versioned<JobRecord>* live_job(const std::string& id) const;
  /// Null if the job is not finished or was evicted.
  const FinishedRecord* finished_job(const std::string& id) const;
  /// Whether the tables show the job as cancelled or done.
  bool job_ended(const std::string& id) const;
  const std::map<std::string, Versioned<HostRecord>>& hosts() const { return hosts_; }
  const Versioned<wire::LeaderRecord>& leader() const { return leader_; }
  const Versioned<wire::LeaderRecord>& term() const { return term_; }
  const DependencyGraph& dependencies() const { return dependencies_; }
  /// Outcome of a finished job that is kept here or that other jobs depend on; none otherwise. The
  /// count of done tasks is 0 if it is unknown.
  std::optional<FinishedRecord> dependency_outcome(const std::string& id) const;

 private:
  AppliedChange apply_live(const std::string& id, const wire::StoreItem& item);
  AppliedChange apply_finished(const std::string& id, const wire::StoreItem& item);
  AppliedChange apply_host(const std::string& id, const wire::StoreItem& item);
  AppliedChange apply_leader(const wire::StoreItem& item);
  AppliedChange apply_term(const wire::StoreItem& item);
  void track_dependencies(const JobRecord& record);

  size_t max_finished_;
  uint64_t revision_ = 0;
  std::unordered_map<std::string, Versioned<JobRecord>> live_jobs_;
  std::unordered_map<std::string, FinishedRecord> finished_jobs_;
  std::deque<std::string> finished_order_;  ///< oldest first
  DependencyGraph dependencies_;
  std::map<std::string, Versioned<HostRecord>> hosts_;
  /// Versions at which this node deleted hosts, by id.
  std::map<std::string, uint64_t> host_deletion_versions_;
  Versioned<wire::LeaderRecord> leader_;
  Versioned<wire::LeaderRecord> term_;
  uint64_t leader_version_ = 0;  ///< newest version of the leader key, including deletions
};

}  // namespace sumacquay
