#include "dispatch/zone_reachability.h"

#include <gtest/gtest.h>

namespace sumacquay {
namespace {

constexpr Seconds kForgetAfter = 10;

using Zones = std::map<std::string, ZoneReachability::Count>;

TEST(ZoneReachability, AZoneIsCutOffOnceMoreThanHalfOfSeveralMachinesAreSilent) {
  ZoneReachability reachability;
  reachability.update({{"e", {4, 2, 0}}, {"w", {4, 3, 0}}, {"s", {2, 2, 0}}}, 100, kForgetAfter);
  EXPECT_FALSE(reachability.cut_off("e")) << "half";
  EXPECT_TRUE(reachability.cut_off("w"));
  EXPECT_FALSE(reachability.cut_off("s")) << "two may be silent by chance";
  EXPECT_FALSE(reachability.cut_off("unknown"));
}

TEST(ZoneReachability, AZoneThatIsHeardAgainIsToldOnce) {
  ZoneReachability reachability;
  EXPECT_TRUE(reachability.update({{"e", {4, 4, 0}}}, 100, kForgetAfter).empty());
  EXPECT_TRUE(reachability.update({{"e", {4, 4, 0}}}, 101, kForgetAfter).empty());
  EXPECT_EQ(reachability.update({{"e", {4, 1, 3}}}, 102, kForgetAfter),
            std::vector<std::string>{"e"});
  EXPECT_FALSE(reachability.cut_off("e"));
  EXPECT_TRUE(reachability.update({{"e", {4, 1, 3}}}, 103, kForgetAfter).empty());
}

TEST(ZoneReachability, AZoneWithoutMachinesIsTriedAgainAfterAWhile) {
  ZoneReachability reachability;
  reachability.update({{"e", {4, 4, 0}}}, 100, kForgetAfter);
  reachability.update({{"e", {4, 4, 0}}}, 150, kForgetAfter);
  reachability.update(Zones{}, 160, kForgetAfter);
  EXPECT_TRUE(reachability.cut_off("e"));
  reachability.update(Zones{}, 160.1, kForgetAfter);
  EXPECT_FALSE(reachability.cut_off("e"));
}

TEST(ZoneReachability, AZoneIsReachableWhileMoreThanAQuarterWereHeardRecently) {
  ZoneReachability reachability;
  reachability.update({{"e", {8, 0, 2}}, {"w", {8, 0, 3}}, {"s", {2, 0, 2}}}, 100, kForgetAfter);
  EXPECT_FALSE(reachability.reachable("e"));
  EXPECT_TRUE(reachability.reachable("w"));
  EXPECT_FALSE(reachability.reachable("s"));
  reachability.update({{"w", {8, 0, 2}}}, 101, kForgetAfter);
  EXPECT_FALSE(reachability.reachable("w"));
}

}  // namespace
}  // namespace sumacquay
