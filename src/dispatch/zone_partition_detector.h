#pragma once
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "jobs/spec.h"

namespace sumacquay {

/// Smallest group of machines whose simultaneous silence indicates a partition. This many machines
/// do not fail together by coincidence.
constexpr size_t kMinMachinesForPartition = 3;

/// Detects partitioned zones from the number of machines whose heartbeats are missing, since most
/// machines of a zone do not fail at the same time. Tasks in a partitioned zone keep running, so
/// the leader releases no machine there. It also requests none there, since it could not reach
/// them. The leader updates the counts whenever it checks for failed machines.
class ZonePartitionDetector {
 public:
  /// Counts of the machines in a zone that are up.
  struct Count {
    size_t up = 0;
    size_t silent = 0;         ///< silent for most of the time after which a machine is suspected
    size_t recently_seen = 0;  ///< silent for a fraction of a heartbeat period at most
  };
  /// Applies new counts and returns the zones that are no longer partitioned. A partitioned zone
  /// without machines cannot be judged; it stays partitioned for at most `retention`, since
  /// otherwise no machine would ever be requested there again.
  std::vector<std::string> update(const std::map<std::string, Count>& zones, Seconds now,
                                  Seconds retention);
  bool partitioned(const std::string& zone) const { return partitioned_.contains(zone); }
  /// Whether enough machines of the zone have recent heartbeats that it cannot be partitioned. In a
  /// partitioned zone, fewer have one by the time the first machine is overdue and its probe has
  /// failed.
  bool reachable(const std::string& zone) const { return reachable_.contains(zone); }

 private:
  std::map<std::string, Seconds> partitioned_;  ///< zone -> when it last had machines
  std::set<std::string> reachable_;
};

}  // namespace sumacquay
