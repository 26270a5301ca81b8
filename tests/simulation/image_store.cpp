#include "simulation/image_store.h"

namespace sumacquay::simulation {

void ImageStore::update(const std::map<std::string, double>& awaited, Seconds now) {
  std::erase_if(fetches_, [&](const auto& fetch) { return !awaited.contains(fetch.first); });
  for (const auto& [image, gb] : awaited)
    if (!has(image)) fetches_.try_emplace(image, now + gb / fetch_gb_per_s_);
  std::erase_if(fetches_, [&](const auto& fetch) {
    if (now < fetch.second) return false;
    cached_.insert(fetch.first);
    return true;
  });
}

}  // namespace sumacquay::simulation
