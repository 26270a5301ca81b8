// How a controller's sockets are shared out, and which settings are refused.
#include "config/socket_budget.h"

#include <gtest/gtest.h>

#include "config/settings_error.h"
#include "generators.h"
#include "node/connection_log.h"

namespace sumacquay {
namespace {

Settings with_sockets(double sockets, size_t peers) {
  Settings settings;
  settings.node = "n0";
  settings.max_sockets = sockets;
  settings.peers.resize(peers);
  return settings;
}

bool accepted(const Settings& settings) {
  try {
    check_sockets(settings, "f.toml");
  } catch (const SettingsError&) {
    return false;
  }
  return true;
}

TEST(SocketBudget, NeverGivesOutMoreThanThereAreAndLeavesEachItsShare) {
  EXPECT_TRUE(testing::holds("socket budget", [] {
    Settings settings = with_sockets(*rc::gen::inRange(1, 20000), *rc::gen::inRange(0, 20));
    settings.tuning.sockets = *rc::gen::inRange(10, 71) / 100.0;
    const SocketBudget budget = socket_budget(settings);
    if (!accepted(settings)) return;
    const auto out = static_cast<double>(budget.fixed + budget.served_and_refused + budget.orders);
    RC_ASSERT(out <= settings.max_sockets);
    const size_t served = budget.served_and_refused - budget.refusals;
    RC_ASSERT(budget.refusals > 0u && budget.orders > 0u);
    RC_ASSERT(budget.kept_open > 0u && budget.kept_open < served);
    RC_ASSERT(budget.users_in_progress > 0u && budget.users_in_progress < served);
  }));
}

TEST(SocketBudget, TheLimitsOfTodaysDeploymentsServeManyAtOnce) {
  const SocketBudget budget = socket_budget(with_sockets(2208, 4));
  EXPECT_EQ(budget.served_and_refused, 1545u);
  EXPECT_GT(budget.kept_open, 1300u);
  EXPECT_EQ(budget.orders, 441u);
  EXPECT_FALSE(cost_of_few_sockets(with_sockets(2208, 4), budget));
}

TEST(SocketBudget, SettingsThatCannotServeAreRefusedWithTheFieldsName) {
  const Settings settings = with_sockets(60, 4);
  try {
    check_sockets(settings, "f.toml");
    FAIL() << "accepted";
  } catch (const SettingsError& error) {
    const std::string line = error.what();
    EXPECT_NE(line.find("f.toml"), std::string::npos) << line;
    EXPECT_NE(line.find("params.quota.fd_limit"), std::string::npos) << line;
    EXPECT_EQ(line.find('\n'), std::string::npos) << line;
  }
}

TEST(SocketBudget, TightSettingsServeAndSayWhatTheyCost) {
  const Settings settings = with_sockets(120, 4);
  ASSERT_TRUE(accepted(settings));
  const auto cost = cost_of_few_sockets(settings, socket_budget(settings));
  ASSERT_TRUE(cost.has_value());
  EXPECT_NE(cost->find("params.quota.fd_limit: 120 sockets"), std::string::npos) << *cost;
}

TEST(ConnectionLog, TellsOnceInASpanAndOnlyOfWhatIsNew) {
  ConnectionLog log(10);
  EXPECT_FALSE(log.observe(100, {5, 0, 0}));
  EXPECT_FALSE(log.observe(105, {5, 3, 0})) << "not before the pause is over";
  EXPECT_TRUE(log.observe(110, {5, 3, 0}));
  EXPECT_FALSE(log.observe(120, {5, 3, 0})) << "nothing new";
  EXPECT_TRUE(log.observe(130, {5, 3, 1}));
}

}  // namespace
}  // namespace sumacquay
