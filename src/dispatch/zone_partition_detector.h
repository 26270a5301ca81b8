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

/// Tells from the machines that are silent which zones are cut off, or seem so: most of a zone's
/// machines don't fall silent together by themselves. What runs in such a zone goes on, so the
/// leader gives up nothing there, and rents nothing there since it would not hear of it. The leader
/// counts the machines whenever it looks after them.
class ZonePartitionDetector {
 public:
  /// The machines of a zone that are up.
  struct Count {
    size_t up = 0;
    size_t silent = 0;          ///< for some time, though for less than a dead machine
    size_t heard_recently = 0;  ///< within the last part of a heartbeat period
  };
  /// Takes a new count. A zone without machines shows nothing either way: it stays cut off for
  /// `forget_after` at most, or nothing would ever be rented there again. Returns the zones that
  /// are cut off no longer.
  std::vector<std::string> update(const std::map<std::string, Count>& zones, Seconds now,
                                  Seconds forget_after);
  bool partitioned(const std::string& zone) const { return partitioned_.contains(zone); }
  /// Whether so many machines of the zone were heard recently that it can't be cut off: in a zone
  /// that is, fewer were by the time the first machine is late and has not answered a probe.
  bool reachable(const std::string& zone) const { return reachable_.contains(zone); }

 private:
  std::map<std::string, Seconds> partitioned_;  ///< and when a machine there was last counted
  std::set<std::string> reachable_;
};

}  // namespace sumacquay
