#pragma once
#include <map>
#include <set>
#include <string>

#include "jobs/spec.h"

namespace sumacquay::simulation {

/// The images on one machine. Each is fetched once for all tasks that need it, and the fetch is
/// given up when no task waits for it any more. Fetched images stay.
class ImageStore {
 public:
  /// The machine's own rate in GB per second.
  void set_fetch_rate(double gb_per_s) { fetch_gb_per_s_ = gb_per_s; }
  bool has(const std::string& image) const { return cached_.contains(image); }
  void add(const std::string& image) { cached_.insert(image); }
  bool fetching() const { return !fetches_.empty(); }

  /// Starts and gives up fetches. `awaited`: the sizes in GB of the images that tasks wait for.
  void update(const std::map<std::string, double>& awaited, Seconds now);

 private:
  double fetch_gb_per_s_ = 1;
  std::set<std::string> cached_;
  std::map<std::string, Seconds> fetches_;  ///< by image: when its fetch ends
};

}  // namespace sumacquay::simulation
