// Lease delegation: delegations, status reports and answers of delegates, with delayed and lost
// messages, restarts and clock drift.
#include "leadership/lease_delegation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "config/settings.h"
#include "generators.h"
#include "wire/messages.h"

namespace sumacquay {
namespace {

using testing::check_property;

constexpr Seconds kLeaderSilence = 3, kHeartbeatPeriod = 1, kValidFor = 20;

/// A heartbeat of a worker that has received a fencing token, with one task of each of two jobs.
WorkerHeartbeat heartbeat() {
  WorkerHeartbeat worker;
  worker.fencing_token = 7 << 20;
  worker.tasks = {{{"job-1", 0}, 4, TaskState::Running},
                  {{"job-2", 3}, 5, TaskState::Checkpointing}};
  return worker;
}
bool no_job_ended(const std::string& /*job*/) {
  return false;
}

TEST(LeaseDelegation, LeaderAccountsForEveryAnswerOfADelegate) {
  size_t answers = 0;
  EXPECT_TRUE(check_property(
      "answers of delegates are accounted for",
      [&answers] {
        std::mt19937_64 rng(*rc::gen::noShrink(rc::gen::arbitrary<uint64_t>()));
        auto draw = [&rng](double low, double high) {
          return std::uniform_real_distribution<double>(low, high)(rng);
        };
        const double skew = 1 + draw(-0.0005, 0.0005);
        Seconds now = 100;
        auto node_clock = [&] { return now * skew + 5; };
        DelegationTracker delegations(7, kLeaderSilence);
        uint64_t process = 1;
        DelegatedResponder responder(process, kLeaderSilence, kValidFor);
        std::multimap<Seconds, std::function<void()>> messages_in_flight;
        Seconds next_heartbeat_at = 0;
        Seconds partitioned_until = 0;
        Seconds last_answer = -1;
        while (now < 400) {
          now += 0.1;
          while (!messages_in_flight.empty() && messages_in_flight.begin()->first <= now) {
            const auto deliver = messages_in_flight.begin()->second;
            messages_in_flight.erase(messages_in_flight.begin());
            deliver();
          }
          if (draw(0, 1) < 0.004) partitioned_until = now + draw(1, 60);
          if (draw(0, 1) < 0.004)
            responder = DelegatedResponder(++process, kLeaderSilence, kValidFor);
          if (node_clock() >= next_heartbeat_at) {
            next_heartbeat_at = node_clock() + kHeartbeatPeriod;
            const double request_delay = now < partitioned_until ? draw(0, 60) : draw(0.001, 0.05);
            messages_in_flight.emplace(
                now + request_delay,
                [&, status = responder.status(node_clock()), sent_at = node_clock(), process] {
                  delegations.on_status("n", "z", status, now);
                  const auto delegation = delegations.delegate("n", "z", now + kValidFor, now);
                  const double response_delay = draw(0, 1) < 0.1 ? draw(0, 30) : 0.01;
                  messages_in_flight.emplace(
                      now + response_delay, [&, delegation, sent_at, sender = process] {
                        if (sender == process && now >= partitioned_until)
                          responder.on_delegation(delegation, sent_at, node_clock());
                      });
                });
          }
          if (draw(0, 1) < 0.3 &&
              responder.answer(heartbeat(), 7, node_clock(), no_job_ended, node_clock())) {
            last_answer = now;
            ++answers;
          }
          RC_ASSERT(delegations.last_answer("z", now) >= last_answer - 1e-6);
          RC_ASSERT(delegations.last_answer("other", now) < 0);
        }
      },
      60));
  EXPECT_GT(answers, 1000u) << "too few answers of delegates for the check to mean anything";
}

TEST(LeaseDelegation, DelegateInContactWithLeaderDoesNotDelayLeaseExpiry) {
  DelegationTracker delegations(7, kLeaderSilence);
  DelegatedResponder responder(1, kLeaderSilence, kValidFor);
  for (Seconds now = 10; now < 50; now += kHeartbeatPeriod) {
    delegations.on_status("n", "z", responder.status(now), now);
    responder.on_delegation(delegations.delegate("n", "z", now + kValidFor, now), now, now);
    EXPECT_FALSE(responder.active(7, now));
    if (now > 12) {
      EXPECT_LT(delegations.last_answer("z", now), 0);
    }
  }
  EXPECT_TRUE(responder.active(7, 49 + kLeaderSilence));
  EXPECT_FALSE(responder.active(8, 49 + kLeaderSilence)) << "another node leads in a higher term";
  EXPECT_FALSE(responder.active(7, 49 + kValidFor));
  EXPECT_NEAR(delegations.last_answer("z", 49 + kLeaderSilence), 49 + kLeaderSilence, 1e-9);
  EXPECT_NEAR(delegations.last_answer("z", 200), 49 + kValidFor, 1e-9);
  EXPECT_TRUE(responder.answer(heartbeat(), 7, 60, no_job_ended, 60));
  delegations.on_status("n", "z", responder.status(70), 70);
  responder.on_delegation(delegations.delegate("n", "z", 70 + kValidFor, 70), 70, 70);
  delegations.on_status("n", "z", responder.status(71), 71);
  EXPECT_NEAR(delegations.last_answer("z", 71), 60, 0.1)
      << "the status reports the time of the last answer";
}

TEST(LeaseDelegation, DelegateStopsEndedJobsAndAnswersOnlyWhileItsRecordsAreRecent) {
  DelegationTracker delegations(7, kLeaderSilence);
  DelegatedResponder responder(1, kLeaderSilence, 10);
  responder.on_delegation(delegations.delegate("n", "z", 30, 10), 10, 10);
  const auto ended = [](const std::string& job) { return job == "job-2"; };
  const auto answer = responder.answer(heartbeat(), 7, 9, ended, 18.9);
  ASSERT_TRUE(answer);
  EXPECT_EQ(*answer, (std::vector<Command>{{CommandType::Stop, {"job-2", 3}, 5, 0}}));
  EXPECT_FALSE(responder.answer(heartbeat(), 7, 9, ended, 19))
      << "10 s after the records were last read";
  EXPECT_FALSE(responder.answer(heartbeat(), 8, 15, ended, 19))
      << "another node leads in a higher term";
  auto fresh = heartbeat();
  fresh.fencing_token = 0;
  EXPECT_FALSE(responder.answer(fresh, 7, 15, ended, 19)) << "the worker has no fencing token yet";
  EXPECT_TRUE(responder.answer(heartbeat(), 7, 15, ended, 19));
}

TEST(LeaseDelegation, ResponderIsFoundOnlyIfReachedWithinTheLease) {
  // With five controllers and a lease of 10 s, a worker needs up to 20 s to try four nodes that
  // don't answer. Its lease expired before it reached the delegate, and the leader waited for tasks
  // that had long ended.
  Settings settings;
  settings.zone = "a";
  for (const char* zone : {"b", "c", "a", "b"}) settings.peers.push_back({"n", zone, {}});
  settings.heartbeat_period_s = 1;
  settings.lease_s = 10;
  EXPECT_FALSE(settings.delegate_reachable_within_lease("b"));
  settings.lease_s = 22;
  EXPECT_TRUE(settings.delegate_reachable_within_lease("b"));
  EXPECT_TRUE(settings.delegate_reachable_within_lease("c"));
}

TEST(LeaseDelegation, StatusAndDelegationRoundTripInPeerHeartbeat) {
  EXPECT_TRUE(check_property(
      "peer heartbeats round trip",
      [] {
        wire::PeerHeartbeat sent;
        sent.node = "n";
        sent.term = *rc::gen::arbitrary<uint64_t>();
        sent.delegation_status = {*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>(),
                                  *rc::gen::arbitrary<uint64_t>(), std::nullopt};
        if (*rc::gen::arbitrary<bool>())
          sent.delegation_status.last_answer_age_s = *rc::gen::inRange(0, 1000) / 7.0;
        if (*rc::gen::arbitrary<bool>())
          sent.delegation =
              Delegation{*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>(),
                         *rc::gen::inRange(0, 1000) / 7.0};
        const auto received = wire::decode_peer_heartbeat(wire::encode_peer_heartbeat(sent));
        RC_ASSERT(received.has_value());
        RC_ASSERT(received->delegation_status.incarnation == sent.delegation_status.incarnation &&
                  received->delegation_status.term == sent.delegation_status.term);
        RC_ASSERT(received->delegation_status.issued_at_ms == sent.delegation_status.issued_at_ms &&
                  received->delegation_status.last_answer_age_s ==
                      sent.delegation_status.last_answer_age_s);
        RC_ASSERT(received->delegation.has_value() == sent.delegation.has_value());
        if (sent.delegation) {
          RC_ASSERT(received->delegation->term == sent.delegation->term);
          RC_ASSERT(received->delegation->issued_at_ms == sent.delegation->issued_at_ms);
          RC_ASSERT(received->delegation->valid_for_s == sent.delegation->valid_for_s);
        }
      },
      200));
}

}  // namespace
}  // namespace sumacquay
