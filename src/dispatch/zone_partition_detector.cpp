#include "dispatch/zone_partition_detector.h"

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// A zone counts as partitioned if more than this fraction of its machines is silent.
constexpr double kMinSilentFraction = 0.5;
/// A zone counts as reachable if more than this fraction of its machines has recent heartbeats.
constexpr double kMinReachableFraction = 0.25;

bool exceeds_fraction(double fraction, size_t count, size_t total) {
  return total >= kMinMachinesForPartition &&
         static_cast<double>(count) > fraction * static_cast<double>(total);
}

}  // namespace

std::vector<std::string> ZonePartitionDetector::update(const std::map<std::string, Count>& zones,
                                                       Seconds now, Seconds retention) {
  for (auto& [zone, last_seen] : partitioned_)
    if (zones.contains(zone)) last_seen = now;
  std::erase_if(partitioned_, [&](const auto& entry) { return now - entry.second > retention; });
  reachable_.clear();
  std::vector<std::string> healed;
  for (const auto& [zone, count] : zones) {
    if (exceeds_fraction(kMinReachableFraction, count.recently_seen, count.up))
      reachable_.insert(zone);
    const bool is_partitioned = exceeds_fraction(kMinSilentFraction, count.silent, count.up);
    if (is_partitioned != partitioned(zone))
      log_info(is_partitioned ? "zone_partitioned" : "zone_partition_healed",
               log_field("zone", zone), log_field("silent", count.silent),
               log_field("up", count.up));
    if (is_partitioned)
      partitioned_[zone] = now;
    else if (partitioned_.erase(zone) > 0)
      healed.push_back(zone);
  }
  return healed;
}

}  // namespace sumacquay
