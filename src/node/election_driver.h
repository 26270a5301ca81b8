#pragma once
#include <asio.hpp>
#include <functional>

#include "config/settings.h"
#include "leadership/leader_election.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"

namespace sumacquay {

/// Connects `LeaderElection`, which decides, with the state service, which holds the leader's
/// lease. Called by the node: at every tick, and when a leader's record has changed.
///
/// Guarantees that this node leads only once it has read everything that earlier leaders wrote,
/// and that a campaign that failed can't win later: its lease is revoked.
class ElectionDriver {
 public:
  /// `process` tells this process of the node from earlier ones. `changed` is called from inside
  /// calls of `leadership()` and `tick`, so it must leave what may have made them in place.
  ElectionDriver(asio::io_context& io, const Settings& settings, uint64_t process,
                 KeyValueStoreClient& store, RecordCache& record_cache,
                 std::function<void(LeaderElection::State, LeaderElection::State)> changed);

  LeaderElection& election() { return election_; }
  const LeaderElection& election() const { return election_; }
  /// `jitter`: from 0 to 1, so that nodes don't campaign all at once.
  void tick(double jitter);
  /// When the next tick is due, unless the leadership or the leader's record changes before.
  Seconds due_at() const;
  /// Leaves the lead to another node, for longer than that takes to be elected.
  void resign();
  void on_leader_record();

 private:
  LeaderElection::Effects effects(
      std::function<void(LeaderElection::State, LeaderElection::State)> changed);
  void grant(LeaderElection::Campaign campaign, Seconds duration);
  void elect(LeaderElection::Campaign campaign, uint64_t lease);
  void read_before_leading(LeaderElection::Campaign campaign, uint64_t term, Seconds lease_end);
  void lose(LeaderElection::Campaign campaign, uint64_t lease);
  void renew(uint64_t lease);
  void keep_records_known();

  asio::io_context& io_;
  const Settings& settings_;
  uint64_t process_;
  KeyValueStoreClient& store_;
  RecordCache& record_cache_;
  LeaderElection election_;
  bool reading_records_ = false;
  bool earlier_lease_revoked_ = false;
};

}  // namespace sumacquay
