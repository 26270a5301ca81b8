#include "node/election_driver.h"

#include "node/steady_time.h"

namespace sumacquay {
namespace {

/// Delay before a failed read of the records is retried, as a fraction of the worker lease.
constexpr double kReadRetryDelayLeaseFraction = 0.005;
/// How long a node does not campaign after it has resigned, in leader leases.
constexpr double kResignBackoffLeases = 2;

LeaderElection::Config config(const Settings& settings) {
  LeaderElection::Config config;
  config.lease = settings.leader_lease_s();
  config.renew = settings.leader_renewal_interval_s();
  config.grace = settings.answer_grace_s();
  return config;
}

}  // namespace

ElectionDriver::ElectionDriver(
    asio::io_context& io, const Settings& settings, uint64_t incarnation,
    KeyValueStoreClient& store, RecordCache& record_cache,
    std::function<void(LeaderElection::State, LeaderElection::State)> on_state_changed)
    : io_(io),
      settings_(settings),
      incarnation_(incarnation),
      store_(store),
      record_cache_(record_cache),
      election_(config(settings), effects(std::move(on_state_changed))) {}

LeaderElection::Effects ElectionDriver::effects(
    std::function<void(LeaderElection::State, LeaderElection::State)> on_state_changed) {
  LeaderElection::Effects effects;
  effects.grant = [this](LeaderElection::Campaign campaign, Seconds duration) {
    grant(campaign, duration);
  };
  effects.elect = [this](LeaderElection::Campaign campaign, uint64_t lease) {
    elect(campaign, lease);
  };
  effects.renew = [this](uint64_t lease) { renew(lease); };
  effects.state_changed = std::move(on_state_changed);
  return effects;
}

void ElectionDriver::tick(double jitter) {
  refresh_records();
  election_.tick(steady_now(), record_cache_.loaded(), record_cache_.leader().version != 0, jitter);
}

Seconds ElectionDriver::due_at() const {
  const Seconds records_due =
      to_seconds(record_cache_.fresh_as_of()) + settings_.leader_renewal_interval_s();
  const Seconds election_due = election_.due_at(steady_now());
  return refresh_in_flight_ ? election_due : std::min(election_due, records_due);
}

/// Reads the records if they have not been current for a renewal period. With few writes the watch
/// is idle for long, which cannot be distinguished from a lost connection.
void ElectionDriver::refresh_records() {
  const Seconds current_at = to_seconds(record_cache_.fresh_as_of());
  election_.set_records_current_at(current_at);
  if (refresh_in_flight_ || steady_now() - current_at < settings_.leader_renewal_interval_s())
    return;
  refresh_in_flight_ = true;
  record_cache_.read_barrier([this](bool) { refresh_in_flight_ = false; });
}

void ElectionDriver::grant(LeaderElection::Campaign campaign, Seconds duration) {
  const Seconds requested_at = steady_now();
  store_.grant_lease(duration, [this, campaign, requested_at](std::optional<uint64_t> lease) {
    election_.granted(steady_now(), campaign, lease, requested_at);
  });
}

void ElectionDriver::elect(LeaderElection::Campaign campaign, uint64_t lease) {
  const uint64_t term = std::max(record_cache_.term().value.term, election_.highest_term()) + 1;
  const wire::LeaderRecord record{settings_.node, incarnation_, term, lease};
  const std::string value = wire::encode_leader(record);
  const Seconds lease_end = steady_now() + settings_.leader_lease_s();
  store_.compare_and_swap(RequestPriority::Leadership,
                          {{keys::kLeader, 0}, {keys::kTerm, record_cache_.term().version}},
                          {{keys::kLeader, value, lease}, {keys::kTerm, value, 0}},
                          [this, campaign, record, lease_end](const TransactionResult& result) {
                            if (result.outcome != TransactionOutcome::Committed)
                              return abandon_campaign(campaign, record.lease);
                            record_cache_.on_leader_written(record, result.revision);
                            catch_up_before_leading(campaign, record.term, lease_end);
                          });
}

/// Revokes the lease at once, so that an election transaction still in flight cannot be committed.
void ElectionDriver::abandon_campaign(LeaderElection::Campaign campaign, uint64_t lease) {
  store_.revoke_lease(lease, [](const HttpResult&) {});
  record_cache_.read_barrier(
      [this, campaign](bool) { election_.elected(steady_now(), campaign, false, 0); });
}

/// Reads everything that earlier leaders wrote, before this node leads.
void ElectionDriver::catch_up_before_leading(LeaderElection::Campaign campaign, uint64_t term,
                                             Seconds lease_end) {
  record_cache_.read_barrier([this, campaign, term, lease_end](bool fresh) {
    if (fresh) return election_.elected(steady_now(), campaign, true, term);
    if (steady_now() > lease_end) return election_.elected(steady_now(), campaign, false, 0);
    auto timer = std::make_shared<asio::steady_timer>(
        io_, to_microseconds(settings_.lease_s * kReadRetryDelayLeaseFraction));
    timer->async_wait([this, timer, campaign, term, lease_end](auto) {
      catch_up_before_leading(campaign, term, lease_end);
    });
  });
}

void ElectionDriver::renew(uint64_t lease) {
  const Seconds sent_at = steady_now();
  store_.renew_lease(lease, settings_.leader_renewal_interval_s(),
                     [this, lease, sent_at](KeyValueStoreClient::Renewal renewal) {
                       election_.renewed(steady_now(), lease, sent_at,
                                         renewal == KeyValueStoreClient::Renewal::Renewed,
                                         renewal == KeyValueStoreClient::Renewal::Ended);
                     });
}

void ElectionDriver::resign() {
  const uint64_t lease = election_.lease();
  election_.resign(steady_now(), kResignBackoffLeases * settings_.leader_lease_s());
  store_.revoke_lease(lease, [](const HttpResult&) {});
}

void ElectionDriver::on_leader_record() {
  const auto& leader = record_cache_.leader();
  election_.observe_term(steady_now(),
                         std::max(leader.value.term, record_cache_.term().value.term));
  const bool of_this_node = leader.version && leader.value.node == settings_.node;
  if (!of_this_node || leader.value.nonce == incarnation_ || earlier_lease_revoked_) return;
  // An earlier process of this node held the lease. That process has exited, so the lease is
  // revoked instead of delaying the election until it expires.
  earlier_lease_revoked_ = true;
  store_.revoke_lease(leader.value.lease, [](const HttpResult&) {});
}

}  // namespace sumacquay
