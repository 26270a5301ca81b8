#pragma once
#include <algorithm>
#include <string>
#include <vector>

/// Model of the images cached on a machine. Heartbeats do not include them, but workers keep the
/// most recently used images that fit on their disk, so the leader infers them from the tasks that
/// were started.
namespace sumacquay {

/// An image on a machine's disk.
struct CachedImage {
  std::string image;
  double gb = 0;
};

/// The images inferred to be cached on a machine.
class ImageCache {
 public:
  /// Records that a task on the machine uses the image. Evicts the least recently used images until
  /// the others fit in `disk_gb`, but never the image passed in.
  void record_use(const std::string& image, double gb, double disk_gb) {
    std::erase_if(images_, [&](const CachedImage& cached) { return cached.image == image; });
    images_.push_back({image, gb});
    double total_gb = 0;
    for (const CachedImage& cached : images_) total_gb += cached.gb;
    while (images_.size() > 1 && total_gb > disk_gb) {
      total_gb -= images_.front().gb;
      images_.erase(images_.begin());
    }
  }
  /// Whether the image is likely cached, so that a task can start without fetching it.
  bool has(const std::string& image) const {
    return std::any_of(images_.begin(), images_.end(),
                       [&](const CachedImage& cached) { return cached.image == image; });
  }
  /// All cached images, most recently used last.
  const std::vector<CachedImage>& images() const { return images_; }

 private:
  std::vector<CachedImage> images_;  ///< most recently used last
};

}  // namespace sumacquay
