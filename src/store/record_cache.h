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

/// A node's in-memory copy of the records in the key-value store.
namespace sumacquay {

/// Watch cache: loads a snapshot of the records and then watches for changes. Frontend serves user
/// requests from it, and a new leader restores the scheduler's state from it. Its contents may be
/// stale, except right after a successful read barrier. It is read-only and independent of
/// scheduling. Not thread-safe: all calls and callbacks run on the io_context.
class RecordCache {
 public:
  using Clock = std::chrono::steady_clock;
  using BarrierDone = std::function<void(bool fresh)>;

  /// Callbacks for changed records.
  struct Listener {
    std::function<void(const std::string& id)> job_changed;  ///< empty id: any job may have changed
    std::function<void()> leader_changed;
  };

  /// Number of finished jobs kept in memory; older ones are read from the store on demand.
  static constexpr size_t kMaxFinishedJobs = 20000;

  RecordCache(asio::io_context& io, const Settings& settings, KeyValueStoreClient& store,
              size_t max_finished = kMaxFinishedJobs);
  /// Starts loading the snapshot, followed by the watch. Must be called once.
  void start();
  void set_listener(Listener listener) { listener_ = std::move(listener); }

  /// Whether a complete snapshot has been loaded.
  bool loaded() const { return state_ == State::Following; }
  /// The cache includes all writes that were committed before this time.
  Clock::time_point fresh_as_of() const { return fresh_as_of_; }
  /// Read barrier for linearizable reads: calls `done` with true once the cache includes all writes
  /// committed before this call, or with false if that can't be ensured now. Calls `done` once,
  /// never from inside this call. One request to the store completes all waiting barriers.
  void read_barrier(BarrierDone done);

  /// Jobs with a live record, by id: jobs that are not finished or not cleaned up yet.
  const std::unordered_map<std::string, Versioned<JobRecord>>& live_jobs() const {
    return tables_.live_jobs();
  }
  const Versioned<JobRecord>* live_job(const std::string& id) const { return tables_.live_job(id); }
  /// The record of a finished job; null if it is not in memory.
  const FinishedRecord* finished_job(const std::string& id) const {
    return tables_.finished_job(id);
  }
  /// Whether a record in memory shows the job as cancelled or done.
  bool job_ended(const std::string& id) const { return tables_.job_ended(id); }
  /// Machines that may run tasks, by id.
  const std::map<std::string, Versioned<HostRecord>>& hosts() const { return tables_.hosts(); }
  /// Record of the node that holds the leader lease; version 0: none.
  const Versioned<wire::LeaderRecord>& leader() const { return tables_.leader(); }
  /// Record of the most recently elected leader, whether or not it still holds the lease.
  const Versioned<wire::LeaderRecord>& term() const { return tables_.term(); }

  /// Dependencies between live jobs, and of live jobs on finished ones.
  const DependencyGraph& dependencies() const { return tables_.dependencies(); }

  /// Outcome of a finished job that is in memory or that other jobs depend on; none otherwise. The
  /// count of done tasks is 0 if it is unknown.
  std::optional<FinishedRecord> dependency_outcome(const std::string& id) const {
    return tables_.dependency_outcome(id);
  }

  // Apply writes committed by this node before the watch delivers them. A null host record means
  // that the host was deleted.
  void on_job_written(const JobRecord& record, uint64_t version);
  void on_finished_written(const std::string& id, FinishedRecord record, uint64_t version);
  void on_host_written(const std::string& id, const HostRecord* record, uint64_t version);
  void on_leader_written(const wire::LeaderRecord& record, uint64_t version);
  /// Caches the record of a finished job that was read from the store on demand.
  void cache_finished(const std::string& id, FinishedRecord record) {
    tables_.add_finished(id, record);
  }

 private:
  enum class State { Loading, Following };

  void set_state(State next);

  // Loading.
  void load();
  void on_snapshot_loaded(uint64_t first_revision);

  // Watching.
  void send_watch();
  void apply_watch_response(const HttpResult& result, Clock::time_point requested_at);
  void apply_changes(const wire::StorePage& page, Clock::time_point requested_at);
  void track_read_outcome(const HttpResult& result, bool succeeded);
  void reload_if_store_reachable();

  // Read barriers.
  void send_barrier_read();
  void complete_barriers(const std::vector<BarrierDone>& barriers, bool fresh);
  void reject_waiting_barriers();

  void apply_item(const wire::StoreItem& item);
  void notify(const AppliedChange& change);
  void notify_job_changed(const std::string& id) const;
  void notify_leader_changed() const;

  asio::io_context& io_;
  KeyValueStoreClient& store_;
  double watch_timeout_s_;     ///< maximum time for which a watch waits for a change
  double retry_delay_s_;       ///< delay after a failed read
  double barrier_interval_s_;  ///< delay between a barrier's response and the next barrier
  Listener listener_;

  State state_ = State::Loading;
  Clock::time_point fresh_as_of_{};
  Clock::time_point load_started_at_{};

  RecordTables tables_;
  LoadGeneration generation_;
  SnapshotLoader snapshot_loader_;
  DependencyReader dependency_reader_;

  std::vector<BarrierDone> waiting_barriers_;
  bool barrier_running_ = false;
  int failed_reads_ = 0;          ///< consecutive reads of changes without a usable response
  bool probe_in_flight_ = false;  ///< a probe of whether the store is reachable is in flight
};

}  // namespace sumacquay
