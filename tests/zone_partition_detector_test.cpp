#include "dispatch/zone_partition_detector.h"

#include <gtest/gtest.h>

namespace sumacquay {
namespace {

constexpr Seconds kPartitionTimeout = 10;

using Zones = std::map<std::string, ZonePartitionDetector::Count>;

TEST(ZonePartitionDetector, PartitionedIfMoreThanHalfOfAtLeastThreeMachinesAreSilent) {
  ZonePartitionDetector detector;
  detector.update({{"e", {4, 2, 0}}, {"w", {4, 3, 0}}, {"s", {2, 2, 0}}}, 100, kPartitionTimeout);
  EXPECT_FALSE(detector.partitioned("e")) << "exactly half of the machines";
  EXPECT_TRUE(detector.partitioned("w"));
  EXPECT_FALSE(detector.partitioned("s")) << "two machines may be silent by chance";
  EXPECT_FALSE(detector.partitioned("unknown"));
}

TEST(ZonePartitionDetector, ReportsHealedZoneOnce) {
  ZonePartitionDetector detector;
  EXPECT_TRUE(detector.update({{"e", {4, 4, 0}}}, 100, kPartitionTimeout).empty());
  EXPECT_TRUE(detector.update({{"e", {4, 4, 0}}}, 101, kPartitionTimeout).empty());
  EXPECT_EQ(detector.update({{"e", {4, 1, 3}}}, 102, kPartitionTimeout),
            std::vector<std::string>{"e"});
  EXPECT_FALSE(detector.partitioned("e"));
  EXPECT_TRUE(detector.update({{"e", {4, 1, 3}}}, 103, kPartitionTimeout).empty());
}

TEST(ZonePartitionDetector, ZoneWithoutMachinesStaysPartitionedForALimitedTime) {
  ZonePartitionDetector detector;
  detector.update({{"e", {4, 4, 0}}}, 100, kPartitionTimeout);
  detector.update({{"e", {4, 4, 0}}}, 150, kPartitionTimeout);
  detector.update(Zones{}, 160, kPartitionTimeout);
  EXPECT_TRUE(detector.partitioned("e"));
  detector.update(Zones{}, 160.1, kPartitionTimeout);
  EXPECT_FALSE(detector.partitioned("e"));
}

TEST(ZonePartitionDetector, ReachableIfMoreThanAQuarterSentHeartbeatsRecently) {
  ZonePartitionDetector detector;
  detector.update({{"e", {8, 0, 2}}, {"w", {8, 0, 3}}, {"s", {2, 0, 2}}}, 100, kPartitionTimeout);
  EXPECT_FALSE(detector.reachable("e"));
  EXPECT_TRUE(detector.reachable("w"));
  EXPECT_FALSE(detector.reachable("s"));
  detector.update({{"w", {8, 0, 2}}}, 101, kPartitionTimeout);
  EXPECT_FALSE(detector.reachable("w"));
}

}  // namespace
}  // namespace sumacquay
