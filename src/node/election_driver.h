#pragma once
#include <asio.hpp>
#include <functional>

#include "config/settings.h"
#include "leadership/leader_election.h"
#include "store/key_value_store_client.h"
#include "store/record_cache.h"

namespace sumacquay {

/// Runs the leader election against the state service: performs the requests that `LeaderElection`
/// decides on and reports their outcomes to it. Owns the LeaderElection. Called by the node at
/// every tick and when the leader's record changes.
///
/// Guarantees that this node leads only after it has read everything that earlier leaders wrote,
/// and that a failed campaign cannot succeed later, because its lease is revoked.
class ElectionDriver {
 public:
  /// `incarnation` distinguishes this process from earlier ones of the node. `on_state_changed` is
  /// called from within calls to `election()` and `tick`, so it must not destroy an object that may
  /// have made such a call.
  ElectionDriver(
      asio::io_context& io, const Settings& settings, uint64_t incarnation,
      KeyValueStoreClient& store, RecordCache& record_cache,
      std::function<void(LeaderElection::State, LeaderElection::State)> on_state_changed);

  LeaderElection& election() { return election_; }
  const LeaderElection& election() const { return election_; }
  /// `jitter`: random, from 0 to 1; keeps nodes from campaigning at the same time.
  void tick(double jitter);
  /// Time at which the next tick is due, unless the election state or the leader's record changes
  /// earlier.
  Seconds due_at() const;
  /// Steps down and revokes the lease, and does not campaign for long enough that another node is
  /// elected.
  void resign();
  /// Handles a change of the leader's record or the term record.
  void on_leader_record();

 private:
  LeaderElection::Effects effects(
      std::function<void(LeaderElection::State, LeaderElection::State)> on_state_changed);
  void grant(LeaderElection::Campaign campaign, Seconds duration);
  void elect(LeaderElection::Campaign campaign, uint64_t lease);
  void catch_up_before_leading(LeaderElection::Campaign campaign, uint64_t term, Seconds lease_end);
  void abandon_campaign(LeaderElection::Campaign campaign, uint64_t lease);
  void renew(uint64_t lease);
  void refresh_records();

  asio::io_context& io_;
  const Settings& settings_;
  uint64_t incarnation_;
  KeyValueStoreClient& store_;
  RecordCache& record_cache_;
  LeaderElection election_;
  bool refresh_in_flight_ = false;
  bool earlier_lease_revoked_ = false;
};

}  // namespace sumacquay
