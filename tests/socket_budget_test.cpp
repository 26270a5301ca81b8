// The division of a controller's sockets among its parts, and which settings are rejected.
#include "config/socket_budget.h"

#include <gtest/gtest.h>

#include "config/settings_error.h"
#include "generators.h"
#include "node/connection_log.h"
#include "node/oversized_request_log.h"

namespace sumacquay {
namespace {

Settings with_sockets(double sockets, size_t peers) {
  Settings settings;
  settings.node = "n0";
  settings.max_sockets = sockets;
  settings.peers.resize(peers);
  return settings;
}

/// The error with which the settings are rejected; empty if they are accepted.
std::string settings_error(const Settings& settings) {
  try {
    check_socket_budget(settings, "f.toml");
  } catch (const SettingsError& error) {
    return error.what();
  }
  return "";
}

TEST(SocketBudget, StaysWithinLimitAndLeavesEachPartAShare) {
  EXPECT_TRUE(testing::check_property("socket budget", [] {
    Settings settings = with_sockets(*rc::gen::inRange(1, 20000), *rc::gen::inRange(0, 20));
    settings.tuning.sockets = *rc::gen::inRange(10, 71) / 100.0;
    const SocketBudget budget = socket_budget(settings);
    if (!settings_error(settings).empty()) return;
    const auto allocated =
        static_cast<double>(budget.fixed + budget.served_and_refused + budget.worker_commands);
    RC_ASSERT(allocated <= settings.max_sockets);
    const size_t served = budget.served_and_refused - budget.reserved_refusal_connections;
    RC_ASSERT(budget.reserved_refusal_connections > 0u && budget.worker_commands > 0u);
    RC_ASSERT(budget.max_kept_alive > 0u && budget.max_kept_alive < served);
    RC_ASSERT(budget.max_user_requests > 0u && budget.max_user_requests < served);
  }));
}

TEST(SocketBudget, CurrentDeploymentLimitServesManyConnections) {
  const SocketBudget budget = socket_budget(with_sockets(2208, 4));
  EXPECT_EQ(budget.served_and_refused, 1545u);
  EXPECT_GT(budget.max_kept_alive, 1300u);
  EXPECT_EQ(budget.worker_commands, 441u);
}

TEST(SocketBudget, RejectsTooFewSocketsAndWarnsOfFewWithTheFieldName) {
  const std::string field = "params.quota.fd_limit: ";
  struct Case {
    double sockets;
    std::string error, warning;  ///< their beginnings; empty if there is none
  };
  const std::vector<Case> cases = {
      {60, "f.toml: " + field + "too few", ""}, {120, "", field + "120 sockets"}, {2208, "", ""}};
  for (const Case& test_case : cases) {
    const Settings settings = with_sockets(test_case.sockets, 4);
    const std::string error = settings_error(settings);
    EXPECT_EQ(error.empty(), test_case.error.empty()) << error;
    EXPECT_TRUE(error.starts_with(test_case.error)) << error;
    EXPECT_EQ(error.find('\n'), std::string::npos) << error;
    if (!error.empty()) continue;
    const std::string warning = low_socket_warning(settings).value_or("");
    EXPECT_EQ(warning.empty(), test_case.warning.empty()) << warning;
    EXPECT_TRUE(warning.starts_with(test_case.warning)) << warning;
  }
}

TEST(ConnectionLog, ReportsNewCountsOnceInAnInterval) {
  ConnectionLog log(10);
  EXPECT_FALSE(log.observe(100, {5, 0, 0}));
  EXPECT_FALSE(log.observe(105, {5, 3, 0})) << "the interval has not passed yet";
  EXPECT_TRUE(log.observe(110, {5, 3, 0}));
  EXPECT_FALSE(log.observe(120, {5, 3, 0})) << "no new counts";
  EXPECT_TRUE(log.observe(130, {5, 3, 1}));
}

TEST(OversizedRequestLog, ReportsNewRequestsOnceInAnInterval) {
  OversizedRequestLog log(10);
  EXPECT_FALSE(log.observe(100, {0, "", ""}));
  EXPECT_TRUE(log.observe(101, {1, "/hello", "10.0.0.2"})) << "the first one at once";
  EXPECT_FALSE(log.observe(105, {3, "/hello", "10.0.0.2"})) << "the interval has not passed yet";
  EXPECT_TRUE(log.observe(111, {3, "/hello", "10.0.0.2"}));
  EXPECT_FALSE(log.observe(130, {3, "/hello", "10.0.0.2"})) << "no new requests";
}

}  // namespace
}  // namespace sumacquay
