#include "dispatch/zone_partition_detector.h"

#include <spdlog/spdlog.h>

namespace sumacquay {
namespace {

/// The part of a zone's machines that are silent when it counts as cut off.
constexpr double kSilentShare = 0.5;
/// The part of a zone's machines that were heard recently when it certainly isn't.
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
  std::erase_if(partitioned_, [&](const auto& cut) { return now - cut.second > forget_after; });
  reachable_.clear();
  std::vector<std::string> back;
  for (const auto& [zone, count] : zones) {
    if (more_than(kHeardShare, count.heard_recently, count.up)) reachable_.insert(zone);
    const bool cut = more_than(kSilentShare, count.silent, count.up);
    if (cut != partitioned(zone))
      spdlog::info("zone {}: {} of {} machines silent, {}", zone, count.silent, count.up,
                   cut ? "taken for cut off" : "no longer taken for cut off");
    if (cut)
      partitioned_[zone] = now;
    else if (partitioned_.erase(zone) > 0)
      back.push_back(zone);
  }
  return back;
}

}  // namespace sumacquay
