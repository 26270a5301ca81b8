#pragma once
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/record.h"
#include "store/dependency_reader.h"
#include "store/key_value_store_client.h"
#include "store/keys.h"
#include "store/load_generation.h"
#include "store/record_tables.h"
#include "store/snapshot_loader.h"
#include "wire/records.h"
#include "wire/store_messages.h"

/// A node's copy of the records in the state service.
namespace sumacquay {

/// A watch cache: loads a snapshot of the records and follows their changes. Frontend answers users
/// from it, and a node that becomes leader restores the scheduler's state from it. What it holds
/// may be old, except right after a read barrier has succeeded. It writes nothing and knows nothing
/// of scheduling. Not thread-safe: everything happens on the io_context.
class RecordCache {
 public:
  using Clock = std::chrono::steady_clock;
  using BarrierDone = std::function<void(bool fresh)>;

  /// Who is notified of changed records.
  struct Listener {
    std::function<void(const std::string& id)> job_changed;  ///< empty id: any job may have changed
    std::function<void()> leader_changed;
  };

  /// Finished jobs that are kept in memory; older ones are read again when asked for.
  static constexpr size_t kFinishedKept = 20000;

  RecordCache(asio::io_context& io, const Settings& settings, KeyValueStoreClient& store,
              size_t finished_kept = kFinishedKept);
  /// Starts to load the snapshot, and after that to follow the changes. To be called once.
  void start();
  void set_listener(Listener listener) { listener_ = std::move(listener); }

  /// Whether a whole snapshot has been loaded.
  bool loaded() const { return state_ == State::Following; }
  /// The cache holds everything that was written before this time.
  Clock::time_point known_at() const { return known_at_; }
  /// Linearizable read: calls back with true once the cache holds everything that was written
  /// before this call, or with false if that can't be had now. Calls back once, never from inside
  /// the call. One request to the service serves all barriers that wait.
  void read_barrier(BarrierDone done);

  /// Jobs with a live record, by id: those that have not finished, or not been cleaned up.
  const std::unordered_map<std::string, Versioned<JobRecord>>& live() const {
    return tables_.live();
  }
  const Versioned<JobRecord>* live(const std::string& id) const { return tables_.live(id); }
  /// A finished job, or null if it is not kept in memory.
  const FinishedRecord* finished(const std::string& id) const { return tables_.finished(id); }
  /// Whether the job is known to be cancelled or done.
  bool ended(const std::string& id) const { return tables_.ended(id); }
  /// Machines that may run something, by name.
  const std::map<std::string, Versioned<HostRecord>>& hosts() const { return tables_.hosts(); }
  /// The node that holds the leader's lease; version 0: none.
  const Versioned<wire::LeaderRecord>& leader() const { return tables_.leader(); }
  /// The node that was elected last, whether or not it still holds the lease.
  const Versioned<wire::LeaderRecord>& term() const { return tables_.term(); }

  /// How the live jobs depend on one another and on finished ones.
  const DependencyGraph& dependencies() const { return tables_.dependencies(); }

  /// How a job ended, as long as it is kept in memory or others wait for it; its count of done
  /// tasks may be missing.
  std::optional<FinishedRecord> dependency_end(const std::string& id) const {
    return tables_.dependency_end(id);
  }

  // What this node itself has written, which is thus known before the watch brings it. A host
  // without a record was deleted.
  void wrote_job(const JobRecord& record, uint64_t version);
  void wrote_finished(const std::string& id, FinishedRecord record, uint64_t version);
  void wrote_host(const std::string& id, const HostRecord* record, uint64_t version);
  void wrote_leader(const wire::LeaderRecord& record, uint64_t version);
  /// Keeps what this node has read of a finished job that was not in memory.
  void cache_finished(const std::string& id, FinishedRecord record) {
    tables_.add_finished(id, record);
  }

 private:
  enum class State { Loading, Following };

  void enter(State next);

  // Loading.
  void load();
  void on_snapshot_loaded(uint64_t first_revision);

  // Following.
  void follow();
  void apply_watch_response(const HttpResult& result, Clock::time_point requested_at);
  void apply_changes(const wire::StorePage& page, Clock::time_point requested_at);
  void record_read_outcome(const HttpResult& result, bool readable);
  void reload_if_store_reachable();

  // Read barriers.
  void send_barrier_read();
  void barrier_answered(const std::vector<BarrierDone>& served, bool fresh);
  void reject_waiting_barriers();

  void apply_item(const wire::StoreItem& item);
  void notify(const AppliedChange& change);
  void notify_job_changed(const std::string& id) const;
  void notify_leader_changed() const;

  asio::io_context& io_;
  KeyValueStoreClient& store_;
  double watch_wait_s_;        ///< how long a watch waits for a change
  double retry_s_;             ///< from a failed read to the next
  double barrier_interval_s_;  ///< from one barrier's answer to the next barrier
  Listener listener_;

  State state_ = State::Loading;
  Clock::time_point known_at_{};
  Clock::time_point loading_since_{};

  RecordTables tables_;
  LoadGeneration generation_;
  SnapshotLoader snapshot_loader_;
  DependencyReader dependency_reader_;

  std::vector<BarrierDone> waiting_;
  bool barrier_running_ = false;
  int failed_reads_ = 0;  ///< reads of changes in a row that brought nothing
  bool probing_ = false;  ///< whether the service answers at all
};

}  // namespace sumacquay
