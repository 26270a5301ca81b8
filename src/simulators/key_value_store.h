#pragma once
#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jobs/spec.h"
#include "wire/store_messages.h"

namespace sumacquay::simulators {

/// In-memory model of the key-value store, without I/O: versioned keys, compare-and-swap
/// transactions, leases and a change log. `Value` is the type of the stored values. Rate limits and
/// faults are simulated by the callers.
template <class Value>
class KeyValueStore {
 public:
  /// A put or delete of a key; also the current item of a key.
  struct Change {
    std::string key;
    std::shared_ptr<const Value> value;  ///< null if the change deletes the key
    uint64_t version = 0;
    uint64_t lease = 0;

    bool deletes() const { return !value; }
  };
  static Change put(std::string key, Value value, uint64_t lease = 0) {
    return {std::move(key), std::make_shared<const Value>(std::move(value)), 0, lease};
  }
  static Change remove(std::string key) { return {std::move(key), nullptr, 0, 0}; }

  uint64_t version(const std::string& key) const {
    const Change* item = find(key);
    return item ? item->version : 0;
  }

  /// The item of a key; null if the key does not exist.
  const Change* find(const std::string& key) const {
    const auto item = items_.find(key);
    return item == items_.end() ? nullptr : &item->second;
  }

  /// All items, ordered by key.
  const std::map<std::string, Change>& items() const { return items_; }
  std::vector<Change> all_items() const {
    std::vector<Change> out;
    for (const auto& [key, item] : items_) out.push_back(item);
    return out;
  }

  uint64_t revision() const { return revision_; }

  /// Whether none of the leases attached to the changes has expired or been revoked.
  bool leases_alive(const std::vector<Change>& changes) const {
    return std::all_of(changes.begin(), changes.end(), [this](const Change& change) {
      return change.lease == 0 || leases_.contains(change.lease);
    });
  }

  /// The keys whose versions differ from their preconditions.
  std::vector<std::string> failed_preconditions(
      const std::vector<wire::Precondition>& preconditions) const {
    std::vector<std::string> failed;
    for (const auto& precondition : preconditions)
      if (version(precondition.key) != precondition.version) failed.push_back(precondition.key);
    return failed;
  }

  /// Applies the changes atomically and returns the new revision; none if a precondition fails or a
  /// lease has expired or been revoked. Without changes the revision stays the same.
  std::optional<uint64_t> compare_and_swap(const std::vector<wire::Precondition>& preconditions,
                                           std::vector<Change> changes) {
    if (!leases_alive(changes) || !failed_preconditions(preconditions).empty()) return std::nullopt;
    if (changes.empty()) return revision_;
    ++revision_;
    for (auto& change : changes) apply(std::move(change));
    return revision_;
  }

  /// The changes after a revision. Requires `log_covers(revision)`.
  std::vector<Change> changes_after(uint64_t revision) const {
    const auto from = std::upper_bound(
        log_.begin(), log_.end(), revision,
        [](uint64_t target, const Change& change) { return target < change.version; });
    return {from, log_.end()};
  }

  /// Whether the log still holds all changes after the revision.
  bool log_covers(uint64_t revision) const { return revision >= last_dropped_revision_; }

  /// Drops the oldest changes until the log holds at most `max_changes`.
  void trim_log(size_t max_changes) {
    while (log_.size() > max_changes) {
      last_dropped_revision_ = log_.front().version;
      log_.pop_front();
    }
  }

  uint64_t grant_lease(Seconds now, Seconds duration) {
    leases_[++last_lease_id_] = {now + duration, duration};
    return last_lease_id_;
  }

  /// Extends a lease by its full duration; false if it has expired or been revoked.
  bool renew_lease(uint64_t lease, Seconds now) {
    const auto found = leases_.find(lease);
    if (found == leases_.end()) return false;
    found->second.ends_at = now + found->second.duration;
    return true;
  }

  void revoke_lease(uint64_t lease) {
    if (!leases_.erase(lease)) return;
    std::vector<std::string> attached_keys;
    for (const auto& [key, item] : items_)
      if (item.lease == lease) attached_keys.push_back(key);
    if (attached_keys.empty()) return;
    ++revision_;
    for (const auto& key : attached_keys) apply(remove(key));
  }

  void expire_leases(Seconds now) {
    std::vector<uint64_t> expired;
    for (const auto& [id, lease] : leases_)
      if (now > lease.ends_at + kLeaseExpiryDelay) expired.push_back(id);
    for (const auto id : expired) revoke_lease(id);
  }

  /// Restarts all leases with their full duration, as the store does after an outage.
  void restart_leases(Seconds now) {
    for (auto& [id, lease] : leases_) lease.ends_at = now + lease.duration;
  }

 private:
  /// Delay between the end of a lease and its expiry: a lease never expires early, and at most
  /// 100 ms late.
  static constexpr Seconds kLeaseExpiryDelay = 0.05;

  /// A granted lease.
  struct Lease {
    Seconds ends_at = 0;
    Seconds duration = 0;
  };

  void apply(Change change) {
    change.version = revision_;
    if (change.deletes())
      items_.erase(change.key);
    else
      items_[change.key] = change;
    log_.push_back(std::move(change));
  }

  std::map<std::string, Change> items_;
  std::map<uint64_t, Lease> leases_;
  std::deque<Change> log_;
  uint64_t revision_ = 1;
  uint64_t last_dropped_revision_ = 0;
  uint64_t last_lease_id_ = 0;
};

}  // namespace sumacquay::simulators
