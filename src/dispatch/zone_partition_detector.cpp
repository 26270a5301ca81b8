#include "dispatch/zone_partition_detector.h"

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// A zone counts as partitioned if more than this fraction of its machines is silent.
constexpr double kSilentShare = 0.5;
/// A zone counts as reachable if more than this fraction of its machines has recent heartbeats.
constexpr double kHeardShare = 0.25;

bool more_than(double part, size_t some, size_t all) {
  return all >= kMinMachinesForPartition &&
         static_cast<double>(some) > part * static_cast<double>(all);
}

}  // namespace

std::vector<std::string> ZonePartitionDetector::update(const std::map<std::string, Count>& zones,
                                                       Seconds now, Seconds forget_after) {
  for (auto& [zone, last_counted] : partitioned_)
    if (zones.contains(zone)) last_counted = now;
  std::erase_if(partitioned_, [&](const auto& entry) { return now - entry.second > forget_after; });
  reachable_.clear();
  std::vector<std::string> healed;
  for (const auto& [zone, count] : zones) {
    if (more_than(kHeardShare, count.heard_recently, count.up)) reachable_.insert(zone);
    const bool cut = more_than(kSilentShare, count.silent, count.up);
    if (cut != partitioned(zone))
      log_info(cut ? "zone_partitioned" : "zone_partition_healed", log_field("zone", zone),
               log_field("silent", count.silent), log_field("up", count.up));
    if (cut)
      partitioned_[zone] = now;
    else if (partitioned_.erase(zone) > 0)
      healed.push_back(zone);
  }
  return healed;
}

}  // namespace sumacquay
