#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jobs/record.h"
#include "wire/messages.h"

namespace sumacquay::simulation {

/// The state service: keys with versions, guarded transactions and leases. Faults on the way to it
/// are the state channel's.
class StateService {
 public:
  /// monostate: deleted.
  using Value =
      std::variant<std::monostate, JobRecord, wire::FinishedRecord, HostRecord, wire::LeaderRecord>;
  struct Change {
    std::string key;
    std::shared_ptr<const Value> value;
    uint64_t version = 0, lease = 0;

    bool deletes() const { return std::holds_alternative<std::monostate>(*value); }
  };
  static Change put(std::string key, Value value, uint64_t lease = 0);
  static Change remove(std::string key);

  uint64_t version(const std::string& key) const;
  /// The revision, none if a guard fails or a lease has ended.
  std::optional<uint64_t> transact(const std::vector<wire::Guard>& guards,
                                   std::vector<Change> changes);
  uint64_t revision() const { return revision_; }
  std::vector<Change> changes_after(uint64_t revision) const;
  std::vector<Change> all() const;
  /// A key's item, none if there is no such key.
  const Change* find(const std::string& key) const;

  uint64_t grant(Seconds now, Seconds duration);
  /// False: the lease has ended.
  bool renew(uint64_t lease, Seconds now);
  void revoke(uint64_t lease);
  void expire_leases(Seconds now);
  /// After an outage every lease starts anew.
  void restart_leases(Seconds now);

 private:
  struct Lease {
    Seconds ends_at = 0, duration = 0;
  };
  void apply(Change change);

  std::map<std::string, Change> items_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Change> log_;
  uint64_t revision_ = 1, last_lease_ = 0;
};

}  // namespace sumacquay::simulation
