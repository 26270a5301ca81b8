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

/// The records that a node knows, without I/O. This module owns the rule which of two changes is
/// newer; it must not know where changes come from, nor who is notified of them.
namespace sumacquay {

/// A record with the store revision at which it was written; 0: there is none.
template <class T>
struct Versioned {
  T value{};
  uint64_t version = 0;
};

/// What one change did to the tables.
enum class ChangeEffect {
  None,           ///< older than what is known, or of no record
  Unreadable,     ///< the record can't be decoded: the tables keep what they had
  JobUpdated,     ///< a job is live; jobs that it depends on may be unknown
  JobEnded,       ///< a job is finished, or its live record deleted
  HostChanged,    ///< a host was written or deleted
  LeaderChanged,  ///< the leader's or the term's record was written, or the leader's deleted
};

/// What a change did, and to which job.
struct AppliedChange {
  ChangeEffect effect = ChangeEffect::None;
  std::string job = {};  ///< with JobUpdated and JobEnded
};

/// Tables of live and finished jobs, hosts, the leader and the term. RecordCache fills them from a
/// snapshot, from changes and from this node's own writes. They never go back to an older version
/// of a record, in whatever order changes arrive.
class RecordTables {
 public:
  /// Keeps the given number of finished jobs, those that became known last.
  explicit RecordTables(size_t max_finished) : max_finished_(max_finished) {}

  /// Forgets everything but finished jobs, which never change, and the revision.
  void clear();

  /// Applies an item of a snapshot, or one change of a key.
  [[nodiscard]] AppliedChange apply(const wire::StoreItem& item);

  /// The changes of this page that are newer than the revision, oldest first. They point into the
  /// page.
  std::vector<const wire::StoreItem*> newer_changes(const wire::StorePage& page) const;

  /// The tables hold all changes up to this revision.
  uint64_t revision() const { return revision_; }
  /// To be called with a snapshot's revision once it is applied.
  void set_revision(uint64_t revision) { revision_ = revision; }
  /// To be called with a page's revision once its changes are applied.
  void advance_revision(uint64_t revision);

  // This node's own writes, which are thus known before the watch delivers them. Those that are not
  // newer than what the tables hold are ignored.

  /// Returns whether the tables were changed.
  [[nodiscard]] bool wrote_job(const JobRecord& record, uint64_t version);
  /// Without a record, the host was deleted.
  void wrote_host(const std::string& id, const HostRecord* record, uint64_t version);
  void wrote_leader(const wire::LeaderRecord& record, uint64_t version);

  /// A job has finished; its live record is forgotten.
  void add_finished(const std::string& id, FinishedRecord record);

  const std::unordered_map<std::string, Versioned<JobRecord>>& live() const { return live_; }
  /// Null: there is no such live job.
  const Versioned<JobRecord>* live(const std::string& id) const;
  /// Null: the job has not finished, or is not kept any more.
  const FinishedRecord* finished(const std::string& id) const;
  /// Whether the job is known to be cancelled or done.
  bool ended(const std::string& id) const;
  const std::map<std::string, Versioned<HostRecord>>& hosts() const { return hosts_; }
  const Versioned<wire::LeaderRecord>& leader() const { return leader_; }
  const Versioned<wire::LeaderRecord>& term() const { return term_; }
  const DependencyGraph& dependencies() const { return dependencies_; }
  /// How a job ended, as long as it is kept or others wait for it; its count of done tasks may be
  /// missing.
  std::optional<FinishedRecord> dependency_end(const std::string& id) const;

 private:
  AppliedChange apply_live(const std::string& id, const wire::StoreItem& item);
  AppliedChange apply_finished(const std::string& id, const wire::StoreItem& item);
  AppliedChange apply_host(const std::string& id, const wire::StoreItem& item);
  AppliedChange apply_leader(const wire::StoreItem& item);
  AppliedChange apply_term(const wire::StoreItem& item);
  void track_dependencies(const JobRecord& record);

  size_t max_finished_;
  uint64_t revision_ = 0;
  std::unordered_map<std::string, Versioned<JobRecord>> live_;
  std::unordered_map<std::string, FinishedRecord> finished_;
  std::deque<std::string> finished_order_;  ///< oldest first
  DependencyGraph dependencies_;
  std::map<std::string, Versioned<HostRecord>> hosts_;
  std::map<std::string, uint64_t> host_deleted_;  ///< versions at which this node deleted hosts
  Versioned<wire::LeaderRecord> leader_;
  Versioned<wire::LeaderRecord> term_;
  uint64_t leader_version_ = 0;  ///< the newest version of the leader's key, also of its deletion
};

}  // namespace sumacquay
