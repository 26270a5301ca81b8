#include "dispatch/zone_partition_detector.h"

#include <gtest/gtest.h>

namespace sumacquay {
namespace {

constexpr Seconds kForgetAfter = 10;

using Zones = std::map<std::string, ZonePartitionDetector::Count>;

TEST(ZonePartitionDetector, AZoneIsCutOffOnceMoreThanHalfOfSeveralMachinesAreSilent) {
  ZonePartitionDetector reachability;
  reachability.update({{"e", {4, 2, 0}}, {"w", {4, 3, 0}}, {"s", {2, 2, 0}}}, 100, kForgetAfter);
  EXPECT_FALSE(reachability.partitioned("e")) << "half";
  EXPECT_TRUE(reachability.partitioned("w"));
  EXPECT_FALSE(reachability.partitioned("s")) << "two may be silent by chance";
  EXPECT_FALSE(reachability.partitioned("unknown"));
}

TEST(ZonePartitionDetector, AZoneThatIsHeardAgainIsToldOnce) {
  ZonePartitionDetector reachability;
  EXPECT_TRUE(reachability.update({{"e", {4, 4, 0}}}, 100, kForgetAfter).empty());
  EXPECT_TRUE(reachability.update({{"e", {4, 4, 0}}}, 101, kForgetAfter).empty());
  EXPECT_EQ(reachability.update({{"e", {4, 1, 3}}}, 102, kForgetAfter),
            std::vector<std::string>{"e"});
  EXPECT_FALSE(reachability.partitioned("e"));
  EXPECT_TRUE(reachability.update({{"e", {4, 1, 3}}}, 103, kForgetAfter).empty());
}

TEST(ZonePartitionDetector, AZoneWithoutMachinesIsTriedAgainAfterAWhile) {
  ZonePartitionDetector reachability;
  reachability.update({{"e", {4, 4, 0}}}, 100, kForgetAfter);
  reachability.update({{"e", {4, 4, 0}}}, 150, kForgetAfter);
  reachability.update(Zones{}, 160, kForgetAfter);
  EXPECT_TRUE(reachability.partitioned("e"));
  reachability.update(Zones{}, 160.1, kForgetAfter);
  EXPECT_FALSE(reachability.partitioned("e"));
}

TEST(ZonePartitionDetector, AZoneIsReachableWhileMoreThanAQuarterWereHeardRecently) {
  ZonePartitionDetector reachability;
  reachability.update({{"e", {8, 0, 2}}, {"w", {8, 0, 3}}, {"s", {2, 0, 2}}}, 100, kForgetAfter);
  EXPECT_FALSE(reachability.reachable("e"));
  EXPECT_TRUE(reachability.reachable("w"));
  EXPECT_FALSE(reachability.reachable("s"));
  reachability.update({{"w", {8, 0, 2}}}, 101, kForgetAfter);
  EXPECT_FALSE(reachability.reachable("w"));
}

}  // namespace
}  // namespace sumacquay
