#pragma once
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/record.h"
#include "store/store_client.h"
#include "wire/records.h"
#include "wire/store_messages.h"

namespace sumacquay {

namespace keys {
inline const std::string kRoot = "sq/";
inline const std::string kLive = "sq/live/";
inline const std::string kFinished = "sq/over/";
inline const std::string kHost = "sq/host/";
inline const std::string kLeader = "sq/leader";
inline const std::string kTerm = "sq/term";
}  // namespace keys

template <class T>
struct Versioned {
  T value{};
  uint64_t version = 0;
};

/// A node's copy of the state service's records, kept up by a watch. `read_barrier` is the read
/// barrier: one request brings the copy up to date for all who wait for it.
class Mirror {
 public:
  struct Listener {
    std::function<void(const std::string& id)> job_changed;
    std::function<void()> leader_changed;
  };

  /// Jobs that are over and still answered from memory; older ones are read again when asked for.
  static constexpr size_t kFinishedKept = 20000;

  Mirror(asio::io_context& io, const Settings& settings, StoreClient& store,
         size_t finished_kept = kFinishedKept);
  void start();
  void set_listener(Listener listener) { listener_ = std::move(listener); }

  bool loaded() const { return state_ == State::Following; }
  /// The copy holds everything that was written before this time.
  std::chrono::steady_clock::time_point known_at() const { return known_at_; }
  /// Calls back with true once the copy holds everything written before this call.
  void read_barrier(std::function<void(bool)> done);

  const std::unordered_map<std::string, Versioned<JobRecord>>& live() const { return live_; }
  const Versioned<JobRecord>* live(const std::string& id) const;
  const wire::FinishedRecord* finished(const std::string& id) const;
  /// Whether the job is known to be cancelled or done.
  bool ended(const std::string& id) const;
  const std::map<std::string, Versioned<HostRecord>>& hosts() const { return hosts_; }
  const Versioned<wire::LeaderRecord>& leader() const { return leader_; }
  const Versioned<wire::LeaderRecord>& term() const { return term_; }

  // What this node itself has written, known before the watch brings it.
  void wrote_job(const JobRecord& record, uint64_t version);
  void wrote_finished(const std::string& id, wire::FinishedRecord record, uint64_t version);
  void wrote_host(const std::string& id, const HostRecord* record, uint64_t version);
  void wrote_leader(const wire::LeaderRecord& record, uint64_t version);
  void learned_finished(const std::string& id, wire::FinishedRecord record) {
    remember_finished(id, record);
  }

 private:
  enum class State { Loading, Following };
  void enter(State next);
  void load();
  void load_page(size_t prefix, const std::string& after, uint64_t from);
  void follow();
  void apply(const wire::StorePage& page, std::chrono::steady_clock::time_point asked_at);
  void apply_item(const wire::StoreItem& item);
  void remember_finished(const std::string& id, wire::FinishedRecord record);
  bool ahead(uint64_t version) const;
  void refuse_waiting();
  void note_read(const HttpResult& r, bool readable);
  void load_if_served();
  void run_barrier();
  void later(double seconds, std::function<void()> what);

  asio::io_context& io_;
  StoreClient& store_;
  double wait_s_, barrier_gap_s_;
  size_t finished_kept_;
  Listener listener_;
  State state_ = State::Loading;
  uint64_t generation_ = 0;  ///< counts loads: answers to earlier ones are dropped
  uint64_t revision_ = 0;
  std::chrono::steady_clock::time_point known_at_{}, loading_since_{};
  std::unordered_map<std::string, Versioned<JobRecord>> live_;
  std::unordered_map<std::string, wire::FinishedRecord> finished_;
  std::deque<std::string> finished_order_;
  std::map<std::string, Versioned<HostRecord>> hosts_;
  std::map<std::string, uint64_t> host_deleted_;
  Versioned<wire::LeaderRecord> leader_, term_;
  uint64_t leader_seen_ = 0;
  std::vector<std::function<void(bool)>> waiting_;
  bool barrier_running_ = false;
  int unread_ = 0;  ///< reads of changes in a row that brought nothing
  bool probing_ = false;
};

}  // namespace sumacquay
