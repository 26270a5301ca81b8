#pragma once
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "jobs/spec.h"

namespace sumacquay {

/// So many machines never fall silent together by chance.
constexpr size_t kMinMachinesForPartition = 3;

/// Finds out from the silent machines which zones are partitioned: most of a zone's machines don't
/// fall silent together by themselves. What runs in such a zone goes on, so the leader releases
/// nothing there, and requests nothing there since it could not reach it. The leader counts the
/// machines whenever it looks for failed ones.
class ZonePartitionDetector {
 public:
  /// The machines of a zone that are up.
  struct Count {
    size_t up = 0;
    size_t silent = 0;          ///< for some time, though for less than a dead machine
    size_t heard_recently = 0;  ///< within the last part of a heartbeat period
  };
  /// Applies a new count. A zone without machines shows nothing either way: it stays partitioned
  /// for `forget_after` at most, or nothing would ever be requested there again. Returns the zones
  /// that are partitioned no longer.
  std::vector<std::string> update(const std::map<std::string, Count>& zones, Seconds now,
                                  Seconds forget_after);
  bool partitioned(const std::string& zone) const { return partitioned_.contains(zone); }
  /// Whether so many machines of the zone were heard recently that it can't be partitioned: in a
  /// zone that is, fewer were by the time the first machine is late and has not answered a probe.
  bool reachable(const std::string& zone) const { return reachable_.contains(zone); }

 private:
  std::map<std::string, Seconds> partitioned_;  ///< and when a machine there was last counted
  std::set<std::string> reachable_;
};

}  // namespace sumacquay
