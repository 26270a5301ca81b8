// Lease delegation: delegations, status reports and answers of delegates, with delayed and lost
// messages, restarts and clock drift.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "config/settings.h"
#include "generators.h"
#include "leadership/lease_delegation.h"
#include "wire/messages.h"

namespace sumacquay {
namespace {

using testing::holds;

constexpr Seconds kAfter = 3, kStatusOnly = 1, kFor = 20;

/// A heartbeat of a worker that has received a fencing token, with one task of each of two jobs.
WorkerHeartbeat heartbeat() {
  WorkerHeartbeat r;
  r.fencing_token = 7 << 20;
  r.tasks = {{{"job-1", 0}, 4, TaskState::Running}, {{"job-2", 3}, 5, TaskState::Checkpointing}};
  return r;
}
bool none_ended(const std::string& /*job*/) {
  return false;
}

TEST(Delegations, TheLeaderCountsEveryAnswerThatOneMayHaveGiven) {
  size_t answers = 0;
  EXPECT_TRUE(holds(
      "delegates",
      [&answers] {
        std::mt19937_64 rng(*rc::gen::noShrink(rc::gen::arbitrary<uint64_t>()));
        auto draw = [&rng](double a, double b) {
          return std::uniform_real_distribution<double>(a, b)(rng);
        };
        const double skew = 1 + draw(-0.0005, 0.0005);
        Seconds now = 100;
        auto clock = [&] { return now * skew + 5; };
        Delegations ledger(7, kAfter);
        uint64_t process = 1;
        DelegatedResponder node(process, kAfter, kFor);
        std::multimap<Seconds, std::function<void()>> mail;
        Seconds next = 0;
        Seconds cut_until = 0;
        Seconds last_answer = -1;
        while (now < 400) {
          now += 0.1;
          while (!mail.empty() && mail.begin()->first <= now) {
            const auto f = mail.begin()->second;
            mail.erase(mail.begin());
            f();
          }
          if (draw(0, 1) < 0.004) cut_until = now + draw(1, 60);
          if (draw(0, 1) < 0.004) node = DelegatedResponder(++process, kAfter, kFor);
          if (clock() >= next) {
            next = clock() + kStatusOnly;
            const double there = now < cut_until ? draw(0, 60) : draw(0.001, 0.05);
            mail.emplace(now + there, [&, status = node.status(clock()), asked = clock(), process] {
              ledger.heard("n", "z", status, now);
              const auto p = ledger.delegate("n", "z", now + kFor, now);
              const double back = draw(0, 1) < 0.1 ? draw(0, 30) : 0.01;
              mail.emplace(now + back, [&, p, asked, from = process] {
                if (from == process && now >= cut_until) node.delegated(p, asked, clock());
              });
            });
          }
          if (draw(0, 1) < 0.3 && node.answer(heartbeat(), 7, clock(), none_ended, clock())) {
            last_answer = now;
            ++answers;
          }
          RC_ASSERT(ledger.last_answer("z", now) >= last_answer - 1e-6);
          RC_ASSERT(ledger.last_answer("other", now) < 0);
        }
      },
      60));
  EXPECT_GT(answers, 1000u) << "a history without answers checks nothing";
}

TEST(Delegations, OneThatHearsTheLeaderDelaysNothing) {
  Delegations ledger(7, kAfter);
  DelegatedResponder node(1, kAfter, kFor);
  for (Seconds now = 10; now < 50; now += kStatusOnly) {
    ledger.heard("n", "z", node.status(now), now);
    node.delegated(ledger.delegate("n", "z", now + kFor, now), now, now);
    EXPECT_FALSE(node.active(7, now));
    if (now > 12) {
      EXPECT_LT(ledger.last_answer("z", now), 0);
    }
  }
  EXPECT_TRUE(node.active(7, 49 + kAfter));
  EXPECT_FALSE(node.active(8, 49 + kAfter)) << "somebody else leads";
  EXPECT_FALSE(node.active(7, 49 + kFor));
  EXPECT_NEAR(ledger.last_answer("z", 49 + kAfter), 49 + kAfter, 1e-9);
  EXPECT_NEAR(ledger.last_answer("z", 200), 49 + kFor, 1e-9);
  EXPECT_TRUE(node.answer(heartbeat(), 7, 60, none_ended, 60));
  ledger.heard("n", "z", node.status(70), 70);
  node.delegated(ledger.delegate("n", "z", 70 + kFor, 70), 70, 70);
  ledger.heard("n", "z", node.status(71), 71);
  EXPECT_NEAR(ledger.last_answer("z", 71), 60, 0.1) << "it told of its last answer";
}

TEST(Delegations, AnAnswerStopsWhatIsKnownToHaveEndedAndNoneComesLongPastTheOwnLook) {
  Delegations ledger(7, kAfter);
  DelegatedResponder node(1, kAfter, 10);
  node.delegated(ledger.delegate("n", "z", 30, 10), 10, 10);
  const auto ended = [](const std::string& job) { return job == "job-2"; };
  const auto answer = node.answer(heartbeat(), 7, 9, ended, 18.9);
  ASSERT_TRUE(answer);
  EXPECT_EQ(*answer, (std::vector<Command>{{Verb::Stop, {"job-2", 3}, 5, 0}}));
  EXPECT_FALSE(node.answer(heartbeat(), 7, 9, ended, 19)) << "10 s past its own look";
  EXPECT_FALSE(node.answer(heartbeat(), 8, 15, ended, 19)) << "somebody else leads";
  auto fresh = heartbeat();
  fresh.fencing_token = 0;
  EXPECT_FALSE(node.answer(fresh, 7, 15, ended, 19)) << "it has no token to be answered with";
  EXPECT_TRUE(node.answer(heartbeat(), 7, 15, ended, 19));
}

TEST(Delegations, AreOnlyOfUseWhereWorkersFindThemWithinTheirLease) {
  // With five controllers and a lease of 10 s, a worker needs up to 20 s to try four nodes that
  // don't answer. Its lease expired before it reached the delegate, and the leader waited for tasks
  // that had long ended.
  Settings s;
  s.zone = "a";
  for (const char* zone : {"b", "c", "a", "b"}) s.peers.push_back({"n", zone, {}});
  s.heartbeat_period_s = 1;
  s.lease_s = 10;
  EXPECT_FALSE(s.finds_delegated_responder("b"));
  s.lease_s = 22;
  EXPECT_TRUE(s.finds_delegated_responder("b"));
  EXPECT_TRUE(s.finds_delegated_responder("c"));
}

TEST(Delegations, WordsAndDelegationsComeThroughTheWire) {
  EXPECT_TRUE(holds(
      "heartbeats",
      [] {
        wire::PeerHeartbeat p;
        p.node = "n";
        p.term = *rc::gen::arbitrary<uint64_t>();
        p.status = {*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>(),
                    *rc::gen::arbitrary<uint64_t>(), std::nullopt};
        if (*rc::gen::arbitrary<bool>())
          p.status.last_answer_age_s = *rc::gen::inRange(0, 1000) / 7.0;
        if (*rc::gen::arbitrary<bool>())
          p.delegation =
              Delegation{*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>(),
                         *rc::gen::inRange(0, 1000) / 7.0};
        const auto q = wire::decode_peer_heartbeat(wire::encode_peer_heartbeat(p));
        RC_ASSERT(q.has_value());
        RC_ASSERT(q->status.process == p.status.process && q->status.term == p.status.term);
        RC_ASSERT(q->status.number == p.status.number &&
                  q->status.last_answer_age_s == p.status.last_answer_age_s);
        RC_ASSERT(q->delegation.has_value() == p.delegation.has_value());
        if (p.delegation) {
          RC_ASSERT(q->delegation->term == p.delegation->term);
          RC_ASSERT(q->delegation->number == p.delegation->number);
          RC_ASSERT(q->delegation->valid_for_s == p.delegation->valid_for_s);
        }
      },
      200));
}

}  // namespace
}  // namespace sumacquay
