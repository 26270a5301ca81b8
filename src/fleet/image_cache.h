#pragma once
#include <algorithm>
#include <string>
#include <vector>

/// Which images a machine has cached. Workers do not say so in their heartbeats, but they keep the
/// most recently used images that fit on their disk, so the leader follows what was started where.
namespace sumacquay {

/// An image on a machine's disk.
struct CachedImage {
  std::string image;
  double gb = 0;
};

/// The images that a machine has cached, as far as can be inferred.
class ImageCache {
 public:
  /// A task on the machine uses the image. The least recently used ones are dropped until the
  /// others fit on the disk of `disk_gb`; the one in use is never dropped.
  void use(const std::string& image, double gb, double disk_gb) {
    std::erase_if(kept_, [&](const CachedImage& cached) { return cached.image == image; });
    kept_.push_back({image, gb});
    double total_gb = 0;
    for (const CachedImage& cached : kept_) total_gb += cached.gb;
    while (kept_.size() > 1 && total_gb > disk_gb) {
      total_gb -= kept_.front().gb;
      kept_.erase(kept_.begin());
    }
  }
  /// Whether the machine most likely has the image, so that a start there fetches nothing.
  bool has(const std::string& image) const {
    return std::any_of(kept_.begin(), kept_.end(),
                       [&](const CachedImage& cached) { return cached.image == image; });
  }
  /// All of them, the most recently used last.
  const std::vector<CachedImage>& kept() const { return kept_; }

 private:
  std::vector<CachedImage> kept_;  ///< the most recently used last
};

}  // namespace sumacquay
